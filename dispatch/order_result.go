package dispatch

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
)

// OrderResult handles the result of an order.
func (s *Scheduler) OrderResult(order Order, err error, now time.Duration) {
	s.interference.advance(now)
	w := s.workers[order.Worker.ID]
	if order.Kind == OrderStart {
		s.starts.finish(now-order.sentAt, now)
	}
	if order.task == nil {
		if w != nil {
			delete(w.stoppingOrphans, order.run)
		}
		return
	}
	t := order.task
	s.config.EventLog.RunOrdered(string(order.Kind), t.ref, order.run.attempt, order.Worker.ID, err)
	if t.worker == nil || t.worker != w || t.attempt != order.run.attempt {
		return // the run was released in the meantime
	}
	defer t.markOrderDue()
	if errors.Is(err, acaciatally.ErrWorkerMismatch) {
		s.countCrash(s.suspectsOn(w))
		s.markLost(w, "another worker answers at its address", now)
		return
	}
	switch order.Kind {
	case OrderStart:
		s.handleStartResult(t, err, now)
	case OrderStop:
		t.stopInFlight = false
		if err == nil {
			t.stoppedAt = now
		} else {
			t.retryAt = now + orderRetry
		}
	case OrderThrottle:
		s.handleThrottleResult(t, order.Percent, err)
	}
}

// handleThrottleResult handles the result of an order on the CPU share of a run. One without an answer may be executed after newer ones, so it is
// fenced off.
func (s *Scheduler) handleThrottleResult(t *task, percent int, err error) {
	switch {
	case err == nil:
		t.cpuShare = percent
	case errors.Is(err, acaciatally.ErrUnknownOutcome):
		s.raiseFence(t.worker)
	}
}

func (s *Scheduler) handleStartResult(t *task, err error, now time.Duration) {
	if t.stage != stageOrdered {
		return // a report has already confirmed the run
	}
	var rejected *acaciatally.OrderRejectedError
	switch {
	case err == nil:
		s.startRate.countStart()
		t.stage, t.confirmedAt, t.progressedAt = stageRunning, now, now
		s.interference.started(t, t.startAttempts <= 1, now)
		s.markStarted(t)
	case errors.Is(err, errLeadershipExpired):
		t.stage, t.startAttempts = stageRecorded, t.startAttempts-1
	case errors.As(err, &rejected):
		s.handleStartRejected(t, rejected.Reason, now)
	case errors.Is(err, acaciatally.ErrNotSent) && !t.startOutcomeUnknown:
		// Nothing is known against the worker; if it is down, its renewals fail too.
		s.config.EventLog.RunDropped(t.ref, t.attempt, t.workerID(), "start order not sent")
		t.avoidWorkerFor(notSentAvoidTime, now)
		t.release()
	case errors.Is(err, acaciatally.ErrUnavailable) && !t.startOutcomeUnknown:
		s.config.EventLog.RunDropped(t.ref, t.attempt, t.workerID(), "start order refused by worker")
		s.quarantine(t.worker, "quarantined: start order refused", now)
		t.release()
	default:
		t.startOutcomeUnknown = t.startOutcomeUnknown || !errors.Is(err, acaciatally.ErrUnavailable)
		s.retryStart(t, now)
	}
}

func (s *Scheduler) retryStart(t *task, now time.Duration) {
	if t.startAttempts >= maxStartAttempts {
		t.stage = stageOrdered
		t.stopReason = stopUnconfirmed
		s.quarantine(t.worker, "quarantined: starts not confirmed", now)
		return
	}
	t.stage, t.retryAt = stageRecorded, now+orderRetry
}

// handleStartRejected handles a start order that the worker rejected. Unless an earlier start order may have taken effect, the run does not
// exist.
func (s *Scheduler) handleStartRejected(t *task, reason acaciatally.RejectReason, now time.Duration) {
	switch {
	case reason == acaciatally.RejectPermission && !t.startOutcomeUnknown:
		if p := s.permissions[t.stepKey()]; p != nil {
			clear(p.tickets) // the worker may have restarted, or the tickets are older than assumed
		}
		t.release()
	case reason == acaciatally.RejectSuperseded || t.startOutcomeUnknown:
		t.stopReason = stopUnconfirmed // the run may exist or still be started: the worker lists its end, or the stop order prevents the start
	default:
		s.config.EventLog.RunDropped(t.ref, t.attempt, t.workerID(), "start rejected: "+string(reason))
		t.release()
		t.retryAt = now + orderRetry
	}
}
