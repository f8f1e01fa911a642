package dispatch

import (
	"context"
	"errors"

	"github.com/acaciatally/acaciatally"
)

// followWorkers keeps the worker directory up to date.
func (r *Runner) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: r.config.WorkerTable})
		if err != nil {
			acaciatally.Sleep(ctx, commitRetry)
			continue
		}
		r.Post(ctx, func() {
			clear(r.directory)
			r.applyWorkerRecords(page.Records)
		})
		r.follow(ctx, r.config.WorkerTable, page.Version, r.updateDirectory)
	}
	return nil
}

// follow passes the changes of a table to handle, until the store no longer has the history since version. It requests no more changes while two
// pages wait for the scheduler.
func (r *Runner) follow(ctx context.Context, table string, version uint64, handle func(records []acaciatally.Record)) {
	var handled chan struct{} // closed when the last page is handled; nil before the first one
	for ctx.Err() == nil {
		page, err := r.config.Store.Follow(ctx, table, version, followTimeout)
		if errors.Is(err, acaciatally.ErrHistoryGone) {
			return
		}
		if err != nil {
			acaciatally.Sleep(ctx, commitRetry)
			continue
		}
		version = page.Version
		if len(page.Records) > 0 {
			awaitClosed(ctx, handled)
			done := make(chan struct{})
			r.Post(ctx, func() {
				defer close(done)
				handle(page.Records)
			})
			handled = done
			acaciatally.Sleep(ctx, followPause)
		}
	}
}

// awaitClosed waits until a channel is closed or ctx ends; it does not wait for a nil channel.
func awaitClosed(ctx context.Context, channel chan struct{}) {
	if channel == nil {
		return
	}
	select {
	case <-channel:
	case <-ctx.Done():
	}
}

// updateDirectory applies changed records to the directory. Each one is a heartbeat of its worker.
func (r *Runner) updateDirectory(records []acaciatally.Record) {
	r.scheduler.Heartbeats(r.applyWorkerRecords(records), r.config.Now())
}

// applyWorkerRecords applies records to the directory and returns the workers that they list; a worker whose record is deleted or can't be
// decoded is removed.
func (r *Runner) applyWorkerRecords(records []acaciatally.Record) (listed []acaciatally.WorkerID) {
	for _, record := range records {
		id := acaciatally.WorkerID(record.Key)
		if record.Partition != "" {
			continue // workers register in the partition without a name; another may hold the same key
		}
		if record.Deleted {
			delete(r.directory, id)
			continue
		}
		worker, err := r.config.DecodeWorker(record)
		if err != nil {
			r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			delete(r.directory, id)
			continue
		}
		r.directory[id] = worker
		listed = append(listed, id)
	}
	workers := make([]acaciatally.Worker, 0, len(r.directory))
	for _, worker := range r.directory {
		workers = append(workers, worker)
	}
	r.scheduler.SetDirectory(workers, r.config.Now())
	return listed
}
