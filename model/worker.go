package model

import (
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

// worker is a simulated endpoint that refuses requests when all its slots are in use.
type worker struct {
	id         acaciatally.InstanceID
	dataCentre acaciatally.DataCentre
	slots      int
	active     int
	faults     []Fault
	tally      WorkerTally
}

// fault returns the kind of the worker's fault at a time, or an empty kind if it has none.
func (w *worker) fault(now time.Duration) FaultKind {
	for _, fault := range w.faults {
		if now >= fault.From && now < fault.To {
			return fault.Kind
		}
	}
	return ""
}

// attempt sends a request from an entry to a worker and calls done when the result arrives back at the entry.
func (s *simulation) attempt(request *request, from *entry, worker *worker, done func(acaciatally.AttemptResult)) {
	s.result.Attempts++
	request.attempts++
	delay := s.delay(from.dataCentre, worker.dataCentre)
	sent := s.clock.now
	s.sendMessage(delay, func() {
		s.serve(request, worker, func(result acaciatally.AttemptResult) {
			s.sendMessage(delay, func() {
				result.ServiceTime = s.clock.now - sent
				done(result)
			})
		})
	})
}

// serve runs a request at a worker until its service time has passed or its deadline is reached, or refuses it if the worker is full.
func (s *simulation) serve(request *request, worker *worker, done func(acaciatally.AttemptResult)) {
	if worker.active >= worker.slots {
		s.result.RefusedAttempts++
		done(acaciatally.AttemptResult{Outcome: acaciatally.NotRun, Status: http.StatusTooManyRequests, Refused: true})
		return
	}
	worker.active++
	worker.tally.Attempts++
	request.start(s.clock.now)
	duration, result := s.service(request, worker)
	s.clock.after(duration, func() {
		worker.active--
		if result.Outcome != "" {
			worker.tally.Failed++
		}
		request.team.SlotTime += duration
		done(result)
	})
}

// service returns how long a request occupies its slot at the worker, and the result. A request still running at its deadline is cut off.
func (s *simulation) service(request *request, worker *worker) (duration time.Duration, result acaciatally.AttemptResult) {
	duration = request.service
	fault := worker.fault(s.clock.now)
	switch {
	case fault == FailsFast || request.source.AlwaysFails:
		return failureDelay, acaciatally.AttemptResult{Outcome: acaciatally.Failed, Status: http.StatusInternalServerError}
	case fault == Slow:
		duration *= slowFactor
	}
	if left := request.deadline - s.clock.now; duration > left {
		return max(0, left), acaciatally.AttemptResult{Outcome: acaciatally.Unknown, EndedByCaller: true}
	}
	return duration, acaciatally.AttemptResult{Status: http.StatusOK}
}
