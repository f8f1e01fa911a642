package task

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally"
)

// loadRows reads the pool's rows after a takeover, up to maxLoadPages pages per round.
func (r *Runner) loadRows(ctx context.Context) error {
	prefix := RowKey(r.config.Scheduler.Pool, "")
	for range maxLoadPages {
		rows, err := r.scan(ctx, prefix, r.loadCursor, rowPageSize)
		if err != nil {
			return err
		}
		for _, id := range r.updateRows(rows) {
			r.returnedInbox = append(r.returnedInbox, inboxKey(r.config.Scheduler.Pool, id))
		}
		if len(rows) < rowPageSize {
			r.loaded = true
			r.scheduler.RebuildFailureStreaks()
			return nil
		}
		r.loadCursor = rows[len(rows)-1].Key
	}
	return nil
}

// updateRows updates the scheduler and returns the IDs of tasks for which there is no memory.
func (r *Runner) updateRows(rows []acaciatally.Row) (waiting []string) {
	waiting, err := r.scheduler.Load(rows, r.config.Clock.Now())
	if err != nil {
		r.counters.malformed.Inc()
	}
	return waiting
}

// readUpdates reads new tasks, usage reports, and rows that other processes may have changed.
func (r *Runner) readUpdates(ctx context.Context) {
	r.readInbox(ctx)
	r.readUsage(ctx)
	r.reread(ctx, r.scheduler.StaleKeys(r.config.Clock.Now(), maxTransactionRows))
}

// readInbox loads new tasks, as long as there is memory for them.
func (r *Runner) readInbox(ctx context.Context) {
	if r.scheduler.Full() {
		return
	}
	prefix := inboxKey(r.config.Scheduler.Pool, "")
	entries, err := r.scan(ctx, prefix, "", pageSize)
	if err != nil || len(entries) == 0 {
		return
	}
	r.processedInbox = r.processedInbox[:0]
	for chunk := range slices.Chunk(entries, rowPageSize) {
		if r.scheduler.Full() || !r.loadInbox(ctx, prefix, chunk) {
			return
		}
	}
}

// loadInbox loads the tasks of entries of the inbox; it returns false if they could not be read.
func (r *Runner) loadInbox(ctx context.Context, prefix string, entries []acaciatally.Row) (ok bool) {
	keys := make([]string, 0, len(entries))
	for _, entry := range entries {
		keys = append(keys, RowKey(r.config.Scheduler.Pool, strings.TrimPrefix(entry.Key, prefix)))
	}
	rows, err := r.read(ctx, keys)
	if err != nil {
		return false
	}
	waiting := r.updateRows(rows)
	for _, entry := range entries {
		if !slices.Contains(waiting, strings.TrimPrefix(entry.Key, prefix)) {
			r.processedInbox = append(r.processedInbox, entry.Key)
		}
	}
	return true
}

// inboxChanged reports whether rows of the inbox, or the row that marks the pool as full, have to be written or deleted.
func (r *Runner) inboxChanged() bool {
	return len(r.processedInbox)+len(r.returnedInbox) > 0 || r.markDue(r.scheduler.Full())
}

// markDue reports whether the row has to be written or deleted that marks the pool as full.
func (r *Runner) markDue(full bool) bool { return !r.markWritten || full != r.markedFull }

func (r *Runner) readUsage(ctx context.Context) {
	now := r.config.Clock.Now()
	if now.Sub(r.usageReadAt) < r.config.UsageInterval {
		return
	}
	r.usageReadAt = now
	for chunk := range slices.Chunk(r.scheduler.Workers(), maxUsageWorkers) {
		usage, err := r.fetchUsage(ctx, chunk)
		if err != nil {
			return
		}
		r.scheduler.Report(usage, r.config.Clock.Now())
	}
}

func (r *Runner) fetchUsage(ctx context.Context, workers []acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counters.reads.Inc()
	return r.config.Leases.Usage(ctx, workers...)
}

