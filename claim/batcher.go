package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Operation is one write of a claim's row: a row in state Claimed claims the request, any other state settles an own claim.
type Operation struct {
	ID      string
	Row     Row
	Version uint64 // version of the row that is replaced; 0 when it must be absent

	abandoned bool // nobody waits for the claim, so it must not be held
	exposed   bool // a commit with the claim may still take effect
}

func (o *Operation) claims() bool { return o.Row.State == Claimed }

// Verdict is what became of a claim.
type Verdict string

// The verdicts on a claim; only Won allows the holder to send the request.
const (
	Won         Verdict = "Won"
	Exists      Verdict = "Exists"      // another claim stands; Result.Row is its row
	Unavailable Verdict = "Unavailable" // the table service did not take the claim
)

// Result is the end of a claim; Row has no State when a foreign row could not be decoded.
type Result struct {
	Operation *Operation
	Verdict   Verdict
	Row       Row
	Version   uint64
}

// Action is what the runner does next: a commit, a read of keys, or a wait until a time, which is zero when only a new
// operation gives work.
type Action struct {
	Commit *acaciatally.Transaction
	Read   []string
	Wait   time.Time
}

// BatcherConfig is what a Batcher needs.
type BatcherConfig struct {
	Interval   time.Duration // between the starts of two commits
	Backoff    time.Duration // after a failed call
	MaxBatch   int           // operations in a transaction
	MaxPending int           // claims waiting for a transaction
}

type phase int

const (
	idle phase = iota
	committing
	reading
)

// Batcher decides which operations share a transaction and what a transaction's end means for each; it performs no I/O and is
// not safe for concurrent use.
type Batcher struct {
	config  BatcherConfig
	phase   phase
	pending []*Operation
	flight  []*Operation // written by the commit in progress, or to be read back
	commits uint64       // makes the transactions' ids differ
	next    time.Time    // earliest start of the next commit
	retry   time.Time    // earliest start of the next read
	blocked bool         // the last read failed, so nothing can be committed until one succeeds
}

// NewBatcher returns a batcher without operations.
func NewBatcher(config BatcherConfig) *Batcher {
	return &Batcher{config: config}
}

// Idle reports whether no operation is left.
func (b *Batcher) Idle() bool {
	return b.phase == idle && len(b.pending) == 0
}

// Submit takes an operation; it turns a claim away while the table service does not answer or too many claims wait.
func (b *Batcher) Submit(operation *Operation) (accepted bool) {
	if operation.claims() && (b.blocked || len(b.pending) >= b.config.MaxPending) {
		return false
	}
	b.pending = append(b.pending, operation)
	return true
}

// Abandon gives up a claim for which nobody waits any more; a claim that took effect, or still may, is released.
func (b *Batcher) Abandon(operation *Operation) {
	operation.abandoned = true
	if i := slices.Index(b.pending, operation); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
		b.drop(operation)
	}
}

// drop ends a claim that is not known to have taken effect; one that still may is fenced by a row in its place.
func (b *Batcher) drop(operation *Operation) {
	if operation.exposed {
		b.release(operation, operation.Version)
	}
}

// release replaces the claim by a row NotRun at the version, which also makes any late commit of the claim fail.
func (b *Batcher) release(operation *Operation, version uint64) {
	row := operation.Row
	row.State = NotRun
	b.pending = append(b.pending, &Operation{ID: operation.ID, Row: row, Version: version})
}

// Next returns the next action; after a commit or a read the caller reports its end before it calls Next again.
func (b *Batcher) Next(now time.Time) Action {
	switch {
	case b.phase == reading && now.Before(b.retry):
		return Action{Wait: b.retry}
	case b.phase == reading:
		return Action{Read: b.flightKeys()}
	case b.phase == committing || len(b.pending) == 0:
		return Action{}
	case now.Before(b.next):
		return Action{Wait: b.next}
	}
	b.flight = b.takeBatch()
	b.phase = committing
	b.next = now.Add(b.config.Interval)
	return Action{Commit: b.transaction()}
}

// takeBatch removes the oldest operations from pending, at most one for a row.
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

func (b *Batcher) flightKeys() (keys []string) {
	for _, operation := range b.flight {
		keys = append(keys, Key(operation.ID))
	}
	return keys
}

func (b *Batcher) transaction() *acaciatally.Transaction {
	b.commits++
	transaction := &acaciatally.Transaction{ID: fmt.Sprintf("%s-%d", b.flight[0].Row.Nonce, b.commits)}
	for _, operation := range b.flight {
		key := Key(operation.ID)
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: key, Version: operation.Version})
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key, Value: operation.Row.Encode()})
	}
	return transaction
}

