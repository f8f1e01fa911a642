package dispatch

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// pageRecords is the number of records that are read at a time, so that the records of a large backlog are not in memory together.
const pageRecords = 500

// startedJobs holds the recorded progress of the jobs of a partition that have open occurrences, as it is stored. Decoded, a task takes twenty
// times as much.
type startedJobs map[acaciatally.JobID][]byte

// listedJob is an accepted job as it stands in the job table.
type listedJob struct {
	record    acaciatally.Record
	cancelled bool // a request to cancel it is recorded
}

// readPages reads a range page by page and calls handle for each. It returns the version of the first page.
func (r *Runner) readPages(
	ctx context.Context, selection acaciatally.RecordRange, handle func(records []acaciatally.Record, last bool) error,
) (version uint64, err error) {
	selection.Limit = pageRecords
	for {
		page, err := r.config.Store.Read(ctx, selection)
		if err != nil {
			return 0, err
		}
		if version == 0 {
			version = page.Version
		}
		if err = handle(page.Records, !page.More); err != nil || !page.More {
			return version, err
		}
		selection.From = page.Records[len(page.Records)-1].Key + "\x00"
	}
}

// runInLoop runs f in the goroutine that owns the scheduler and waits for it.
func (r *Runner) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	r.Post(ctx, func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readProgress reads the progress records of a partition. Ended jobs are only retained.
func (r *Runner) readProgress(ctx context.Context, queue acaciatally.QueueName) (started startedJobs, err error) {
	started = startedJobs{}
	selection := acaciatally.RecordRange{Table: job.ProgressTable, Partition: string(queue)}
	_, err = r.readPages(ctx, selection, func(records []acaciatally.Record, _ bool) error {
		return r.runInLoop(ctx, func() { r.applyProgress(queue, records, started) })
	})
	return started, err
}

// applyProgress takes in a page of progress records.
func (r *Runner) applyProgress(queue acaciatally.QueueName, records []acaciatally.Record, started startedJobs) {
	for _, record := range records {
		decoded, err := job.DecodeProgress(record.Value)
		if err != nil {
			r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			continue
		}
		id := acaciatally.JobID(record.Key)
		if decoded.State != acaciatally.JobQueued || len(decoded.Open) > 0 {
			started.add(id, decoded, record.Value)
		}
		if decoded.State.Ended() {
			r.scheduler.Retain(queue, id, decoded.Account, r.config.Now())
		}
	}
}

// add adds the progress of a job that has begun. Of an ended job it is needed only while the job has runs.
func (s startedJobs) add(id acaciatally.JobID, progress job.Progress, value []byte) {
	if !progress.State.Ended() || len(progress.Open) > 0 {
		s[id] = value
	}
}

// readJobs reads the job table of a partition and loads its jobs with their progress. It returns the version of what it has read.
func (r *Runner) readJobs(ctx context.Context, queue acaciatally.QueueName, started startedJobs) (version uint64, err error) {
	return r.readListedJobs(ctx, queue, "", func(jobs []listedJob, staleCancels []acaciatally.JobID) error {
		return r.runInLoop(ctx, func() {
			for _, listed := range jobs {
				r.loadOrLeave(queue, listed, started)
			}
			for _, id := range staleCancels {
				r.scheduler.CancelJob(queue, id)
			}
		})
	})
}

// readListedJobs reads the job table of a partition from a key on, and calls handle with the jobs of each page and with the requests to cancel jobs
// that are not there.
func (r *Runner) readListedJobs(
	ctx context.Context, queue acaciatally.QueueName, from string, handle func(jobs []listedJob, staleCancels []acaciatally.JobID) error,
) (version uint64, err error) {
	var list jobList
	selection := acaciatally.RecordRange{Table: job.AcceptedTable, Partition: string(queue), From: from}
	return r.readPages(ctx, selection, func(records []acaciatally.Record, last bool) error {
		list.add(records)
		return handle(list.take(last))
	})
}

// jobList joins the records of jobs with those of requests to cancel them, which follow them in the order of keys, but may be on the next page.
type jobList struct {
	jobs         []listedJob
	staleCancels []acaciatally.JobID
}

func (l *jobList) add(records []acaciatally.Record) {
	for _, record := range records {
		id, cancels := job.ParseCancelKey(record)
		if !cancels {
			l.jobs = append(l.jobs, listedJob{record: record})
			continue
		}
		if !l.cancel(id) {
			l.staleCancels = append(l.staleCancels, id)
		}
	}
}

// cancel marks a job of the list as cancelled and reports whether it is there. It is the last one, unless the store does not sort.
func (l *jobList) cancel(id acaciatally.JobID) (found bool) {
	for i := len(l.jobs) - 1; i >= 0; i-- {
		if l.jobs[i].record.Key == string(id) {
			l.jobs[i].cancelled = true
			return true
		}
	}
	return false
}

// take returns what is complete and removes it. Unless the page was the last one, the last job stays, since a request to cancel it may follow.
func (l *jobList) take(last bool) (jobs []listedJob, staleCancels []acaciatally.JobID) {
	complete := len(l.jobs)
	if !last && complete > 0 {
		complete--
	}
	jobs, staleCancels = l.jobs[:complete], l.staleCancels
	l.jobs, l.staleCancels = append([]listedJob(nil), l.jobs[complete:]...), nil
	return jobs, staleCancels
}

// loadOrLeave loads a job with its progress, or leaves it in the record store if it does not fit into memory.
func (r *Runner) loadOrLeave(queue acaciatally.QueueName, listed listedJob, started startedJobs) {
	if !r.loadListed(queue, listed, started) {
		r.leaveUnloaded(queue, listed.record.Key)
	}
}

// loadListed loads a job with its progress. It returns false for a job that has neither begun nor been cancelled and does not fit into memory.
func (r *Runner) loadListed(queue acaciatally.QueueName, listed listedJob, started startedJobs) (loaded bool) {
	record := listed.record
	id := acaciatally.JobID(record.Key)
	accepted, err := job.DecodeAccepted(record.Value)
	if err != nil {
		r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
		return true
	}
	progress := job.Progress{State: acaciatally.JobQueued, Digest: job.Digest(accepted.Spec)}
	value, hasBegun := started[id]
	if hasBegun {
		if progress, err = job.DecodeProgress(value); err != nil {
			r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			return true
		}
	}
	if !hasBegun && !listed.cancelled && !r.scheduler.HasJob(queue, id) && !r.scheduler.Fits(&accepted) {
		return false
	}
	if progress.State.Ended() {
		r.scheduler.LoadEndedJob(id, accepted, progress, r.config.Now())
	} else {
		r.scheduler.LoadJob(id, accepted, progress, time.Since(accepted.Received), r.config.Now())
	}
	if listed.cancelled {
		r.scheduler.CancelJob(queue, id)
	}
	return true
}
