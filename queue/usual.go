package queue

import (
	"math"
	"time"
)

const (
	// usualPeriod is the time over which a team's usual number of slots is learned. It is much longer than a flood, so that a
	// flood does not soon pass for usual.
	usualPeriod = 10 * time.Minute
	// usualFactor is the multiple of the usual slots that still counts as usual; teams vary by about that much.
	usualFactor = 2
)

// usual learns how many slots a team holds on average.
type usual struct {
	mean   float64
	since  time.Time // first observation
	latest time.Time
}

// observe counts the slots held since the last observation.
func (u *usual) observe(now time.Time, held int) {
	if u.since.IsZero() {
		u.since, u.latest = now, now
		return
	}
	step := now.Sub(u.latest)
	if step <= 0 {
		return
	}
	period := min(usualPeriod, now.Sub(u.since))
	u.mean += (float64(held) - u.mean) * -math.Expm1(-float64(step)/float64(period))
	u.latest = now
}

// exceeded reports whether the team holds clearly more slots than it usually does.
func (u *usual) exceeded(held int) bool { return float64(held) >= 1+usualFactor*u.mean }
