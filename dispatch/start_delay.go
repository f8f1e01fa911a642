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
	// atLimitTime is how long start orders must have been held back without a break for the leader to count as at its limit.
	atLimitTime = time.Second
)

// startRate measures how many runs a second the leader starts while it is at its limit; at other times the rate says nothing about it.
type startRate struct {
	perSecond  float64
	started    int // since measuredAt
	measuredAt time.Duration
	heldSince  time.Duration // when start orders were first held back without a break; 0 if none are
}

func newStartRate() startRate { return startRate{perSecond: initialStartRate} }

// observe updates the rate; held tells whether start orders are held back now.
func (r *startRate) observe(held bool, now time.Duration) {
	if !held {
		r.heldSince, r.started, r.measuredAt = 0, 0, now
		return
	}
	if r.heldSince == 0 {
		r.heldSince, r.started, r.measuredAt = max(now, 1), 0, now
		return
	}
	if elapsed := now - r.measuredAt; elapsed >= startRateInterval {
		r.perSecond += startRateWeight * (float64(r.started)/elapsed.Seconds() - r.perSecond)
		r.started, r.measuredAt = 0, now
	}
}

// atLimit reports whether the leader starts as many runs as it can.
func (r *startRate) atLimit(now time.Duration) bool {
	return r.heldSince > 0 && now >= r.heldSince+atLimitTime
}

// StartDelay returns how long the tasks of a job submitted now would wait for this leader to start them, or 0 while the leader keeps up and
// only workers with room may be missing. It answers a load of more starts than the leader's link or processors carry: what is accepted
// beyond that is late whatever the workers do.
func (s *Scheduler) StartDelay(now time.Duration) time.Duration {
	s.startRate.observe(s.heldStarts > 0, now)
	if !s.startRate.atLimit(now) {
		return 0
	}
	unstarted := 0
	for _, j := range s.jobs {
		if j.live() && !j.hasLongRunning {
			j.eachTask(func(t *task) {
				if t.phase == job.Waiting || t.assigned() && (t.stage == stagePlanned || t.stage == stageRecorded) {
					unstarted++
				}
			})
		}
	}
	return time.Duration(float64(unstarted) / max(1, s.startRate.perSecond) * float64(time.Second))
}
