package admission

import (
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

// minRetryAfter is the shortest time that a refusal gives for a retry. It spreads the retries of callers; with a shorter time they would
// arrive faster than a queue drains.
const minRetryAfter = 100 * time.Millisecond

// RefuseOverload returns the refusal of a request beyond a limit; wait is the time that the queue ahead of it needs, and the RetryAfter.
func RefuseOverload(reason string, wait time.Duration) *acaciatally.Refusal {
	return &acaciatally.Refusal{
		Outcome:    acaciatally.NotRun,
		Status:     http.StatusTooManyRequests,
		Reason:     reason,
		RetryAfter: max(minRetryAfter, wait),
	}
}

// RefuseLate returns the refusal of a request that would not start before its deadline, or nil. RetryAfter is the time until the queue is
// short enough for the same request to start in time. A request with a zero deadline is never refused.
func RefuseLate(now, deadline time.Time, wait time.Duration) *acaciatally.Refusal {
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	if left > 0 && wait <= left {
		return nil
	}
	return &acaciatally.Refusal{
		Outcome:    acaciatally.NotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     "the expected wait exceeds the deadline",
		RetryAfter: max(minRetryAfter, wait-max(0, left)),
	}
}

// RefuseInvalid returns the refusal of a request that is invalid, so that a retry cannot succeed.
func RefuseInvalid(reason string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusBadRequest, Reason: reason}
}
