package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// minRenewInterval limits the rate of renewals per worker, because each renewal may return at once with the end of a run.
	minRenewInterval = 40 * time.Millisecond
	// renewIntervalPerWorker is added to the interval for each worker with runs, which keeps the total below a few thousand renewals per
	// second.
	renewIntervalPerWorker = 300 * time.Microsecond
	// renewRetry is the delay after a failed renewal.
	renewRetry = 200 * time.Millisecond
	// renewalAnswerTime is how long the answer to a renewal may take beyond its long-poll time. Calls to workers time out after it.
	renewalAnswerTime = 500 * time.Millisecond
	// endCommitWait is how long a renewal is held back until the ends in the last report are recorded.
	endCommitWait = 300 * time.Millisecond
	// busyPollWait is the long-poll time for workers with runs; it updates their progress about once a second.
	busyPollWait = 900 * time.Millisecond
	// startupPollWait is the long-poll time for workers on which a long-running task is starting: its report that the task is up lets the
	// next task of the step be moved.
	startupPollWait = 150 * time.Millisecond
	// idlePollWait is the long-poll time for workers without runs.
	idlePollWait = 2 * time.Second
)

// Renewal is a lease renewal to send to a worker.
type Renewal struct {
	Worker acaciatally.Worker
	Order  acaciatally.RenewOrder
}

// Renewals returns the renewals to send now, at most one per worker at a time.
func (s *Scheduler) Renewals(now time.Duration) (renewals []Renewal) {
	s.busyWorkers = 0
	for _, w := range s.workers {
		if len(w.runs) > 0 {
			s.busyWorkers++
		}
		if w.lost || w.renewalInFlight || now < w.nextRenewalAt || !w.entry.Address.IsValid() {
			continue
		}
		if len(w.unackedEnds) > 0 && now < w.reportedAt+endCommitWait {
			continue
		}
		w.renewalInFlight, w.renewalDueAt = true, now+w.pollWait()+renewalAnswerTime
		w.renewalSentTo, w.renewalLease, w.renewalFence = w.startTime, s.renewedLease(w, now), s.fence(w)
		renewals = append(renewals, Renewal{Worker: w.entry, Order: acaciatally.RenewOrder{
			Fence: w.renewalFence, LeaseUntil: w.renewalLease, Acknowledged: w.acknowledgedNumber(), Wait: w.pollWait(),
		}})
	}
	return renewals
}

// renewedLease returns the lease end for a renewal, or 0 if the lease may not be extended yet because the worker may be stored as silent: the next
// leader would take it for expired.
func (s *Scheduler) renewedLease(w *worker, now time.Duration) time.Duration {
	until := s.extendLease(w, now)
	if s.silence.mayBeStored[w.entry.ID] {
		return 0
	}
	return until
}

// renewInterval returns the minimum time between two renewals of one worker.
func (s *Scheduler) renewInterval() time.Duration {
	return minRenewInterval + time.Duration(s.busyWorkers)*renewIntervalPerWorker
}

// acknowledgedNumber returns the number up to which the worker may forget the ends of runs. It is 0 unless the last report listed ends: a
// worker that has restarted numbers them from 1 again, and would forget ends that no leader has seen.
func (w *worker) acknowledgedNumber() uint64 {
	if w.renewalFailures > 0 || !w.lastReportHadEnds {
		return 0
	}
	return w.acknowledged
}

// pollWait returns how long the worker may wait for the end of a run before it answers a renewal; 0 if its report is needed at once.
func (w *worker) pollWait() time.Duration {
	switch {
	case !w.reported || w.renewalFailures > 0 || len(w.orphans) > 0:
		return 0
	case len(w.runs) == 0:
		return idlePollWait
	case w.hasStartingLongRunning():
		return startupPollWait
	}
	return busyPollWait
}

// hasStartingLongRunning reports whether a long-running task on the worker was started and is not up yet.
func (w *worker) hasStartingLongRunning() bool {
	if w.load.numLongRunning == 0 {
		return false
	}
	for t := range w.runs {
		if t.step.LongRunning && t.stage == stageRunning && t.stopReason == "" && t.percent < fullPercent {
			return true
		}
	}
	return false
}
