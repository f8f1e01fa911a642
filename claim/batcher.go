package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Operation is one write of a claim row. A row in state Claimed claims the request; any other state settles a claim that this entry
// holds.
type Operation struct {
	ID      string
	Row     Row
	Version uint64 // expected version of the current row; 0 if the row must be absent

	abandoned     bool // the caller has left, so the claim must be released
	mayTakeEffect bool // an earlier commit of the claim has an unknown outcome and may still take effect
}

func (o *Operation) isClaim() bool { return o.Row.State == Claimed }

// Status is the result of trying to claim a request.
type Status string

// The statuses of a claim; only Won permits the entry to send the request.
const (
	Won         Status = "Won"
	Exists      Status = "Exists"      // another claim exists; Result.Row is its row
	Unavailable Status = "Unavailable" // the table service did not accept the claim
)

// Result reports how a claim ended; Row has an empty State if the existing row could not be decoded.
type Result struct {
	Operation *Operation
	Status    Status
	Row       Row
	Version   uint64
}

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

// CommitSucceeded reports that the commit took effect at the given version.
func (b *Batcher) CommitSucceeded(version uint64) (results []Result) {
	for _, operation := range b.takeInFlight() {
		if operation.isClaim() {
			results = b.claimWon(results, operation, version)
		}
	}
	return results
}

func (b *Batcher) takeInFlight() (taken []*Operation) {
	taken, b.inFlight = b.inFlight, nil
	b.phase, b.readFailed = idle, false
	return taken
}

func (b *Batcher) claimWon(results []Result, operation *Operation, version uint64) []Result {
	if operation.abandoned {
		b.releaseClaim(operation, version)
		return results
	}
	return append(results, Result{Operation: operation, Status: Won, Row: operation.Row, Version: version})
}

// CommitConflicted reports that the commit changed nothing because the conditions on the keys failed. The rows of these keys are
// read, and the other operations are committed again.
func (b *Batcher) CommitConflicted(keys []string) {
	var rest []*Operation
	b.inFlight = slices.DeleteFunc(b.inFlight, func(operation *Operation) bool {
		named := slices.Contains(keys, Key(operation.ID))
		if !named {
			rest = append(rest, operation)
		}
		return !named
	})
	if len(b.inFlight) == 0 { // the conflict names no row of the batch
		b.inFlight, rest = rest, nil
	}
	for _, operation := range rest {
		b.requeue(operation)
	}
	b.phase = reading
}

// requeue queues an operation for another commit, unless it is a claim whose caller has left.
func (b *Batcher) requeue(operation *Operation) {
	if operation.isClaim() && operation.abandoned {
		b.discardClaim(operation)
		return
	}
	b.pending = append(b.pending, operation)
}

// CommitFailed reports that the commit did not take effect; its claims fail, and settlements are retried.
func (b *Batcher) CommitFailed(now time.Time) (results []Result) {
	b.nextCommit = now.Add(b.config.Backoff)
	for _, operation := range b.takeInFlight() {
		results = b.failOperation(results, operation)
	}
	return results
}

func (b *Batcher) failOperation(results []Result, operation *Operation) []Result {
	if !operation.isClaim() {
		b.pending = append(b.pending, operation)
		return results
	}
	b.discardClaim(operation)
	if operation.abandoned {
		return results
	}
	return append(results, Result{Operation: operation, Status: Unavailable})
}

// CommitUnknown reports that the commit may or may not have taken effect; its rows are read back.
func (b *Batcher) CommitUnknown() {
	for _, operation := range b.inFlight {
		operation.mayTakeEffect = true
	}
	b.phase = reading
}

// ReadFailed reports that the read failed. It is retried after the backoff, and pending claims fail.
func (b *Batcher) ReadFailed(now time.Time) (results []Result) {
	b.nextRead = now.Add(b.config.Backoff)
	b.readFailed = true
	waiting := b.pending
	b.pending = nil
	for _, operation := range waiting {
		results = b.failOperation(results, operation)
	}
	return results
}

// ReadSucceeded reports the rows that exist among the keys that were read.
func (b *Batcher) ReadSucceeded(rows []acaciatally.Row) (results []Result) {
	for _, operation := range b.takeInFlight() {
		i := slices.IndexFunc(rows, func(row acaciatally.Row) bool { return row.Key == Key(operation.ID) })
		switch {
		case i < 0:
			b.rowAbsent(operation)
		case operation.isClaim():
			results = b.claimRowFound(results, operation, rows[i])
		default:
			b.settlementRowFound(operation, rows[i])
		}
	}
	return results
}

func (b *Batcher) rowAbsent(operation *Operation) {
	switch {
	case operation.isClaim():
		operation.Version = 0
		b.requeue(operation)
	case operation.Version == 0:
		b.pending = append(b.pending, operation)
	default: // the row was deleted after the retention period, so there is nothing to settle
	}
}

func (b *Batcher) claimRowFound(results []Result, operation *Operation, found acaciatally.Row) []Result {
	row, err := Decode(found.Value)
	switch {
	case err == nil && row.Nonce == operation.Row.Nonce && row.State == Claimed:
		return b.claimWon(results, operation, found.Version)
	case err == nil && row.State == NotRun && row.BodyHash == operation.Row.BodyHash:
		operation.mayTakeEffect = operation.mayTakeEffect && operation.Version == found.Version
		operation.Version = found.Version
		b.requeue(operation)
		return results
	case operation.abandoned:
		return results
	}
	return append(results, Result{Operation: operation, Status: Exists, Row: row, Version: found.Version})
}

// settlementRowFound retries a settlement if the row still has the expected version or is the entry's own claim, which a late commit
// may have written.
func (b *Batcher) settlementRowFound(operation *Operation, found acaciatally.Row) {
	row, err := Decode(found.Value)
	if err != nil || row.Nonce != operation.Row.Nonce || row.State != Claimed {
		if found.Version != operation.Version {
			return
		}
	}
	operation.Version = found.Version
	b.pending = append(b.pending, operation)
}
