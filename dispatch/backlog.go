package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/job"
)

// Fits reports whether a job that has not begun fits into the memory for jobs. Otherwise it stays in the record store until others have ended.
func (s *Scheduler) Fits(accepted *job.Accepted) bool {
	return s.backlog.Fits(accepted.Queue.Name, backlog.JobBytes(&accepted.Spec, 1))
}

// HasJob reports whether the job of a queue is loaded, deferred or retained.
func (s *Scheduler) HasJob(queue acaciatally.QueueName, id acaciatally.JobID) bool {
	if _, retained := s.retained[jobKey{queue, id}]; retained {
		return true
	}
	if j := s.jobs[id]; j != nil && j.accepted.Queue.Name == queue {
		return true
	}
	return s.deferred(queue, id) != nil
}

// HasRoomAgain reports whether there is memory again for jobs of a queue that stayed in the record store.
func (s *Scheduler) HasRoomAgain(queue acaciatally.QueueName) bool { return s.backlog.Recovered(queue) }

// Backlog returns the room for new jobs to publish; left reports whether accepted jobs have stayed in the record store.
func (s *Scheduler) Backlog(left bool, now time.Duration) *backlog.State {
	return s.backlog.State(left, now)
}

// BacklogBytes returns the memory that the jobs take, in bytes.
func (s *Scheduler) BacklogBytes() int64 { return s.backlog.Bytes() }

// countBacklog counts the memory of a job after its open occurrences have changed.
func (s *Scheduler) countBacklog(j *activeJob) {
	s.setBacklogBytes(j, backlog.JobBytes(&j.accepted.Spec, len(j.openOccurrences)))
}

// setBacklogBytes sets the memory of a job as the backlog counts it; 0 removes the job.
func (s *Scheduler) setBacklogBytes(j *activeJob, bytes int64) {
	s.backlog.Add(sourceOf(&j.accepted), j.accepted.Queue.Name, bytes-j.backlogBytes)
	j.backlogBytes = bytes
}

func sourceOf(accepted *job.Accepted) backlog.Source {
	return backlog.SourceOf(accepted.Queue.Name, accepted.Account)
}

// countDeferred counts the memory of a deferred job once, or with -1 removes it.
func (s *Scheduler) countDeferred(d *deferredJob, times int64) {
	s.backlog.Add(sourceOf(&d.accepted), d.accepted.Queue.Name, times*backlog.JobBytes(&d.accepted.Spec, 1))
}
