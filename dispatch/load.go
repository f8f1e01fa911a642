package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// followJobs loads all partitions and then takes in new jobs and cancellations.
func (r *Runner) followJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		partitions, err := r.config.Store.Partitions(ctx, job.ProgressTable)
		if err != nil {
			acaciatally.Pause(ctx, commitRetry)
			continue
		}
		version, err := r.newest(ctx)
		if err != nil {
			acaciatally.Pause(ctx, commitRetry)
			continue
		}
		var group errgroup.Group
		for _, name := range partitions {
			group.Go(func() error { return r.load(ctx, acaciatally.QueueName(name)) })
		}
		if group.Wait() != nil {
			continue
		}
		r.Post(ctx, func() { r.complete = true })
		r.follow(ctx, job.Table, version, func(records []acaciatally.Record) { r.arrive(ctx, records) })
	}
	return nil
}

// newest returns the newest version of the store.
func (r *Runner) newest(ctx context.Context) (version uint64, err error) {
	page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: OwnerTable})
	return page.Version, err
}

// arrive takes in changes of the table of jobs.
func (r *Runner) arrive(ctx context.Context, records []acaciatally.Record) {
	for _, record := range records {
		queue := acaciatally.QueueName(record.Partition)
		loaded, known := r.loaded[queue]
		switch {
		case record.Deleted || (known && record.Version <= loaded):
		case !known:
			r.loadLater(ctx, queue)
		default:
			r.take(queue, record)
		}
	}
}

// loadLater reads a partition that has had no jobs before; what arrives meanwhile is in what is read.
func (r *Runner) loadLater(ctx context.Context, queue acaciatally.QueueName) {
	if r.loading[queue] {
		return
	}
	r.loading[queue] = true
	r.send(func() {
		for ctx.Err() == nil && r.load(ctx, queue) != nil {
			acaciatally.Pause(ctx, commitRetry)
		}
	})
}

// take takes in one new record of the table of jobs.
func (r *Runner) take(queue acaciatally.QueueName, record acaciatally.Record) {
	if id, cancels := job.Cancels(record); cancels {
		r.machine.Cancel(queue, id)
		return
	}
	accepted, err := job.DecodeAccepted(record.Value)
	if err != nil {
		r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
		return
	}
	digest := job.Digest(accepted.Spec)
	progress := job.Progress{State: acaciatally.JobQueued, Digest: digest}
	r.machine.Load(acaciatally.JobID(record.Key), accepted, progress, time.Since(accepted.Received), r.config.Now())
}

// load claims a partition, so that no earlier leader writes there any more, and reads it.
func (r *Runner) load(ctx context.Context, queue acaciatally.QueueName) (err error) {
	owner, err := r.claimOnce(ctx, queue)
	if err != nil {
		acaciatally.Pause(ctx, commitRetry)
		return err
	}
	progress, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: job.ProgressTable, Partition: string(queue)})
	if err != nil {
		acaciatally.Pause(ctx, commitRetry)
		return err
	}
	jobs, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: job.Table, Partition: string(queue)})
	if err != nil {
		acaciatally.Pause(ctx, commitRetry)
		return err
	}
	r.Post(ctx, func() { r.takePartition(queue, owner, progress.Records, jobs) })
	return nil
}

// takePartition takes in a partition as it was read: the jobs after their progress, so that each has one.
func (r *Runner) takePartition(queue acaciatally.QueueName, owner uint64, progress []acaciatally.Record, jobs acaciatally.RecordPage) {
	if !r.machine.Owns(queue) {
		r.machine.Claimed(queue, owner)
	}
	r.loaded[queue] = jobs.Version
	byID := r.takeProgress(queue, progress)
	for _, record := range jobs.Records {
		if _, cancels := job.Cancels(record); cancels {
			continue
		}
		accepted, err := job.DecodeAccepted(record.Value)
		if err != nil {
			r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
			continue
		}
		known, found := byID[record.Key]
		if !found { // accepted after the progress was read
			known = job.Progress{State: acaciatally.JobQueued, Digest: job.Digest(accepted.Spec)}
		}
		if !known.State.Ended() {
			r.machine.Load(acaciatally.JobID(record.Key), accepted, known, time.Since(accepted.Received), r.config.Now())
		}
	}
	for _, record := range jobs.Records {
		if id, cancels := job.Cancels(record); cancels {
			r.machine.Cancel(queue, id)
		}
	}
}

// takeProgress decodes the progress of a partition's jobs; the ended ones are only retained.
func (r *Runner) takeProgress(queue acaciatally.QueueName, records []acaciatally.Record) (byID map[string]job.Progress) {
	byID = map[string]job.Progress{}
	for _, record := range records {
		decoded, err := job.DecodeProgress(record.Value)
		if err != nil {
			r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
			continue
		}
		byID[record.Key] = decoded
		if decoded.State.Ended() {
			r.machine.Retain(queue, acaciatally.JobID(record.Key), r.config.Now())
		}
	}
	return byID
}

// claimOnce claims a partition that this tenure has not claimed before; otherwise its own commits continue.
func (r *Runner) claimOnce(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	owned := make(chan bool, 1)
	r.Post(ctx, func() { owned <- r.machine.Owns(queue) })
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case known := <-owned:
		if known {
			return 0, nil
		}
	}
	return r.claim(ctx, queue)
}

// claim replaces the owner record of a partition.
func (r *Runner) claim(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	key := OwnerKey(queue)
	mine := Owner{Epoch: r.config.Machine.Epoch}
	for ctx.Err() == nil {
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: key.Table, Partition: key.Partition})
		if err != nil {
			return 0, err
		}
		var current Owner
		for _, record := range page.Records {
			if err := json.Unmarshal(record.Value, &current); err != nil {
				return 0, err
			}
			version = record.Version
		}
		if current.Epoch > mine.Epoch {
			r.depose(ctx)
			return 0, ErrDeposed
		}
		if current == mine {
			return version, nil // an earlier try whose answer was lost
		}
		committed, err := r.config.Store.Commit(ctx, acaciatally.RecordTransaction{
			Conditions: []acaciatally.RecordCondition{{RecordKey: key, Version: version}},
			Writes:     []acaciatally.RecordWrite{{RecordKey: key, Value: EncodeOwner(mine)}},
		})
		if err == nil {
			return committed, nil
		}
		acaciatally.Pause(ctx, commitRetry)
	}
	return 0, ctx.Err()
}
