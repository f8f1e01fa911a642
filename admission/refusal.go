package admission

import (
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

// minRetryAfter spreads callers that come back at once; a shorter time would ask for retries faster than a queue drains.
const minRetryAfter = 100 * time.Millisecond

// Full is the refusal of a request for which there is no room; wait is the time that the queue ahead needs.
func Full(reason string, wait time.Duration) *acaciatally.Refusal {
	return &acaciatally.Refusal{
		Outcome:    acaciatally.NotRun,
		Status:     http.StatusTooManyRequests,
		Reason:     reason,
		RetryAfter: max(minRetryAfter, wait),
	}
}

// Late returns the refusal of a request that would not start before its deadline, or nil. The caller may come back once the
// queue has shrunk so far that the same request would start in time; a deadline of zero never refuses.
func Late(now, deadline time.Time, wait time.Duration) *acaciatally.Refusal {
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

// Invalid is the refusal of a request that no retry can make acceptable.
func Invalid(reason string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusBadRequest, Reason: reason}
}
