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
	// commitTries lets the last of nine racing entries through: each try lets at least one of them commit.
	commitTries = 24
	// retryJitter is the bound of the random wait before the first retry; it doubles up to maxRetryJitter.
	retryJitter    = 10 * time.Millisecond
	maxRetryJitter = 160 * time.Millisecond
	readBackTries  = 3
)

// Proposal is a set of changes to be committed as one record.
type Proposal struct {
	CommandID string
	By        string
	Reason    string
	// Decide returns the changes for a state; it runs again after each lost race. No changes end the proposal without a commit.
	Decide func(state *fleet.State) (changes []fleet.Change, err error)
	// Seen are the versions of the objects on which the author based the decision; the loser of a race gets a *fleet.RaceError.
	Seen []fleet.Seen
	// Conditions are further rows that must be unchanged, such as a lease; a failed one is reported as ErrLeaseExpired.
	Conditions []acaciatally.Condition
}

// attempt is the progress of one proposal over its tries.
type attempt struct {
	proposal Proposal
	// pending is the version of a try whose answer was lost and that may still take effect; 0 when there is none.
	pending uint64
}

// errRetry reports that a try lost a race and that the view has moved since.
var errRetry = errors.New("lost a race for the head of the log")

// Commit appends the proposal's changes and returns the version at which the command stands; repeating a command id returns the
// first version. It fails with ErrUnknownCommit when the outcome could not be read back, and with ErrUnavailable, ErrLeaseExpired,
// *fleet.RaceError or the error of Decide when the changes were not accepted.
func (l *Log) Commit(ctx context.Context, proposal Proposal) (version uint64, err error) {
	defer func() { err = oops.In("changelog").With("command", proposal.CommandID).Wrapf(err, "commit change") }()
	select {
	case l.commits <- struct{}{}:
		defer func() { <-l.commits }()
	case <-ctx.Done():
		return 0, errors.Join(acaciatally.ErrUnavailable, ctx.Err())
	}
	try := &attempt{proposal: proposal}
	for n := range commitTries {
		version, err = l.try(ctx, try)
		if !errors.Is(err, errRetry) {
			break
		}
		if pause(ctx, n) != nil {
			break
		}
	}
	if err != nil && try.pending > 0 && !errors.Is(err, acaciatally.ErrUnknownCommit) {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if errors.Is(err, errRetry) {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	return version, err
}

func pause(ctx context.Context, try int) error {
	bound := min(retryJitter<<min(try, 10), maxRetryJitter)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (l *Log) try(ctx context.Context, try *attempt) (version uint64, err error) {
	current := l.view.Load()
	if current.row == 0 && current.state.Version > 0 || current.readAt.IsZero() {
		if err = l.Poll(ctx); err != nil {
			return 0, errors.Join(acaciatally.ErrUnavailable, err)
		}
		if current = l.view.Load(); current.row == 0 && current.state.Version > 0 {
			return 0, fmt.Errorf("%w: the head is below version %d", errRetry, current.state.Version)
		}
	}
	record, next, err := l.decide(current.state, try.proposal)
	if err != nil || next == nil {
		return l.confirm(ctx, try, current.state.Version, err)
	}
	return l.send(ctx, try, *current, record, next)
}

// decide returns the record and the state after it; no state means that there is nothing to commit.
func (l *Log) decide(state *fleet.State, proposal Proposal) (record fleet.Record, next *fleet.State, err error) {
	if err = state.Unchanged(proposal.Seen...); err != nil {
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

// confirm returns the first version of a repeated command, retries a decision that was made on an old view, and otherwise returns
// the decision's own error.
func (l *Log) confirm(ctx context.Context, try *attempt, decidedAt uint64, decision error) (version uint64, err error) {
	if err = l.pollAfter(ctx); err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, decision, err)
	}
	known, found, err := l.settle(ctx, try)
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

// settle reads the command back after a read of the head. Once the head has moved, a pending try can no longer take effect, so a
// command that is still absent was not accepted.
func (l *Log) settle(ctx context.Context, try *attempt) (version uint64, found bool, err error) {
	head := l.State().Version
	version, found, err = l.readBack(ctx, try.proposal.CommandID)
	if err == nil && (found || head >= try.pending) {
		try.pending = 0
	}
	return version, found, err
}

func (l *Log) send(ctx context.Context, try *attempt, from view, record fleet.Record, next *fleet.State) (version uint64, err error) {
	head := headRow{Version: record.Version, SnapshotVersion: from.head.SnapshotVersion}
	transaction, err := l.transaction(record, head, from.row, try.proposal.Conditions)
	if err != nil {
		return 0, err
	}
	row, err := l.write(ctx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		try.pending = 0
		l.publish(view{state: next, head: head, row: row, readAt: from.readAt}, record)
		return record.Version, nil
	case errors.As(err, &conflict):
		l.count.conflicts.Add(1)
		return l.lost(ctx, try, conflict)
	case errors.Is(err, acaciatally.ErrUnavailable) && !errors.Is(err, acaciatally.ErrUnknownCommit):
		return 0, err
	}
	l.count.unknown.Add(1)
	try.pending = record.Version
	return l.resolve(ctx, try)
}

// lost handles a conflict: the command may have been accepted earlier, the lease may be gone, or another commit came first.
func (l *Log) lost(ctx context.Context, try *attempt, conflict *acaciatally.ConflictError) (version uint64, err error) {
	if err = l.pollAfter(ctx); err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	known, found, err := l.settle(ctx, try)
	if err != nil {
		return 0, errors.Join(acaciatally.ErrUnavailable, err)
	}
	if found {
		return known, nil
	}
	for _, condition := range try.proposal.Conditions {
		if slices.Contains(conflict.Keys, condition.Key) {
			return 0, errors.Join(acaciatally.ErrLeaseExpired, conflict)
		}
	}
	return 0, errRetry
}

// resolve finds out whether a commit with a lost answer took effect; when it did not, or may still, the commit is tried again.
func (l *Log) resolve(ctx context.Context, try *attempt) (version uint64, err error) {
	for n := range readBackTries {
		var found bool
		if err = l.pollAfter(ctx); err == nil {
			version, found, err = l.settle(ctx, try)
		}
		if err == nil && found {
			return version, nil
		}
		if err == nil {
			return 0, errRetry
		}
		if pause(ctx, n) != nil {
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

func (l *Log) transaction(record fleet.Record, head headRow, row uint64, conditions []acaciatally.Condition) (transaction acaciatally.Transaction, err error) {
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

func (l *Log) readBack(ctx context.Context, command string) (version uint64, found bool, err error) {
	rows, err := l.read(ctx, commandPrefix+command)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err = json.Unmarshal(rows[0].Value, &row); err != nil {
		return 0, false, err
	}
	return row.Version, true, nil
}
