package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	// maxBatchSize keeps a transaction below the store's limit of 100 conditions and writes; a submission takes up to four.
	maxBatchSize = 20
	// maxBatchBytes keeps a transaction below the store's limit of 1 MB, including the base64 overhead; a batch goes beyond it by at most one
	// submission.
	maxBatchBytes = 512 << 10
	// maxRefusals is the number of refused attempts after which a batch fails. One refusal is not enough, since the store refuses
	// transactions for a moment when a partition is overloaded.
	maxRefusals = 3
	// batchRetryDelay is the delay between two attempts at a batch. It is short, so that callers are told early if the store keeps refusing.
	batchRetryDelay = 40 * time.Millisecond
	// batchTimeout limits the attempts at a batch whose outcome is unknown; the deadlines of its callers have passed long before.
	batchTimeout = 10 * time.Second
)

// submission is one job that is to be recorded, and where its result goes.
type submission struct {
	id          acaciatally.JobID
	account     acaciatally.AccountName
	transaction acaciatally.RecordTransaction
	digest      uint64
	result      chan error
	abandoned   bool // its caller no longer waits for the result
}

// size returns the size of the records that the submission writes, in bytes.
func (s *submission) size() (size int) {
	for _, write := range s.transaction.Writes {
		size += len(write.Value)
	}
	return size
}

// batcher records the submissions of one queue in batches. Only one transaction is in progress at a time, so that a slow partition is
// not overloaded.
type batcher struct {
	store    acaciatally.RecordStore
	queue    acaciatally.QueueName
	eventLog EventLog
	mutex    sync.Mutex
	waiting  []*submission
	running  bool
}

// add puts a submission into a batch and returns its result. Once ctx has ended, it withdraws the submission.
func (b *batcher) add(ctx context.Context, s *submission) error {
	s.result = make(chan error, 1)
	b.mutex.Lock()
	b.waiting = append(b.waiting, s)
	start := !b.running
	b.running = true
	b.mutex.Unlock()
	if start {
		go b.run(context.WithoutCancel(ctx))
	}
	select {
	case err := <-s.result:
		return err
	case <-ctx.Done():
		return b.withdraw(s)
	}
}

// withdraw removes a submission whose caller no longer waits. If its batch may have been sent, the outcome is unknown.
func (b *batcher) withdraw(s *submission) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s.abandoned = true
	for index, other := range b.waiting {
		if other == s {
			b.waiting = append(b.waiting[:index], b.waiting[index+1:]...)
			return &acaciatally.NotAcceptedError{Reason: "the record store is slow", RetryAfter: storeRetryAfter}
		}
	}
	return acaciatally.ErrUnknownOutcome
}

func (b *batcher) run(ctx context.Context) {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.commitBatch(ctx, batch)
	}
}

// nextBatch returns the next batch. A second submission of the same job waits for a later batch.
func (b *batcher) nextBatch() (batch []*submission) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	inBatch := map[acaciatally.JobID]bool{}
	size := 0
	var rest []*submission
	for _, s := range b.waiting {
		if len(batch) == maxBatchSize || size > maxBatchBytes || inBatch[s.id] {
			rest = append(rest, s)
			continue
		}
		inBatch[s.id] = true
		size += s.size()
		batch = append(batch, s)
	}
	b.waiting = rest
	b.running = len(batch) > 0
	return batch
}

// commitBatch commits a batch, with retries until the outcome of each of its submissions is known or batchTimeout is over.
func (b *batcher) commitBatch(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	outcomeUnknown := false
	for refusals := 0; len(batch) > 0; {
		_, err := b.store.Commit(ctx, mergeTransactions(batch))
		var conflict *acaciatally.RecordConflictError
		switch {
		case err == nil:
			b.finishAll(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = b.resolveConflict(batch, conflict)
			continue
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			outcomeUnknown = true
		default:
			refusals++
			if !outcomeUnknown && refusals >= maxRefusals {
				b.finishAll(batch, &acaciatally.NotAcceptedError{Reason: "the record store refuses", RetryAfter: storeRetryAfter})
				return
			}
		}
		if ctx.Err() != nil {
			b.finishAll(batch, acaciatally.ErrUnknownOutcome)
			return
		}
		time.Sleep(batchRetryDelay)
	}
}

func mergeTransactions(batch []*submission) (transaction acaciatally.RecordTransaction) {
	for _, s := range batch {
		transaction.Conditions = append(transaction.Conditions, s.transaction.Conditions...)
		transaction.Writes = append(transaction.Writes, s.transaction.Writes...)
	}
	return transaction
}

// finishAll finishes each submission of a batch with the same result.
func (b *batcher) finishAll(batch []*submission, err error) {
	for _, s := range batch {
		b.finish(s, err)
	}
}

// finish sends the result of a submission to its caller, or logs it if the caller no longer waits.
func (b *batcher) finish(s *submission, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s.abandoned {
		b.eventLog.SubmissionResolved(b.queue, s.id, err)
	}
	s.result <- err
}

// resolveConflict sends the results of the submissions that are already recorded and returns the others.
func (b *batcher) resolveConflict(batch []*submission, conflict *acaciatally.RecordConflictError) (unrecorded []*submission) {
	for _, s := range batch {
		current, found := conflict.Find(job.ProgressKey(b.queue, s.id))
		if !found {
			unrecorded = append(unrecorded, s)
			continue
		}
		b.finish(s, b.compareRecorded(s, current))
	}
	if len(unrecorded) == len(batch) {
		b.finishAll(batch, acaciatally.ErrUnknownOutcome) // the conflict names none of these submissions
		return nil
	}
	return unrecorded
}

// compareRecorded returns nil if the recorded job is a repeated submission of the same job, ErrJobIDInUse if it is a different job or one of
// another account, and ErrJobWithdrawn if the job was cancelled before it was accepted.
func (b *batcher) compareRecorded(s *submission, current acaciatally.Record) error {
	progress, err := job.DecodeProgress(current.Value)
	if err != nil {
		return err
	}
	if !job.Accessible(progress.Account, s.account) {
		b.eventLog.OwnerMismatch(b.queue, s.id, s.account)
		return acaciatally.ErrJobIDInUse
	}
	if progress.State == acaciatally.JobWithdrawn {
		return acaciatally.ErrJobWithdrawn
	}
	if progress.Digest != s.digest {
		return acaciatally.ErrJobIDInUse
	}
	return nil
}
