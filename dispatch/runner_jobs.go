package dispatch

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// followJobs loads all partitions and then follows the job table for new jobs and cancel requests.
func (r *Runner) followJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		// The version comes before the list: a partition whose first record is written after the list was read is in the changes since.
		version, err := r.loadSilence(ctx)
		if err != nil {
			acaciatally.Sleep(ctx, commitRetry)
			continue
		}
		partitions, err := r.config.Store.Partitions(ctx, job.ProgressTable)
		if err != nil {
			acaciatally.Sleep(ctx, commitRetry)
			continue
		}
		if r.loadPartitions(ctx, partitions) != nil {
			continue
		}
		r.Post(ctx, func() { r.allLoaded = true })
		r.follow(ctx, job.AcceptedTable, version, func(records []acaciatally.Record) { r.handleJobRecords(ctx, records) })
	}
	return nil
}

// loadPartitions loads partitions, at most LoadsAtOnce at the same time.
func (r *Runner) loadPartitions(ctx context.Context, names []string) error {
	var group errgroup.Group
	if r.config.LoadsAtOnce > 0 {
		group.SetLimit(r.config.LoadsAtOnce)
	}
	for _, name := range names {
		group.Go(func() error { return r.loadPartition(ctx, acaciatally.QueueName(name)) })
	}
	return group.Wait()
}

// handleJobRecords handles changes of the job table.
func (r *Runner) handleJobRecords(ctx context.Context, records []acaciatally.Record) {
	for _, record := range records {
		queue := acaciatally.QueueName(record.Partition)
		loaded, known := r.loadedVersions[queue]
		switch {
		case record.Deleted || (known && record.Version <= loaded):
		case !known:
			r.earlyRecords[queue] = append(r.earlyRecords[queue], record)
			r.loadInBackground(ctx, queue)
		default:
			r.handleJobRecord(ctx, queue, record)
		}
	}
}

// loadInBackground loads a partition that had no jobs before. Records that change meanwhile may be missing from what it reads; they are
// applied afterwards.
func (r *Runner) loadInBackground(ctx context.Context, queue acaciatally.QueueName) {
	if r.loadsInProgress[queue] {
		return
	}
	r.loadsInProgress[queue] = true
	r.runCall(func() {
		for ctx.Err() == nil && r.loadPartition(ctx, queue) != nil {
			acaciatally.Sleep(ctx, commitRetry)
		}
	})
}

// handleJobRecord handles one new record of the job table.
func (r *Runner) handleJobRecord(ctx context.Context, queue acaciatally.QueueName, record acaciatally.Record) {
	if id, cancels := job.ParseCancelKey(record); cancels {
		if r.unloaded[queue] != nil && !r.scheduler.HasJob(queue, id) {
			r.loadCancelled(ctx, queue, id)
			return
		}
		r.scheduler.CancelJob(queue, id)
		return
	}
	r.loadOrLeave(queue, listedJob{record: record}, nil)
}

// loadPartition claims a partition, which fences off writes of earlier leaders, and then reads it.
func (r *Runner) loadPartition(ctx context.Context, queue acaciatally.QueueName) (err error) {
	owner, err := r.claimOnce(ctx, queue)
	if err != nil {
		acaciatally.Sleep(ctx, commitRetry)
		return err
	}
	var started startedJobs
	if owner != alreadyOwned { // otherwise this leader knows the progress of all jobs that have begun, since only it writes progress
		if started, err = r.readProgress(ctx, queue); err != nil {
			acaciatally.Sleep(ctx, commitRetry)
			return err
		}
	}
	version, err := r.readJobs(ctx, queue, started)
	if err != nil {
		acaciatally.Sleep(ctx, commitRetry)
		return err
	}
	r.Post(ctx, func() { r.finishPartition(ctx, queue, owner, version) })
	return nil
}

// finishPartition handles that all records of a partition up to a version were read.
func (r *Runner) finishPartition(ctx context.Context, queue acaciatally.QueueName, owner, version uint64) {
	if !r.scheduler.OwnsPartition(queue) {
		r.scheduler.PartitionClaimed(queue, owner)
	}
	r.loadedVersions[queue] = version
	for _, record := range r.earlyRecords[queue] {
		if record.Version > version {
			r.handleJobRecord(ctx, queue, record)
		}
	}
	delete(r.earlyRecords, queue)
}

// alreadyOwned is returned in place of the version of an owner record for a partition that this term of leadership has claimed before.
const alreadyOwned = 0

// claimOnce claims a partition and returns the version of its owner record. If this term of leadership has claimed the partition before, it
// returns alreadyOwned: a second claim would conflict with its own commits.
func (r *Runner) claimOnce(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	owned := make(chan bool, 1)
	r.Post(ctx, func() { owned <- r.scheduler.OwnsPartition(queue) })
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case known := <-owned:
		if known {
			return alreadyOwned, nil
		}
	}
	return r.claimPartition(ctx, queue)
}

// claimPartition replaces the owner record of a partition and returns its new version, or ErrLeadershipLost if a leader with a higher epoch
// has claimed the partition.
func (r *Runner) claimPartition(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	key := OwnerKey(queue)
	own := Owner{Epoch: r.config.Scheduler.Epoch}
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
		if current.Epoch > own.Epoch {
			r.stepDown(ctx, current.Epoch)
			return 0, ErrLeadershipLost
		}
		if current == own {
			return version, nil // an earlier attempt succeeded, but its answer was lost
		}
		committed, err := r.config.Store.Commit(ctx, acaciatally.RecordTransaction{
			Conditions: []acaciatally.RecordCondition{{RecordKey: key, Version: version}},
			Writes:     []acaciatally.RecordWrite{{RecordKey: key, Value: EncodeOwner(own)}},
		})
		if err == nil {
			return committed, nil
		}
		acaciatally.Sleep(ctx, commitRetry)
	}
	return 0, ctx.Err()
}
