package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally/job"
)

const (
	// initialStartRate is the rate of started runs per second that is assumed until the leader was first at its limit.
	initialStartRate = 200
	// startRateInterval is the time over which the rate is measured.
	startRateInterval = 500 * time.Millisecond
	// startRateWeight is the weight of the last interval in the moving mean of the rate.
	startRateWeight = 0.4
	// heldShareTime is the time over which the share of the time is averaged for which start orders are held back.
	heldShareTime = time.Second
	// limitShare is the share from which the leader counts as at its limit.
	limitShare = 0.6
	// recoveredShare is the share below which it no longer does. It is lower, since a leader at its limit holds no orders back for the moment
	// between the start of the runs that it has placed and the record of the next ones.
	recoveredShare = 0.3
)

// startRate measures how many runs a second the leader starts while it is at its limit; at other times the rate says nothing about it.
type startRate struct {
	perSecond  float64
	started    int           // runs started while start orders were held back, since the last update of perSecond
	heldTime   time.Duration // time for which they were held back since then
	heldShare  float64       // moving share of the time for which they are held back
	atLimit    bool          // the leader starts as many runs as it can
	held       bool          // start orders have been held back since observedAt
	observedAt time.Duration
}

func newStartRate() startRate { return startRate{perSecond: initialStartRate} }

// countStart counts a started run.
func (r *startRate) countStart() {
	if r.held {
		r.started++
	}
}

// observe updates the rate; held tells whether start orders are held back from now on.
func (r *startRate) observe(held bool, now time.Duration) {
	elapsed := now - r.observedAt
	share := 0.0
	if r.held {
		share = 1
		r.heldTime += elapsed
	}
	r.heldShare += min(1, elapsed.Seconds()/heldShareTime.Seconds()) * (share - r.heldShare)
	switch {
	case r.heldShare >= limitShare:
		r.atLimit = true
	case r.heldShare < recoveredShare:
		r.atLimit = false
	}
	if r.heldTime >= startRateInterval {
		r.perSecond += startRateWeight * (float64(r.started)/r.heldTime.Seconds() - r.perSecond)
		r.started, r.heldTime = 0, 0
	}
	r.held, r.observedAt = held, now
}

// StartDelay returns how long the tasks of a job submitted now would wait for this leader to start them, or 0 while the leader keeps up and
// only workers with room may be missing. It answers a load of more starts than the leader's link or processors carry: what is accepted
// beyond that is late whatever the workers do.
func (s *Scheduler) StartDelay(now time.Duration) time.Duration {
	s.startRate.observe(s.heldStarts > 0, now)
	if !s.startRate.atLimit {
		return 0
	}
	unstarted := 0
	for _, j := range s.jobs {
		if j.live() && !j.hasLongRunning {
			j.eachTask(func(t *task) {
				if t.phase == job.Waiting && j.usage.hasHeadroom(t.step.Resources) || t.assigned() && (t.stage == stagePlanned || t.stage == stageRecorded) {
					unstarted++
				}
			})
		}
	}
	return time.Duration(float64(unstarted) / max(1, s.startRate.perSecond) * float64(time.Second))
}
