package site

import "time"

const (
	// startDelayInterval is the interval at which a leader determines how long jobs wait for it; it is that of the lease's renewals.
	startDelayInterval = renewInterval
	// startDelaySettleTime is how long after its first round of decisions a leader publishes no less than the delay of the leader before it.
	startDelaySettleTime = 2 * time.Second
)

// startDelay is the delay that a leader publishes with its lease. A new leader needs some rounds to measure its own.
type startDelay struct {
	inherited time.Duration // of the leader before
	settledAt time.Duration // when the leader's own measurement counts alone; 0 before its first round
	nextAt    time.Duration // time of the next update
}

// update returns the delay to publish after a round that measured the given one.
func (d *startDelay) update(measured, now time.Duration) time.Duration {
	if d.settledAt == 0 {
		d.settledAt = now + startDelaySettleTime
	}
	d.nextAt = now + startDelayInterval
	if now < d.settledAt {
		return max(measured, d.inherited)
	}
	return measured
}
