package claim

import (
	"slices"
	"time"
)

// CommitSucceeded reports that the commit took effect at the given version.
func (b *Batcher) CommitSucceeded(version uint64) (results []Result) {
	for _, operation := range b.takeInFlight() {
		if operation.isClaim() {
			results = b.claimWon(results, operation, version)
		}
	}
	return results
}

// takeInFlight returns the operations of the commit or read that has ended.
func (b *Batcher) takeInFlight() (taken []*Operation) {
	taken, b.inFlight = b.inFlight, nil
	b.phase, b.readFailed = idle, false
	return taken
}

// claimWon adds the result of a claim that took effect at the version; if its caller has left, the claim is released instead.
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

// failOperation adds the result of a claim that did not take effect; a settlement is queued again.
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
