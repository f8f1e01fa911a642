package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Action is the runner's next step: a commit, a read of keys, or a wait. Wait is the time of the next step, or zero if there is
// nothing to do until an operation is submitted.
type Action struct {
	Commit *acaciatally.Transaction
	Read   []string
	Wait   time.Time
}

// BatcherConfig holds the settings of a Batcher.
type BatcherConfig struct {
	Interval   time.Duration // minimum time between the starts of two commits
	Backoff    time.Duration // delay after a failed call
	MaxBatch   int           // maximum operations per transaction
	MaxPending int           // maximum operations waiting for a transaction before new claims are rejected
}

type phase int

const (
	idle phase = iota
	committing
	reading
)

// Batcher groups operations into transactions and determines the result of each operation from the outcome of its transaction. It
// performs no I/O and is not safe for concurrent use.
type Batcher struct {
	config     BatcherConfig
	phase      phase
	pending    []*Operation
	inFlight   []*Operation // operations of the commit in progress, or of the rows to be read back
	commits    uint64       // number of commits, to make transaction ids unique
	nextCommit time.Time    // earliest start of the next commit
	nextRead   time.Time    // earliest start of the next read
	readFailed bool         // the last read failed; nothing is committed until a read succeeds
}

// NewBatcher returns a batcher with no operations.
func NewBatcher(config BatcherConfig) *Batcher {
	return &Batcher{config: config}
}

// Idle reports whether no operation is pending or in flight.
func (b *Batcher) Idle() bool {
	return b.phase == idle && len(b.pending) == 0
}

// Submit queues an operation. It rejects a claim while reads from the table service fail or too many operations are pending.
func (b *Batcher) Submit(operation *Operation) (accepted bool) {
	if operation.isClaim() && (b.readFailed || len(b.pending) >= b.config.MaxPending) {
		return false
	}
	b.pending = append(b.pending, operation)
	return true
}

// Abandon withdraws a claim whose caller has left; a claim that took effect, or may still do so, is released.
func (b *Batcher) Abandon(operation *Operation) {
	operation.abandoned = true
	if i := slices.Index(b.pending, operation); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
		b.discardClaim(operation)
	}
}

// discardClaim ends a claim that is not known to have taken effect. If an earlier commit of it may still take effect, a NotRun row
// is written to make that commit fail.
func (b *Batcher) discardClaim(operation *Operation) {
	if operation.mayTakeEffect {
		b.releaseClaim(operation, operation.Version)
	}
}

// releaseClaim replaces the row at the given version by a NotRun row, which also makes a late commit of the claim fail.
func (b *Batcher) releaseClaim(operation *Operation, version uint64) {
	row := operation.Row
	row.State = NotRun
	b.pending = append(b.pending, &Operation{ID: operation.ID, Row: row, Version: version})
}

// Next returns the next action. After a commit or a read, the caller must report its outcome before calling Next again.
func (b *Batcher) Next(now time.Time) Action {
	switch {
	case b.phase == reading && now.Before(b.nextRead):
		return Action{Wait: b.nextRead}
	case b.phase == reading:
		return Action{Read: b.inFlightKeys()}
	case b.phase == committing || len(b.pending) == 0:
		return Action{}
	case now.Before(b.nextCommit):
		return Action{Wait: b.nextCommit}
	}
	b.inFlight = b.takeBatch()
	b.phase = committing
	b.nextCommit = now.Add(b.config.Interval)
	return Action{Commit: b.transaction()}
}

// takeBatch removes the oldest operations from pending, with at most one per row.
func (b *Batcher) takeBatch() (batch []*Operation) {
	var rest []*Operation
	seen := map[string]bool{}
	for _, operation := range b.pending {
		if len(batch) < b.config.MaxBatch && !seen[operation.ID] {
			batch = append(batch, operation)
		} else {
			rest = append(rest, operation)
		}
		seen[operation.ID] = true
	}
	b.pending = rest
	return batch
}

func (b *Batcher) inFlightKeys() (keys []string) {
	for _, operation := range b.inFlight {
		keys = append(keys, Key(operation.ID))
	}
	return keys
}

func (b *Batcher) transaction() *acaciatally.Transaction {
	b.commits++
	transaction := &acaciatally.Transaction{ID: fmt.Sprintf("%s-%d", b.inFlight[0].Row.Nonce, b.commits)}
	for _, operation := range b.inFlight {
		key := Key(operation.ID)
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: key, Version: operation.Version})
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key, Value: operation.Row.Encode()})
	}
	return transaction
}
