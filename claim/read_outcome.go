package claim

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

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

// rowAbsent handles an operation whose row does not exist.
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

// claimRowFound handles a claim whose row exists: it is this claim, whose commit took effect, or one that did not run and may be claimed again,
// or another claim.
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
