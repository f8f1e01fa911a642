package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// A worker lists the end of a run until the leader acknowledges it, and then forgets it. A later leader knows only what is recorded and what workers
// list, so an end is acknowledged only when the records of its job contain what it has changed. That holds for every end: one that is not that of a task's
// current run has changed nothing itself, but what this leader has made of the run meanwhile may not be recorded.

// unackedEnd is an end that a worker has listed and may not forget yet.
type unackedEnd struct {
	number   uint64
	listedAt time.Duration // when this leader first saw it
	recorded bool          // the records of its job are up to date with it
}

// endRef identifies the end of a run that a worker has listed.
type endRef struct {
	worker      acaciatally.WorkerID
	workerStart time.Time
	number      uint64
}

// trackEnd adds an end that a worker has listed for the first time to those that wait to be acknowledged.
func (s *Scheduler) trackEnd(w *worker, ended acaciatally.EndedTask, now time.Duration) {
	j := s.jobs[ended.Task.Job]
	end := endRef{worker: w.entry.ID, workerStart: w.startTime, number: ended.Number}
	upToDate := j == nil || j.attachEnd(end)
	w.unackedEnds = append(w.unackedEnds, unackedEnd{number: ended.Number, listedAt: now, recorded: upToDate})
}

// attachEnd attaches the end of one of the job's runs to the commit that brings the records of the job up to date, which may be in flight. It returns
// true if they are up to date, so that the end may be acknowledged now.
func (j *activeJob) attachEnd(end endRef) (upToDate bool) {
	switch {
	case j.endRecorded():
		return true
	case j.dirty:
		j.unrecordedEnds = append(j.unrecordedEnds, end)
		return false
	case j.inCommit:
		j.endsInCommit = append(j.endsInCommit, end)
		return false
	}
	return true
}

// markEndsRecorded handles that the records are up to date with ends, and lets those be acknowledged before which no other one waits.
func (s *Scheduler) markEndsRecorded(ends []endRef) {
	for _, end := range ends {
		s.markEndRecorded(end)
	}
}

func (s *Scheduler) markEndRecorded(end endRef) {
	w := s.workers[end.worker]
	if w == nil || !w.startTime.Equal(end.workerStart) {
		return
	}
	for i := range w.unackedEnds {
		if w.unackedEnds[i].number == end.number {
			w.unackedEnds[i].recorded = true
		}
	}
	w.advanceAcknowledged()
}

// advanceAcknowledged advances the acknowledged number past the ends that are recorded.
func (w *worker) advanceAcknowledged() {
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].recorded {
		w.acknowledged = w.unackedEnds[0].number
		w.unackedEnds = w.unackedEnds[1:]
	}
}

// unackedEndsLogInterval is the age from which unacknowledged ends are logged, and the minimum time between two such lines of a worker.
const unackedEndsLogInterval = 5 * time.Second

// logUnackedEnds logs that the worker has listed an end for long without this leader recording it.
func (s *Scheduler) logUnackedEnds(w *worker, now time.Duration) {
	if len(w.unackedEnds) == 0 {
		return
	}
	listedAt := w.unackedEnds[0].listedAt
	if now < max(listedAt, w.unackedLoggedAt)+unackedEndsLogInterval {
		return
	}
	w.unackedLoggedAt = now
	s.config.EventLog.EndsUnacknowledged(w.entry.ID, len(w.unackedEnds), now-listedAt)
}
