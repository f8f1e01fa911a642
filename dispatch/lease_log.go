package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// CallKind is the kind of a call to a worker that names the end of its lease.
type CallKind string

// The calls that name the end of the lease. Their values are logged.
const (
	CallRenewal CallKind = "Renewal"
	CallStart   CallKind = "Start"
)

// LeaseBasis is that from which it follows that the lease of a worker is over.
type LeaseBasis string

// The bases of the end of a lease. Their values are logged.
const (
	LeaseBasisRenewals LeaseBasis = "Renewals" // the lease ends that this leader has named
	LeaseBasisTerm     LeaseBasis = "Term"     // the start of this leader's term, or of that of an earlier one that never reached the worker
	LeaseBasisRestart  LeaseBasis = "Restart"  // the restart of the worker
)

// leaseBasis returns the basis of the end of a worker's lease, and the time from which it is counted.
func (s *Scheduler) leaseBasis(w *worker) (basis LeaseBasis, since time.Duration) {
	switch {
	case w.reportedAt > 0:
		return LeaseBasisRenewals, w.reportedAt
	case w.restartedAt > 0:
		return LeaseBasisRestart, w.restartedAt
	}
	return LeaseBasisTerm, s.lastExtension(w.entry.ID)
}

// logCrossedRenewal logs a report with which a worker answers a renewal that was meant for its earlier incarnation.
func (s *Scheduler) logCrossedRenewal(w *worker, report acaciatally.WorkerReport) {
	if !w.renewalSentTo.IsZero() && report.StartTime.After(w.renewalSentTo) {
		s.config.EventLog.CallCrossedRestart(w.entry.ID, CallRenewal, w.renewalLease, report.Clock)
	}
}

// logCrossedStarts logs the runs that a worker's first report since its restart lists although their start orders were sent before this leader knew of
// the restart.
func (s *Scheduler) logCrossedStarts(w *worker, listed map[runKey]bool) {
	for t := range w.runs {
		if listed[t.runKey()] && t.startAttempts > 0 && t.startSentAt < w.restartedAt {
			s.config.EventLog.CallCrossedRestart(w.entry.ID, CallStart, t.startLease, w.reportClock)
		}
	}
}
