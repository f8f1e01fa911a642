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
	// batchLimit keeps a transaction below the store's 100 entries; a submission takes four.
	batchLimit = 20
	// refusedTries are the tries of a batch that the store refuses, as it does for a moment when one partition has too much to do.
	refusedTries = 3
	// refusedPause is short, since callers are to be refused early.
	refusedPause = 40 * time.Millisecond
	// batchLife bounds the tries of a batch without answer; its callers have given up long before.
	batchLife = 10 * time.Second
)

// item is one submission on its way to the store.
type item struct {
	id          acaciatally.JobID
	transaction acaciatally.RecordTransaction
	digest      uint64
	result      chan error
}

// batcher records the submissions of one queue, one transaction at a time, so that a slow partition is not flooded.
type batcher struct {
	store   acaciatally.RecordStore
	queue   acaciatally.QueueName
	mutex   sync.Mutex
	waiting []*item
	busy    bool
}

// add records a submission with others and returns its result.
func (b *batcher) add(ctx context.Context, i *item) error {
	i.result = make(chan error, 1)
	b.mutex.Lock()
	b.waiting = append(b.waiting, i)
	begin := !b.busy
	b.busy = true
	b.mutex.Unlock()
	if begin {
		go b.run(context.WithoutCancel(ctx))
	}
	select {
	case err := <-i.result:
		return err
	case <-ctx.Done():
		return b.abandon(i)
	}
}

// abandon takes a submission back whose caller waits no longer; one that may have been sent has no known outcome.
func (b *batcher) abandon(i *item) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for at, other := range b.waiting {
		if other == i {
			b.waiting = append(b.waiting[:at], b.waiting[at+1:]...)
			return &acaciatally.NotAcceptedError{Reason: "the record store is slow", RetryAfter: outageRetryAfter}
		}
	}
	return acaciatally.ErrNoAnswer
}

func (b *batcher) run(ctx context.Context) {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		b.record(ctx, batch)
	}
}

// take returns the next batch; a repetition of a submission waits for the batch after it.
func (b *batcher) take() (batch []*item) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := map[acaciatally.JobID]bool{}
	var rest []*item
	for _, i := range b.waiting {
		if len(batch) == batchLimit || taken[i.id] {
			rest = append(rest, i)
			continue
		}
		taken[i.id] = true
		batch = append(batch, i)
	}
	b.waiting = rest
	b.busy = len(batch) > 0
	return batch
}

// record commits a batch until the outcome of each of its submissions is known.
func (b *batcher) record(ctx context.Context, batch []*item) {
	ctx, cancel := context.WithTimeout(ctx, batchLife)
	defer cancel()
	unsure := false
	for tries := 0; len(batch) > 0; {
		_, err := b.store.Commit(ctx, join(batch))
		var conflict *acaciatally.RecordConflictError
		switch {
		case err == nil:
			settle(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = b.resolve(batch, conflict)
			continue
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			unsure = true
		default:
			tries++
			if !unsure && tries >= refusedTries {
				settle(batch, &acaciatally.NotAcceptedError{Reason: "the record store refuses", RetryAfter: outageRetryAfter})
				return
			}
		}
		if ctx.Err() != nil {
			settle(batch, acaciatally.ErrNoAnswer)
			return
		}
		time.Sleep(refusedPause)
	}
}

func join(batch []*item) (transaction acaciatally.RecordTransaction) {
	for _, i := range batch {
		transaction.Conditions = append(transaction.Conditions, i.transaction.Conditions...)
		transaction.Writes = append(transaction.Writes, i.transaction.Writes...)
	}
	return transaction
}

func settle(batch []*item, err error) {
	for _, i := range batch {
		i.result <- err
	}
}

// resolve answers the submissions that are recorded already, and returns the others.
func (b *batcher) resolve(batch []*item, conflict *acaciatally.RecordConflictError) (others []*item) {
	for _, i := range batch {
		current, found := conflict.Find(job.ProgressKey(b.queue, i.id))
		if !found {
			others = append(others, i)
			continue
		}
		i.result <- i.compare(current)
	}
	if len(others) == len(batch) {
		settle(batch, acaciatally.ErrNoAnswer) // a conflict that names none of them
		return nil
	}
	return others
}

// compare tells a repeated submission from another job of the same id.
func (i *item) compare(current acaciatally.Record) error {
	progress, err := job.DecodeProgress(current.Value)
	if err != nil {
		return err
	}
	if progress.Digest != i.digest {
		return acaciatally.ErrOtherJob
	}
	return nil
}
