package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// A new leader knows which runs are orphans, and which ends it may acknowledge, only once it has loaded all jobs. With many queues or a slow store,
// that may take longer than the leases of the workers last. So meanwhile it renews the leases, and takes from the answers only the clocks.

const (
	// loadingRenewDelay is how long jobs may be loaded before leases are renewed meanwhile. Usually the loading takes less time, and the first renewals
	// report the runs as well.
	loadingRenewDelay = time.Second
	// loadingRenewInterval is the interval between the renewals of one worker while jobs are loaded.
	loadingRenewInterval = 2 * time.Second
)

// LoadingRenewals returns the renewals to send now while jobs are being loaded, at most one per worker at a time, whose answers go to LoadingReport.
func (s *Scheduler) LoadingRenewals(now time.Duration) (renewals []Renewal) {
	if now < s.config.LeadershipStart+loadingRenewDelay {
		return nil
	}
	for _, w := range s.workers {
		if w.lost || w.renewalInFlight || now < max(w.nextRenewalAt, w.nextLoadingRenewalAt) || !w.entry.Address.IsValid() {
			continue
		}
		w.renewalInFlight, w.renewalDueAt, w.nextLoadingRenewalAt = true, now+renewalAnswerTime, now+loadingRenewInterval
		w.renewalSentTo, w.renewalLease, w.renewalFence = w.startTime, s.renewedLease(w, now), s.fence(w)
		order := acaciatally.RenewOrder{Fence: w.renewalFence, LeaseUntil: w.renewalLease}
		renewals = append(renewals, Renewal{Worker: w.entry, Order: order})
	}
	return renewals
}

// LoadingReport handles a worker's answer to a renewal that was sent while jobs were being loaded, and leaves what it lists to the next report.
func (s *Scheduler) LoadingReport(id acaciatally.WorkerID, report acaciatally.WorkerReport, now time.Duration) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if !s.acceptReport(w, report, w.finishRenewal(), now) {
		return
	}
	if w.leaseUntil == 0 {
		w.nextLoadingRenewalAt = now // its lease can be extended only now that its clock is known
	}
	s.updateClock(w, report.Clock, now)
}
