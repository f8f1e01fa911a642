package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	// maxAttempts suffices for nine entries that commit concurrently, since one of them succeeds in each round of attempts.
	maxAttempts = 24
	// retryJitter is the upper bound of the random delay before the first retry; it doubles with each retry up to maxRetryJitter.
	retryJitter    = 10 * time.Millisecond
	maxRetryJitter = 160 * time.Millisecond
	// maxReadBacks bounds the attempts to read the outcome of a commit whose response was lost.
	maxReadBacks = 3
)

// Proposal is a set of changes to be committed as one record.
type Proposal struct {
	CommandID string
	By        string
	Reason    string
	// Decide returns the changes for a state and is called again after each conflict. Without changes nothing is committed.
	Decide func(state *fleet.State) (changes []fleet.Change, err error)
	// ExpectedVersions lists the object versions on which the author based the decision; Commit fails with *fleet.VersionConflictError if
	// one has changed.
	ExpectedVersions []fleet.ExpectedVersion
	// Conditions lists further rows that must be unchanged, such as a lease; Commit fails with ErrLeaseExpired if one has changed.
	Conditions []acaciatally.Condition
}

// pendingCommit is the state of a proposal during the attempts to commit it.
type pendingCommit struct {
	proposal Proposal
	// unknownVersion is the version of an attempt that may still take effect after its response was lost; 0 if there is none.
	unknownVersion uint64
}

// errRetry reports that an attempt conflicted with another commit and that a newer view is known.
var errRetry = errors.New("conflict with another commit to the log")

