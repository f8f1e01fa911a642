package task

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally"
)

// load reads the pool's rows after a takeover, some pages a round.
func (r *Runner) load(ctx context.Context) error {
	prefix := RowKey(r.config.Machine.Pool, "")
	for range loadPages {
		rows, err := r.scan(ctx, prefix, r.loading)
		if err != nil {
			return err
		}
		r.takeIn(rows)
		if len(rows) < pageRows {
			r.loaded = true
			r.machine.Recollect()
			return nil
		}
		r.loading = rows[len(rows)-1].Key
	}
	return nil
}

func (r *Runner) takeIn(rows []acaciatally.Row) {
	if err := r.machine.Load(rows, r.config.Clock.Now()); err != nil {
		r.counts.malformed.Inc()
	}
}

// look takes in new tasks, reports, and rows that others have changed.
func (r *Runner) look(ctx context.Context) {
	r.lookAtInbox(ctx)
	r.lookAtUsage(ctx)
	r.reread(ctx, r.machine.Unread(r.config.Clock.Now(), maxRows))
}

func (r *Runner) lookAtInbox(ctx context.Context) {
	prefix := inboxKey(r.config.Machine.Pool, "")
	entries, err := r.scan(ctx, prefix, "")
	if err != nil || len(entries) == 0 {
		return
	}
	keys := make([]string, 0, len(entries))
	for _, entry := range entries {
		keys = append(keys, RowKey(r.config.Machine.Pool, strings.TrimPrefix(entry.Key, prefix)))
	}
	rows, err := r.read(ctx, keys)
	if err != nil {
		return
	}
	r.takeIn(rows)
	r.handled = r.handled[:0]
	for _, entry := range entries {
		r.handled = append(r.handled, entry.Key)
	}
}

func (r *Runner) lookAtUsage(ctx context.Context) {
	now := r.config.Clock.Now()
	if now.Sub(r.usageAt) < r.config.UsageEvery {
		return
	}
	r.usageAt = now
	for chunk := range slices.Chunk(r.machine.Workers(), usageWorkers) {
		usage, err := r.usage(ctx, chunk)
		if err != nil {
			return
		}
		r.machine.Report(usage, r.config.Clock.Now())
	}
}

func (r *Runner) usage(ctx context.Context, workers []acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counts.reads.Inc()
	return r.config.Leases.Usage(ctx, workers...)
}

func (r *Runner) scan(ctx context.Context, prefix, after string) (rows []acaciatally.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counts.reads.Inc()
	rows, err = r.config.Table.Scan(ctx, prefix, after, pageRows)
	r.counts.rowsRead.Add(len(rows))
	return rows, err
}

func (r *Runner) read(ctx context.Context, keys []string) (rows []acaciatally.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counts.reads.Inc()
	rows, err = r.config.Table.Read(ctx, keys...)
	r.counts.rowsRead.Add(len(rows))
	return rows, err
}

// commit writes the rows in one transaction; false ends the round.
func (r *Runner) commit(ctx context.Context, hold Hold, saves []Save) (ok bool) {
	handled := r.handled[:min(len(r.handled), maxRows)]
	transaction := r.transaction(hold, saves, handled)
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	r.counts.writes.Inc()
	r.counts.rowsWritten.Add(len(transaction.Writes))
	version, err := r.config.Table.Commit(ctx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		r.machine.Saved(saves, version, r.config.Clock.Now())
		r.handled = r.handled[len(handled):]
		return true
	case errors.As(err, &conflict):
		return r.afterConflict(ctx, hold, conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnknownCommit):
		return r.reread(ctx, keysOf(saves))
	}
	return false
}

func (r *Runner) transaction(hold Hold, saves []Save, handled []string) acaciatally.Transaction {
	r.commits++
	transaction := acaciatally.Transaction{
		ID:         fmt.Sprintf("Tasks/%s/%d/%d", r.config.Machine.Pool, hold.Epoch, r.commits),
		Conditions: []acaciatally.Condition{hold.Condition},
	}
	for _, save := range saves {
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: save.Key, Version: save.Version})
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: save.Key, Value: save.Value, Delete: len(save.Value) == 0})
		if save.Index != "" {
			transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: save.Index, Delete: true})
		}
	}
	for _, key := range handled {
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key, Delete: true})
	}
	return transaction
}

// waitingPerConflict is the number of waiting tasks that are read with each row that others have changed: cancellations come in
// waves, and each task of a wave that is placed in vain costs a write.
const waitingPerConflict = 4

// afterConflict takes in the rows that others have changed; without the lease the machine's view is worth nothing any more.
func (r *Runner) afterConflict(ctx context.Context, hold Hold, keys []string) (ok bool) {
	if slices.Contains(keys, hold.Condition.Key) {
		r.machine = nil
		return false
	}
	return r.reread(ctx, append(keys, r.machine.NextWaiting(min(waitingPerConflict*len(keys), pageRows-maxRows))...))
}

// reread takes in rows as they are; a transaction that took effect without an answer shows in them.
func (r *Runner) reread(ctx context.Context, keys []string) (ok bool) {
	if len(keys) == 0 {
		return false
	}
	rows, err := r.read(context.WithoutCancel(ctx), keys)
	if err != nil {
		return false
	}
	r.takeIn(rows)
	for _, key := range keys {
		if !slices.ContainsFunc(rows, func(row acaciatally.Row) bool { return row.Key == key }) {
			r.machine.Missing(key)
		}
	}
	return true
}

func keysOf(saves []Save) (keys []string) {
	for _, save := range saves {
		keys = append(keys, save.Key)
	}
	return keys
}
