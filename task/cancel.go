package task

import (
	"context"
	"errors"
	"slices"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

// maxConcurrentStops limits the stop orders that a batch of cancellations sends to the platform concurrently.
const maxConcurrentStops = 16

// cancel writes each cancelled task once, and then stops the attempts that were running.
func (f *Frontend) cancel(ctx context.Context, batch []*cancellation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCommitAttempts*f.config.Timeout)
	defer cancel()
	outcome := acaciatally.NotRun
	for range maxCommitAttempts {
		open := unsettledCancellations(batch)
		if len(open) == 0 {
			break
		}
		err := f.cancelUnsettled(ctx, open)
		if errors.Is(err, acaciatally.ErrUnknownCommit) {
			outcome = acaciatally.Unknown
		}
		if err != nil {
			acaciatally.Sleep(ctx, commitRetryDelay)
		}
	}
	for _, call := range batch {
		call.settle(Record{}, refusal(outcome, "the platform cannot cancel the task now; cancel it again"))
		close(call.done)
	}
	f.stopAttempts(ctx, batch)
}

func unsettledCancellations(batch []*cancellation) (open []*cancellation) {
	for _, call := range batch {
		if !call.settled {
			open = append(open, call)
		}
	}
	return open
}

func (f *Frontend) cancelUnsettled(ctx context.Context, open []*cancellation) error {
	ids := make([]string, 0, len(open))
	for _, call := range open {
		ids = append(ids, call.id)
	}
	rows, err := f.find(ctx, ids)
	if err != nil {
		return err
	}
	found := map[string]storedRecord{}
	for _, row := range rows {
		found[row.record.Spec.ID] = row
	}
	transaction := acaciatally.Transaction{ID: ulid.Make().String()}
	next := map[string]Record{}
	for _, call := range open {
		row, exists := found[call.id]
		switch {
		case !exists || row.record.Spec.Team != call.team:
			call.settle(Record{}, ErrTaskNotFound)
		case row.record.Phase.Ended():
			call.settle(row.record, nil)
		case next[call.id].Phase == "":
			record := row.record.withDecision(f.config.Clock.Now(), Cancelled, "cancelled by its team")
			next[call.id] = record
			key := RowKey(record.Spec.Pool, call.id)
			transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: key, Version: row.version})
			transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key, Value: record.Encode()})
		}
	}
	return f.commitCancelled(ctx, open, transaction, next)
}

// commitCancelled writes the rows. It leaves out rows that another process has just changed; their calls stay unsettled, so that cancel
// retries them.
func (f *Frontend) commitCancelled(ctx context.Context, open []*cancellation, transaction acaciatally.Transaction, next map[string]Record) error {
	for len(transaction.Writes) > 0 {
		commitCtx, cancel := context.WithTimeout(ctx, f.config.Timeout)
		_, err := f.config.Table.Commit(commitCtx, transaction)
		cancel()
		var conflict *acaciatally.ConflictError
		if errors.As(err, &conflict) {
			transaction = withoutKeys(transaction, conflict.Keys)
			continue
		}
		if err != nil {
			return err
		}
		for _, call := range open {
			record, proposed := next[call.id]
			written := func(write acaciatally.Write) bool { return write.Key == RowKey(record.Spec.Pool, call.id) }
			if proposed && slices.ContainsFunc(transaction.Writes, written) {
				call.settle(record, nil)
			}
		}
		return nil
	}
	return nil
}

func withoutKeys(transaction acaciatally.Transaction, keys []string) acaciatally.Transaction {
	rest := acaciatally.Transaction{ID: ulid.Make().String()}
	for i, write := range transaction.Writes {
		if !slices.Contains(keys, write.Key) {
			rest.Conditions = append(rest.Conditions, transaction.Conditions[i])
			rest.Writes = append(rest.Writes, write)
		}
	}
	return rest
}

// stopAttempts stops the attempts of the cancelled tasks immediately. If an order fails, the pool's controller stops the attempt when it
// next reads the row.
func (f *Frontend) stopAttempts(ctx context.Context, batch []*cancellation) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentStops)
	for _, call := range batch {
		if call.err != nil || call.record.Phase != Cancelled || call.record.Worker == "" {
			continue
		}
		group.Go(func() error {
			stopCtx, cancel := context.WithTimeout(ctx, f.config.Timeout)
			defer cancel()
			_ = f.config.Leases.Stop(stopCtx, call.record.Spec.ID, call.record.Attempt)
			return nil
		})
	}
	_ = group.Wait()
}
