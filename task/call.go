package task

import (
	"context"

	"github.com/acaciatally/acaciatally"
)

// submission is a call of Frontend.Submit that waits for a transaction.
type submission struct {
	result
	spec             Spec
	mayHaveCommitted bool // a transaction with the row may have taken effect
}

// cancellation is a call of Frontend.Cancel that waits for a transaction.
type cancellation struct {
	result
	team acaciatally.TeamName
	id   string
}

// result is the result of a call. The goroutine that processes the call settles it and then closes done.
type result struct {
	record  Record
	err     error
	settled bool
	done    chan struct{}
}

func newResult() result { return result{done: make(chan struct{})} }

// settle sets the result, unless it is already set.
func (r *result) settle(record Record, err error) {
	if !r.settled {
		r.settled, r.record, r.err = true, record, err
	}
}

// wait returns the result once the call is processed, or a refusal with the reason and an unknown outcome if ctx ends first.
func (r *result) wait(ctx context.Context, timeoutReason string) (record Record, err error) {
	select {
	case <-r.done:
		return r.record, r.err
	case <-ctx.Done():
		return Record{}, refusal(acaciatally.Unknown, timeoutReason)
	}
}

// collectSubmissions waits for submissions and returns a batch of them; the batch is empty if ctx ends before the first one.
func (f *Frontend) collectSubmissions(ctx context.Context) (batch []*submission) {
	f.collect(ctx, func(end <-chan struct{}) (received bool) {
		select {
		case call := <-f.submissions:
			batch = append(batch, call)
			return true
		case <-end:
			return false
		}
	})
	return batch
}

// collectCancellations is collectSubmissions for cancellations.
func (f *Frontend) collectCancellations(ctx context.Context) (batch []*cancellation) {
	f.collect(ctx, func(end <-chan struct{}) (received bool) {
		select {
		case call := <-f.cancellations:
			batch = append(batch, call)
			return true
		case <-end:
			return false
		}
	})
	return batch
}

// collect calls receive for the first call of a batch, which waits until ctx ends, and then for further ones until BatchInterval has
// passed or the batch has BatchSize calls. The end of ctx does not cut a batch short that has begun.
func (f *Frontend) collect(ctx context.Context, receive func(end <-chan struct{}) (received bool)) {
	if !receive(ctx.Done()) {
		return
	}
	batchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.config.BatchInterval)
	defer cancel()
	for count := 1; count < f.config.BatchSize && receive(batchCtx.Done()); count++ {
	}
}