// Commit appends the changes of the proposal and returns their version. A repeated command ID returns the version of its first commit.
// It fails with ErrUnknownCommit if the outcome could not be determined, and with ErrUnavailable, ErrLeaseExpired,
// *fleet.VersionConflictError or the error of Decide if the changes were not committed.
func (l *Log) Commit(ctx context.Context, proposal Proposal) (version uint64, err error) {
	defer func() { err = oops.In("changelog").With("command", proposal.CommandID).Wrapf(err, "commit change") }()
	select {
	case l.commitSlot <- struct{}{}:
		defer func() { <-l.commitSlot }()
	case <-ctx.Done():
		return 0, errors.Join(acaciatally.ErrUnavailable, ctx.Err())
	}
	commit := &pendingCommit{proposal: proposal}
	for n := range maxAttempts {
		version, err = l.attempt(ctx, commit)
		if !errors.Is(err, errRetry) {
			break
		}
		if backOff(ctx, n) != nil {
			break
		}
	}
	if err != nil && commit.unknownVersion > 0 && !errors.Is(err, acaciatally.ErrUnknownCommit) {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if errors.Is(err, errRetry) {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	return version, err
}

func backOff(ctx context.Context, retry int) error {
	bound := min(retryJitter<<min(retry, 10), maxRetryJitter)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (l *Log) attempt(ctx context.Context, commit *pendingCommit) (version uint64, err error) {
	current := l.view.Load()
	if current.rowVersion == 0 && current.state.Version > 0 || current.readAt.IsZero() {
		if err = l.Poll(ctx); err != nil {
			return 0, errors.Join(acaciatally.ErrUnavailable, err)
		}
		if current = l.view.Load(); current.rowVersion == 0 && current.state.Version > 0 {
			return 0, fmt.Errorf("%w: log head is older than version %d", errRetry, current.state.Version)
		}
	}
	record, next, err := l.decide(current.state, commit.proposal)
	if err != nil || next == nil {
		return l.confirmDecision(ctx, commit, current.state.Version, err)
	}
	return l.commitRecord(ctx, commit, *current, record, next)
}

// decide returns the record to commit and the state after it; next is nil if there is nothing to commit.
func (l *Log) decide(state *fleet.State, proposal Proposal) (record fleet.Record, next *fleet.State, err error) {
	if err = state.Unchanged(proposal.ExpectedVersions...); err != nil {
		return record, nil, err
	}
	changes, err := proposal.Decide(state)
	if err != nil || len(changes) == 0 {
		return record, nil, err
	}
	record = fleet.Record{
		Version: state.Version + 1, CommandID: proposal.CommandID, By: proposal.By,
		At: l.config.Clock.Now().UTC().Truncate(time.Millisecond), Reason: proposal.Reason, Changes: changes,
	}
	next, err = state.Apply(record)
	return record, next, err
}

// confirmDecision handles a decision without a record to commit. It returns the version of a repeated command, errRetry if the decision was
// made on an outdated view, and otherwise the error of the decision.
func (l *Log) confirmDecision(ctx context.Context, commit *pendingCommit, decidedAt uint64, decision error) (version uint64, err error) {
	if err = l.pollAfter(ctx); err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, decision, err)
	}
	known, found, err := l.readOutcome(ctx, commit)
	switch {
	case err != nil:
		return 0, errors.Join(acaciatally.ErrUnavailable, decision, err)
	case found:
		return known, nil
	case l.State().Version != decidedAt:
		return 0, errRetry
	}
	return decidedAt, decision
}

// readOutcome reads the version of the command after the head was read. Once the head has reached the version of an unanswered attempt,
// the attempt can no longer take effect, so a command that is still not found was not committed.
func (l *Log) readOutcome(ctx context.Context, commit *pendingCommit) (version uint64, found bool, err error) {
	head := l.State().Version
	version, found, err = l.readCommand(ctx, commit.proposal.CommandID)
	if err == nil && (found || head >= commit.unknownVersion) {
		commit.unknownVersion = 0
	}
	return version, found, err
}

func (l *Log) commitRecord(ctx context.Context, commit *pendingCommit, from view, record fleet.Record, next *fleet.State) (version uint64, err error) {
	head := headRow{Version: record.Version, SnapshotVersion: from.head.SnapshotVersion}
	transaction, err := l.recordTransaction(record, head, from.rowVersion, commit.proposal.Conditions)
	if err != nil {
		return 0, err
	}
	row, err := l.write(ctx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		commit.unknownVersion = 0
		l.publish(view{state: next, head: head, rowVersion: row, readAt: from.readAt}, record)
		return record.Version, nil
	case errors.As(err, &conflict):
		l.count.conflicts.Add(1)
		return l.handleConflict(ctx, commit, conflict)
	case errors.Is(err, acaciatally.ErrUnavailable) && !errors.Is(err, acaciatally.ErrUnknownCommit):
		return 0, err
	}
	l.count.unknown.Add(1)
	commit.unknownVersion = record.Version
	return l.resolveUnknown(ctx, commit)
}

// handleConflict distinguishes the causes of a conflict: the command was committed before, the lease was lost, or another commit came first.
func (l *Log) handleConflict(ctx context.Context, commit *pendingCommit, conflict *acaciatally.ConflictError) (version uint64, err error) {
	if err = l.pollAfter(ctx); err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	known, found, err := l.readOutcome(ctx, commit)
	if err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	if found {
		return known, nil
	}
	for _, condition := range commit.proposal.Conditions {
		if slices.Contains(conflict.Keys, condition.Key) {
			return 0, errors.Join(acaciatally.ErrLeaseExpired, conflict)
		}
	}
	return 0, errRetry
}

// resolveUnknown reads the outcome of a commit whose response was lost. If it had no effect, or may still have one, the commit is retried.
func (l *Log) resolveUnknown(ctx context.Context, commit *pendingCommit) (version uint64, err error) {
	for n := range maxReadBacks {
		var found bool
		if err = l.pollAfter(ctx); err == nil {
			version, found, err = l.readOutcome(ctx, commit)
		}
		if err == nil && found {
			return version, nil
		}
		if err == nil {
			return 0, errRetry
		}
		if backOff(ctx, n) != nil {
			break
		}
	}
	return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
}

func (l *Log) write(ctx context.Context, transaction acaciatally.Transaction) (row uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.writes.Add(1)
	return l.config.Table.Commit(ctx, transaction)
}

func (l *Log) recordTransaction(record fleet.Record, head headRow, row uint64, conditions []acaciatally.Condition) (transaction acaciatally.Transaction, err error) {
	recordBody, err := json.Marshal(record)
	if err != nil {
		return transaction, err
	}
	headBody, err := json.Marshal(head)
	if err != nil {
		return transaction, err
	}
	commandBody, err := json.Marshal(commandRow{Version: record.Version})
	if err != nil {
		return transaction, err
	}
	command := commandPrefix + record.CommandID
	transaction = acaciatally.Transaction{
		ID:         record.CommandID,
		Conditions: append([]acaciatally.Condition{{Key: headKey, Version: row}, {Key: command}}, conditions...),
		Writes: []acaciatally.Write{
			{Key: headKey, Value: headBody},
			{Key: recordKey(record.Version), Value: recordBody},
			{Key: command, Value: commandBody},
		},
	}
	return transaction, nil
}

func (l *Log) readCommand(ctx context.Context, command string) (version uint64, found bool, err error) {
	rows, err := l.readRows(ctx, commandPrefix+command)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err = json.Unmarshal(rows[0].Value, &row); err != nil {
		return 0, false, err
	}
	return row.Version, true, nil
}
