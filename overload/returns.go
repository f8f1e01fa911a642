package overload

import (
	"slices"
	"time"
)

const (
	// minRetryAfter is the least time after which a refused caller returns. Retry-After is in whole seconds.
	minRetryAfter = time.Second
	// minReturnInterval spreads returns over at least the whole second to which Retry-After is rounded.
	minReturnInterval = 2 * time.Second
	// maxReturnStart bounds the time until the first of the callers refused now returns. Those who would return later are spread over the interval
	// of the same length after it: a load that lasts longer is no surge, and at a fixed time they would return at the rate of their refusals.
	maxReturnStart = 30 * time.Second
)

// backlogSamples is the number of updates over which the shortest backlog counts. Before jobs beyond the entitlement begin, or between two groups of
// them, the estimated wait is many times too long, and a time that was booked stays booked.
const backlogSamples = 4

// returns books the returns of refused callers as a queue that is served at the rate of the room: those refused later return after those refused
// before, so that together they bring no more than the room.
type returns struct {
	bookedUntil time.Duration // end of the time in which the callers refused so far return
	after       time.Duration // time until the first of the callers refused now returns
	interval    time.Duration // time over which their returns are spread
	backlogs    []time.Duration
}

// observe records the time by which the wait exceeds the slack.
func (r *returns) observe(backlog time.Duration) {
	if len(r.backlogs) == backlogSamples {
		r.backlogs = slices.Delete(r.backlogs, 0, 1)
	}
	r.backlogs = append(r.backlogs, max(0, backlog))
}

// book sets when the callers refused until the next update return, at the rate of refusals and of the room for returns in jobs a second.
func (r *returns) book(refused, room float64, elapsed, now time.Duration) {
	start := max(r.bookedUntil, now+max(minRetryAfter, slices.Min(r.backlogs)))
	booked := time.Duration(refused * elapsed.Seconds() / room * float64(time.Second))
	r.after, r.interval = start-now, min(max(booked, minReturnInterval), maxReturnStart)
	if r.after > maxReturnStart {
		r.after, r.interval = maxReturnStart, maxReturnStart
	}
	r.bookedUntil = min(start+booked, now+2*maxReturnStart)
}