func (r *Runner) scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counters.reads.Inc()
	rows, err = r.config.Table.Scan(ctx, prefix, after, limit)
	r.counters.rowsRead.Add(len(rows))
	return rows, err
}

func (r *Runner) read(ctx context.Context, keys []string) (rows []acaciatally.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counters.reads.Inc()
	rows, err = r.config.Table.Read(ctx, keys...)
	r.counters.rowsRead.Add(len(rows))
	return rows, err
}

// commit writes the rows in one transaction; it returns false when the round has to end.
func (r *Runner) commit(ctx context.Context, heldLease HeldLease, writes []RowWrite) (ok bool) {
	processed := r.processedInbox[:min(len(r.processedInbox), maxTransactionRows)]
	returned := r.returnedInbox[:min(len(r.returnedInbox), maxTransactionRows)]
	full := r.scheduler.Full()
	transaction := r.newTransaction(heldLease, writes, processed)
	for _, key := range returned {
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key})
	}
	if r.markDue(full) {
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: fullKey(r.config.Scheduler.Pool), Delete: !full})
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counters.writes.Inc()
	r.counters.rowsWritten.Add(len(transaction.Writes))
	version, err := r.config.Table.Commit(ctx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		r.scheduler.ApplyWriteResults(writes, version, r.config.Clock.Now())
		r.processedInbox, r.returnedInbox = r.processedInbox[len(processed):], r.returnedInbox[len(returned):]
		r.markWritten, r.markedFull = true, full
		return true
	case errors.As(err, &conflict):
		return r.resolveConflict(ctx, heldLease, conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnknownCommit):
		return r.reread(ctx, rowKeys(writes))
	}
	return false
}

func (r *Runner) newTransaction(heldLease HeldLease, writes []RowWrite, processed []string) acaciatally.Transaction {
	r.commits++
	transaction := acaciatally.Transaction{
		ID:         fmt.Sprintf("Tasks/%s/%d/%d", r.config.Scheduler.Pool, heldLease.Epoch, r.commits),
		Conditions: []acaciatally.Condition{heldLease.Condition},
	}
	for _, write := range writes {
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: write.Key, Version: write.Version})
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: write.Key, Value: write.Value, Delete: len(write.Value) == 0})
		if write.IndexKey != "" {
			transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: write.IndexKey, Delete: true})
		}
	}
	for _, key := range processed {
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key, Delete: true})
	}
	return transaction
}

// waitingPerConflict is the number of waiting tasks that are reread for each conflicting row. Cancellations come in bulk, and each
// attempt to place a task that has already been cancelled wastes a write.
const waitingPerConflict = 4

// resolveConflict rereads the rows that other processes have changed. If the lease is lost, it discards the scheduler, because its state
// is no longer valid.
func (r *Runner) resolveConflict(ctx context.Context, heldLease HeldLease, keys []string) (ok bool) {
	if slices.Contains(keys, heldLease.Condition.Key) {
		r.scheduler = nil
		return false
	}
	return r.reread(ctx, append(keys, r.scheduler.WaitingKeys(min(waitingPerConflict*len(keys), pageSize-maxTransactionRows))...))
}

// reread updates the scheduler from the current rows, which also show whether a transaction without a response took effect.
func (r *Runner) reread(ctx context.Context, keys []string) (ok bool) {
	if len(keys) == 0 {
		return false
	}
	rows, err := r.read(context.WithoutCancel(ctx), keys)
	if err != nil {
		return false
	}
	r.updateRows(rows)
	for _, key := range keys {
		if !slices.ContainsFunc(rows, func(row acaciatally.Row) bool { return row.Key == key }) {
			r.scheduler.RowDeleted(key)
		}
	}
	return true
}

func rowKeys(writes []RowWrite) (keys []string) {
	for _, write := range writes {
		keys = append(keys, write.Key)
	}
	return keys
}
