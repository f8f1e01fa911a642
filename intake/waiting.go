package intake

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	// waitingTimeout bounds a count, whose callers may have left.
	waitingTimeout = 5 * time.Second
	// waitingPage is the number of records that are counted at a time.
	waitingPage = 500
)

// Waiting returns the number of accepted jobs of which no task has started. Callers that ask for the same queue at the same time share one count, since
// the list of a long backlog takes much memory and many reads. It fails with *NotAcceptedError.
func (s *Service) Waiting(ctx context.Context, queue acaciatally.Queue) (count int, err error) {
	defer func() { err = oops.In("intake").With("queue", queue.Name).Wrapf(err, "count waiting jobs") }()
	if err = s.checkStore(); err != nil {
		return 0, err
	}
	counted := s.counts.DoChan(string(queue.Name), func() (any, error) {
		countCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), waitingTimeout)
		defer cancel()
		return s.countWaiting(countCtx, queue.Name)
	})
	select {
	case result := <-counted:
		count, _ = result.Val.(int)
		return count, result.Err
	case <-ctx.Done():
		return 0, &acaciatally.NotAcceptedError{Reason: "the record store is slow", RetryAfter: storeRetryAfter}
	}
}

// countWaiting counts the waiting jobs of a queue page by page.
func (s *Service) countWaiting(ctx context.Context, queue acaciatally.QueueName) (count int, err error) {
	selection := acaciatally.RecordRange{Table: job.WaitingTable, Partition: string(queue), Limit: waitingPage}
	for {
		page, err := s.config.Store.Read(ctx, selection)
		if err != nil {
			return 0, &acaciatally.NotAcceptedError{Reason: "the record store refuses", RetryAfter: storeRetryAfter}
		}
		count += len(page.Records)
		if !page.More {
			return count, nil
		}
		selection.From = page.Records[len(page.Records)-1].Key + "\x00"
	}
}
