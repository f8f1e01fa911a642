package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	headKey       = "Changelog/Head"
	recordPrefix  = "Changelog/Record/"
	commandPrefix = "Command/"
	scanLimit     = 500
	commitTries   = 8
)

// Config is what a Log needs.
type Config struct {
	Table acaciatally.TableService
	Clock acaciatally.Clock
}

// Log reads and extends the ordered log; it is safe for concurrent use.
type Log struct {
	config Config
	state  atomic.Pointer[fleet.State]
	mu     sync.Mutex
	head   uint64 // row version of the head that belongs to state
}

type headRow struct {
	Version uint64
}

type commandRow struct {
	Version uint64
}

// New returns a log with the empty state.
func New(config Config) *Log {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	log := &Log{config: config}
	log.state.Store(fleet.New())
	return log
}

// State returns the newest known state, which never goes back to a lower version.
func (l *Log) State() *fleet.State {
	return l.state.Load()
}

// Poll applies all records that the table service holds beyond the known state.
func (l *Log) Poll(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").Wrapf(err, "poll log") }()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poll(ctx)
}

func (l *Log) poll(ctx context.Context) error {
	rows, err := l.config.Table.Read(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return err
	}
	var head headRow
	if err = json.Unmarshal(rows[0].Value, &head); err != nil {
		return err
	}
	state := l.state.Load()
	for state.Version < head.Version {
		next, err := l.replay(ctx, state)
		if err != nil {
			return err
		}
		if next.Version == state.Version {
			return fmt.Errorf("log ends at %d before its head %d", state.Version, head.Version)
		}
		state = next
	}
	if state.Version == head.Version {
		l.head = rows[0].Version
	}
	l.state.Store(state)
	return nil
}

func (l *Log) replay(ctx context.Context, state *fleet.State) (*fleet.State, error) {
	rows, err := l.config.Table.Scan(ctx, recordPrefix, recordKey(state.Version), scanLimit)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var record fleet.Record
		if err = json.Unmarshal(row.Value, &record); err != nil {
			return nil, err
		}
		if state, err = state.Apply(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func recordKey(version uint64) string {
	return fmt.Sprintf("%s%020d", recordPrefix, version)
}

// Proposal is a set of changes to be committed as one record.
type Proposal struct {
	CommandID string
	By        string
	Reason    string
	// Decide returns the changes for a state; it runs again after each lost race. No changes end the proposal without a commit.
	Decide func(state *fleet.State) (changes []fleet.Change, err error)
	// Conditions are further rows that must be unchanged, such as a lease.
	Conditions []acaciatally.Condition
}

// Commit appends the proposal's changes and returns the version at which the command stands; repeating a command id returns the
// first version. It fails with acaciatally.ErrUnknownCommit when the outcome could not be read back.
func (l *Log) Commit(ctx context.Context, proposal Proposal) (version uint64, err error) {
	defer func() { err = oops.In("changelog").With("command", proposal.CommandID).Wrapf(err, "commit change") }()
	l.mu.Lock()
	defer l.mu.Unlock()
	for range commitTries {
		version, err = l.tryCommit(ctx, proposal)
		var conflict *acaciatally.ConflictError
		switch {
		case errors.As(err, &conflict):
			if err = l.poll(ctx); err != nil {
				return 0, err
			}
			if known, found, readErr := l.readBack(ctx, proposal.CommandID); readErr == nil && found {
				return known, nil
			}
			err = conflict
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			return l.resolve(ctx, proposal.CommandID)
		default:
			return version, err
		}
	}
	return 0, err
}

func (l *Log) tryCommit(ctx context.Context, proposal Proposal) (uint64, error) {
	state := l.state.Load()
	changes, err := proposal.Decide(state)
	if err != nil {
		return 0, err
	}
	if len(changes) == 0 {
		return state.Version, nil
	}
	record := fleet.Record{
		Version: state.Version + 1, CommandID: proposal.CommandID, By: proposal.By,
		At: l.config.Clock.Now().UTC().Truncate(time.Millisecond), Reason: proposal.Reason, Changes: changes,
	}
	next, err := state.Apply(record)
	if err != nil {
		return 0, err
	}
	transaction, err := l.transaction(record, proposal.Conditions)
	if err != nil {
		return 0, err
	}
	rowVersion, err := l.config.Table.Commit(ctx, transaction)
	if err != nil {
		return 0, err
	}
	l.head = rowVersion
	l.state.Store(next)
	return record.Version, nil
}

func (l *Log) transaction(record fleet.Record, conditions []acaciatally.Condition) (transaction acaciatally.Transaction, err error) {
	body, err := json.Marshal(record)
	if err != nil {
		return transaction, err
	}
	head, err := json.Marshal(headRow{Version: record.Version})
	if err != nil {
		return transaction, err
	}
	command, err := json.Marshal(commandRow{Version: record.Version})
	if err != nil {
		return transaction, err
	}
	transaction = acaciatally.Transaction{
		ID: record.CommandID,
		Conditions: append([]acaciatally.Condition{
			{Key: headKey, Version: l.head},
			{Key: commandPrefix + record.CommandID},
		}, conditions...),
		Writes: []acaciatally.Write{
			{Key: headKey, Value: head},
			{Key: recordKey(record.Version), Value: body},
			{Key: commandPrefix + record.CommandID, Value: command},
		},
	}
	return transaction, nil
}

func (l *Log) readBack(ctx context.Context, command string) (version uint64, found bool, err error) {
	rows, err := l.config.Table.Read(ctx, commandPrefix+command)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err = json.Unmarshal(rows[0].Value, &row); err != nil {
		return 0, false, err
	}
	return row.Version, true, nil
}

// resolve finds out whether a commit with a lost answer took effect.
func (l *Log) resolve(ctx context.Context, command string) (uint64, error) {
	version, found, err := l.readBack(ctx, command)
	if err != nil {
		return 0, acaciatally.ErrUnknownCommit
	}
	if !found {
		return 0, acaciatally.ErrUnavailable
	}
	if err = l.poll(ctx); err != nil {
		return version, nil //nolint:nilerr // the command is accepted; the next poll brings the state
	}
	return version, nil
}
