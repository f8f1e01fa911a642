package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// quarantineTime is how long a failing worker gets no new runs, before it is tried again with one run.
	quarantineTime = 5 * time.Second
	// probationTime is how long after the last failure, or after the quarantine, probation ends if no probe has failed.
	probationTime = 5 * time.Second
	// failuresToQuarantine is the number of different jobs that must fail on a worker, without a success in between, to quarantine it.
	failuresToQuarantine = 2
)

// health is the health of a worker as derived from the results of its runs.
type health struct {
	failedJobs       map[acaciatally.JobID]bool // jobs with a failed run since the last successful run
	failedAt         time.Duration
	quarantinedUntil time.Duration // no new runs before this time
	probing          bool          // at most one run at a time until one succeeds, not counting long-running tasks
}

// updateHealth updates the worker's health from the end of a run.
func (s *Scheduler) updateHealth(w *worker, t *task, ended acaciatally.EndedTask, now time.Duration) {
	if t.step.LongRunning {
		return // a long-running task may fail at any time, which says nothing about the worker
	}
	switch ended.End {
	case acaciatally.EndDone:
		if w.health.probing {
			s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, "probation ended: run succeeded", now-w.reportedAt)
		}
		w.health = health{}
	case acaciatally.EndFailed:
		if w.health.failedJobs == nil {
			w.health.failedJobs = map[acaciatally.JobID]bool{}
		}
		w.health.failedJobs[t.ref.Job] = true
		w.health.failedAt = now
		if !w.health.probing {
			s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, "probation: run failed", now-w.reportedAt)
		}
		w.health.probing = true
		if len(w.health.failedJobs) >= failuresToQuarantine {
			s.quarantine(w, "quarantined: runs of several jobs failed", now)
		}
	}
}

// quarantine keeps new runs away from a worker for quarantineTime.
func (s *Scheduler) quarantine(w *worker, reason string, now time.Duration) {
	if w.health.quarantinedUntil <= now {
		s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, reason, now-w.reportedAt)
	}
	w.health.quarantinedUntil = now + quarantineTime
	w.health.probing = true
}

// endProbations ends the probation of workers on which no run has failed for probationTime. No probe may have ended by then: what waits may be
// a gang, or the probe may be a long run.
func (s *Scheduler) endProbations(now time.Duration) {
	for _, w := range s.workers {
		if w.health.probing && now >= max(w.health.failedAt, w.health.quarantinedUntil)+probationTime {
			w.health.probing = false
			s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, "probation ended: no further failure", now-w.reportedAt)
		}
	}
}

// admits reports whether the worker's health allows one more run; runs is the number of its runs that are not long-running, since only those
// can end its probation.
func (h *health) admits(runs int, now time.Duration) bool {
	if now < h.quarantinedUntil {
		return false
	}
	return !h.probing || runs == 0
}