// Committed reports that the commit took effect at the version.
func (b *Batcher) Committed(version uint64) (results []Result) {
	for _, operation := range b.takeFlight() {
		if operation.claims() {
			results = b.won(results, operation, version)
		}
	}
	return results
}

func (b *Batcher) takeFlight() (flight []*Operation) {
	flight, b.flight = b.flight, nil
	b.phase, b.blocked = idle, false
	return flight
}

func (b *Batcher) won(results []Result, operation *Operation, version uint64) []Result {
	if operation.abandoned {
		b.release(operation, version)
		return results
	}
	return append(results, Result{Operation: operation, Verdict: Won, Row: operation.Row, Version: version})
}

// Conflicted reports that the commit changed nothing because of the keys; their rows are read, the rest is sent again.
func (b *Batcher) Conflicted(keys []string) {
	var rest []*Operation
	b.flight = slices.DeleteFunc(b.flight, func(operation *Operation) bool {
		named := slices.Contains(keys, Key(operation.ID))
		if !named {
			rest = append(rest, operation)
		}
		return !named
	})
	if len(b.flight) == 0 { // the conflict names no row of the batch
		b.flight, rest = rest, nil
	}
	for _, operation := range rest {
		b.again(operation)
	}
	b.phase = reading
}

// again queues an operation for another commit, unless it is a claim that nobody waits for.
func (b *Batcher) again(operation *Operation) {
	if operation.claims() && operation.abandoned {
		b.drop(operation)
		return
	}
	b.pending = append(b.pending, operation)
}

// Failed reports that the commit did not reach the table service; claims fail with it, settlements are tried again.
func (b *Batcher) Failed(now time.Time) (results []Result) {
	b.next = now.Add(b.config.Backoff)
	for _, operation := range b.takeFlight() {
		results = b.unavailable(results, operation)
	}
	return results
}

func (b *Batcher) unavailable(results []Result, operation *Operation) []Result {
	if !operation.claims() {
		b.pending = append(b.pending, operation)
		return results
	}
	b.drop(operation)
	if operation.abandoned {
		return results
	}
	return append(results, Result{Operation: operation, Verdict: Unavailable})
}

// Lost reports that the commit may or may not have taken effect; its rows are read back.
func (b *Batcher) Lost() {
	for _, operation := range b.flight {
		operation.exposed = true
	}
	b.phase = reading
}

// ReadFailed reports that the read back failed; it is tried again, and the claims that wait for a commit fail.
func (b *Batcher) ReadFailed(now time.Time) (results []Result) {
	b.retry = now.Add(b.config.Backoff)
	b.blocked = true
	waiting := b.pending
	b.pending = nil
	for _, operation := range waiting {
		results = b.unavailable(results, operation)
	}
	return results
}

// ReadBack reports the rows that exist for the keys of the read.
func (b *Batcher) ReadBack(rows []acaciatally.Row) (results []Result) {
	for _, operation := range b.takeFlight() {
		i := slices.IndexFunc(rows, func(row acaciatally.Row) bool { return row.Key == Key(operation.ID) })
		switch {
		case i < 0:
			b.absent(operation)
		case operation.claims():
			results = b.present(results, operation, rows[i])
		default:
			b.presentSettled(operation, rows[i])
		}
	}
	return results
}

func (b *Batcher) absent(operation *Operation) {
	switch {
	case operation.claims():
		operation.Version = 0
		b.again(operation)
	case operation.Version == 0:
		b.pending = append(b.pending, operation)
	default: // the row was deleted after the retention; nothing is left to settle
	}
}

func (b *Batcher) present(results []Result, operation *Operation, found acaciatally.Row) []Result {
	row, err := Decode(found.Value)
	switch {
	case err == nil && row.Nonce == operation.Row.Nonce && row.State == Claimed:
		return b.won(results, operation, found.Version)
	case err == nil && row.State == NotRun && row.BodyHash == operation.Row.BodyHash:
		operation.exposed = operation.exposed && operation.Version == found.Version
		operation.Version = found.Version
		b.again(operation)
		return results
	case operation.abandoned:
		return results
	}
	return append(results, Result{Operation: operation, Verdict: Exists, Row: row, Version: found.Version})
}

// presentSettled tries a settlement again while the row is still the own claim, which a late commit may have brought.
func (b *Batcher) presentSettled(operation *Operation, found acaciatally.Row) {
	row, err := Decode(found.Value)
	if err != nil || row.Nonce != operation.Row.Nonce || row.State != Claimed {
		if found.Version != operation.Version {
			return
		}
	}
	operation.Version = found.Version
	b.pending = append(b.pending, operation)
}
