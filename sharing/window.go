package sharing

import "time"

// The entitlement of accounts beyond their weights where the settings have none.
const (
	DefaultOverage = 0.1             // part of its weight by which an account may exceed its rate of jobs
	DefaultWindow  = 5 * time.Second // time over which the rate is counted
	DefaultSlack   = 20              // jobs by which an account may exceed its rate in each window
)

// Window counts the jobs of an account that arrived within its rate during the last seconds.
type Window struct {
	Length time.Duration
	within []time.Duration // arrivals, the oldest first
}

// Admit reports whether a job that arrived at the given time is within the limit of jobs for each window, and counts it if it is. A job
// that arrived before one that has been counted already counts as having arrived with it.
func (w *Window) Admit(at time.Duration, limit int) bool {
	if len(w.within) > 0 {
		at = max(at, w.within[len(w.within)-1])
	}
	expired := 0
	for expired < len(w.within) && w.within[expired] <= at-w.Length {
		expired++
	}
	w.within = append(w.within[:0], w.within[expired:]...)
	if len(w.within) >= limit {
		return false
	}
	w.within = append(w.within, at)
	return true
}
