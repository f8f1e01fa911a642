package dispatch

import "time"

const (
	// minClockRate is the rate of the slowest clock of a worker, relative to this leader's clock.
	minClockRate = 0.98
	// leaseExpiryMargin covers the delivery time of the last renewal and the resolution of the clocks.
	leaseExpiryMargin = 250 * time.Millisecond
	// fenceBumpBits is the number of low bits of a fencing token that are reserved for raising it within one term of leadership.
	fenceBumpBits = 20
)

// estimatedClock returns a lower bound of the worker's clock.
func (w *worker) estimatedClock(now time.Duration) time.Duration {
	return w.reportClock + time.Duration(float64(now-w.reportedAt)*minClockRate)
}

// usualLease returns how long the lease that a leader asks for can last.
func (s *Scheduler) usualLease() time.Duration { return maxLeaseTime(s.config.WorkerLease) }

// longestLease returns how long the longest lease that a worker grants can last.
func (s *Scheduler) longestLease() time.Duration { return maxLeaseTime(s.config.MaxLease) }

// maxLeaseTime returns how long a lease can last on this leader's clock.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + leaseExpiryMargin
}

// leaseExpired reports whether the worker's lease is certainly over.
func (s *Scheduler) leaseExpired(w *worker, now time.Duration) bool {
	switch {
	case w.reportedAt > 0:
		return now > w.longLeaseUntil && w.estimatedClock(now) > w.leaseUntil+leaseExpiryMargin
	case w.restartedAt > 0:
		return now > w.restartedAt+w.lateStartDelay()+s.longestLease()
	case w.restartedSinceRecord(w.entry.StartTime):
		return now > s.lastExtension(w.entry.ID)+w.lateStartDelay()+s.longestLease()
	case w.inheritsLongLease:
		return now > s.lastExtension(w.entry.ID)+s.longestLease()
	}
	return now > s.lastExtension(w.entry.ID)+s.usualLease()
}

// extendLease returns the lease end for a call sent now, and stores it. It returns 0, which extends nothing, for a worker that does not answer: its
// runs are certain to end, and if it has restarted, the end would be on the clock of its earlier incarnation.
func (s *Scheduler) extendLease(w *worker, now time.Duration) time.Duration {
	if w.reportedAt == 0 || w.renewalFailures > 0 {
		return 0
	}
	w.leaseUntil = max(w.leaseUntil, w.estimatedClock(now)+s.config.WorkerLease)
	return w.leaseUntil
}

// updateClock takes the worker's clock from a report, which answers the renewal in flight.
func (s *Scheduler) updateClock(w *worker, clock, now time.Duration) {
	if w.reportedAt == 0 {
		s.noteRestartLease(w, now)
	}
	w.renewalFailures, w.reportClock, w.reportedAt, w.heardStart = 0, clock, now, w.startTime
}

// expireLeases releases the runs of workers whose lease is certainly over.
func (s *Scheduler) expireLeases(now time.Duration) {
	for _, w := range s.workers {
		s.recordUsualLease(w, now)
		s.expireLeftovers(w, now)
		if w.lost || !s.leaseExpired(w, now) {
			continue
		}
		if (w.renewalFailures > 0 || w.reportedAt == 0) && len(w.runs) > 0 {
			basis, since := s.leaseBasis(w)
			s.config.EventLog.LeaseExpired(w.entry.ID, basis, now-since)
			s.holdSuspects(w)
			s.markLost(w, "lease expired", now)
			w.lost = !w.listed // a listed worker may answer again
			s.raiseFence(w)
		}
	}
}

func (s *Scheduler) fence(w *worker) uint64 {
	return s.config.Epoch<<fenceBumpBits + w.fenceBump
}

// raiseFence makes the worker reject orders that were sent before. The counter is shared by all workers, so that no worker's token ever
// decreases.
func (s *Scheduler) raiseFence(w *worker) {
	s.fenceBumps++
	w.fenceBump = s.fenceBumps
}
