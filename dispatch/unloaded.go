package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// unloadedInterval is the shortest interval between two attempts to load the jobs of a queue that were left in the record store.
const unloadedInterval = time.Second

// errNoRoom ends the reading of jobs that were left in the record store.
var errNoRoom = errors.New("no memory for more jobs")

// unloadedJobs is what the leader knows of the jobs of a queue that it left in the record store because they did not fit into its memory. They have
// neither begun nor been cancelled.
type unloadedJobs struct {
	from      string // jobs before this key are loaded
	loading   bool
	missed    bool // a job was left while the jobs were being read, and may be before the key that was reached
	nextAt    time.Duration
	cancelled []acaciatally.JobID // have to be loaded at once, so that they end
	ending    bool                // the cancelled ones are being read
}

// leaveUnloaded handles that a job is left in the record store.
func (r *Runner) leaveUnloaded(queue acaciatally.QueueName, key string) {
	u := r.unloaded[queue]
	if u == nil {
		r.unloaded[queue] = &unloadedJobs{from: key}
		r.config.Scheduler.EventLog.BacklogFull(queue, true, r.scheduler.BacklogBytes())
		return
	}
	u.missed = u.missed || u.loading
	u.from = min(u.from, key)
}

// HasUnloaded reports whether accepted jobs were left in the record store. It is called in the goroutine that owns the scheduler.
func (r *Runner) HasUnloaded() bool { return len(r.unloaded) > 0 }

// loadUnloaded starts to load the jobs that were left in the record store, if there is room for them again.
func (r *Runner) loadUnloaded(ctx context.Context, now time.Duration) {
	for queue, u := range r.unloaded {
		if u.loading || now < u.nextAt || !r.scheduler.HasRoomAgain(queue) {
			continue
		}
		u.loading, u.missed, u.nextAt = true, false, now+unloadedInterval
		from := u.from
		r.runCall(func() { r.readUnloaded(ctx, queue, from) })
	}
}

// readUnloaded loads the jobs of a queue from a key on, until there is no more room.
func (r *Runner) readUnloaded(ctx context.Context, queue acaciatally.QueueName, from string) {
	reached := from
	_, err := r.readListedJobs(ctx, queue, from, func(jobs []listedJob, _ []acaciatally.JobID) (err error) {
		loopErr := r.runInLoop(ctx, func() { reached, err = r.loadWhileRoom(queue, jobs, reached) })
		return errors.Join(loopErr, err)
	})
	r.Post(ctx, func() { r.finishUnloaded(queue, reached, err) })
}

// loadWhileRoom loads jobs until one does not fit, and returns the key that it has reached. It fails with errNoRoom if not all fit.
func (r *Runner) loadWhileRoom(queue acaciatally.QueueName, jobs []listedJob, from string) (reached string, err error) {
	reached = from
	for _, listed := range jobs {
		reached = listed.record.Key
		if !r.loadListed(queue, listed, nil) {
			return reached, errNoRoom
		}
	}
	return reached, nil
}

// finishUnloaded handles that the jobs of a queue were loaded up to a key.
func (r *Runner) finishUnloaded(queue acaciatally.QueueName, reached string, err error) {
	u := r.unloaded[queue]
	u.loading = false
	switch {
	case err == nil && !u.missed:
		delete(r.unloaded, queue)
		r.config.Scheduler.EventLog.BacklogFull(queue, false, r.scheduler.BacklogBytes())
	case err == nil || errors.Is(err, errNoRoom) && u.missed:
		u.from = ""
	case errors.Is(err, errNoRoom):
		u.from = reached
	}
}

// loadCancelled loads a job that was left in the record store and is cancelled, whether or not there is room, so that it ends.
func (r *Runner) loadCancelled(ctx context.Context, queue acaciatally.QueueName, id acaciatally.JobID) {
	u := r.unloaded[queue]
	u.cancelled = append(u.cancelled, id)
	if !u.ending {
		u.ending = true
		r.runCall(func() { r.endCancelled(ctx, queue, u) })
	}
}

// endCancelled reads the records of cancelled jobs, one job after the other, until none is left.
func (r *Runner) endCancelled(ctx context.Context, queue acaciatally.QueueName, u *unloadedJobs) {
	for {
		var id acaciatally.JobID
		if r.runInLoop(ctx, func() { id = u.nextCancelled() }) != nil || id == "" {
			return
		}
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{
			Table: job.AcceptedTable, Partition: string(queue), From: string(id), To: job.CancelKey(queue, id).Key + "\x00",
		})
		err = errors.Join(err, r.runInLoop(ctx, func() { r.applyCancelled(queue, u, id, page.Records, err) }))
		if err != nil {
			acaciatally.Sleep(ctx, commitRetry)
		}
	}
}

// nextCancelled removes and returns the ID of the next cancelled job; it is empty if there is none.
func (u *unloadedJobs) nextCancelled() (id acaciatally.JobID) {
	if len(u.cancelled) == 0 {
		u.ending = false
		return ""
	}
	id = u.cancelled[0]
	u.cancelled = u.cancelled[1:]
	return id
}

// applyCancelled takes in the records of a cancelled job. If they could not be read, they are read again later.
func (r *Runner) applyCancelled(queue acaciatally.QueueName, u *unloadedJobs, id acaciatally.JobID, records []acaciatally.Record, err error) {
	if err != nil {
		u.cancelled = append(u.cancelled, id)
		return
	}
	var list jobList
	list.add(records)
	jobs, staleCancels := list.take(true)
	for _, listed := range jobs {
		r.loadListed(queue, listed, nil)
	}
	for _, stale := range staleCancels {
		r.scheduler.CancelJob(queue, stale)
	}
}
