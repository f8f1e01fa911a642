package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// quarantine is how long a worker that fails everything gets no new runs before it is tried again with one.
	quarantine = 5 * time.Second
	// failuresToQuarantine are failed runs of different jobs without a success in between.
	failuresToQuarantine = 2
	// stuckAfter is how long a run may make no progress; it covers several reports.
	stuckAfter = 1600 * time.Millisecond
)

// health is what the ends of runs tell of a worker.
type health struct {
	failedJobs  map[acaciatally.JobID]bool // since the last success
	failedAt    time.Duration
	barredUntil time.Duration // it gets no new runs before
	probing     bool          // it gets one run at a time until one succeeds
}

// judge learns from an end of a run on the worker.
func (m *Machine) judge(w *worker, t *task, ended acaciatally.EndedTask, now time.Duration) {
	if t.step.Lasting {
		return // it may fail at any time
	}
	switch ended.End {
	case acaciatally.EndDone:
		w.health = health{}
	case acaciatally.EndFailed:
		if w.health.failedJobs == nil {
			w.health.failedJobs = map[acaciatally.JobID]bool{}
		}
		w.health.failedJobs[t.ref.Job] = true
		w.health.failedAt = now
		w.health.probing = true
		if len(w.health.failedJobs) >= failuresToQuarantine {
			m.bar(w, "fails the runs of several jobs", now)
		}
	}
}

// bar keeps new runs away from a worker for a while.
func (m *Machine) bar(w *worker, reason string, now time.Duration) {
	if w.health.barredUntil <= now {
		m.config.Journal.WorkerChanged(w.entry.ID, w.entry.Pool, reason, now-w.clockAt)
	}
	w.health.barredUntil = now + quarantine
	w.health.probing = true
}

// admits reports whether the worker's health allows one more run.
func (h *health) admits(runs int, now time.Duration) bool {
	if now < h.barredUntil {
		return false
	}
	return !h.probing || runs == 0
}

// moveStuck stops the runs that make no progress, so that they start again elsewhere.
func (m *Machine) moveStuck(now time.Duration) {
	for _, w := range m.workers {
		for t := range w.runs {
			if t.stage != running || t.step.Lasting || t.step.Gang || t.step.Backfill || t.pace < fullPace || t.stop != "" {
				continue
			}
			if t.percentAt-t.moved > stuckAfter && t.percent < 100 {
				m.bar(w, "a run makes no progress", now)
				m.stopTask(t, stopStuck)
			}
		}
	}
}
