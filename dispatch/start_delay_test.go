package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestStartDelay replays a burst of 2,000 tasks on workers with room for all of them. A leader whose link carries 50 start orders a second
// must say that what comes next waits for long, and one that keeps up must not.
func TestStartDelay(t *testing.T) {
	tests := map[string]struct {
		perSecond int // start orders that the link carries
		min, max  time.Duration
	}{
		"link is full": {50, 20 * time.Second, 50 * time.Second}, "leader keeps up": {5000, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			workers := []acaciatally.Worker{}
			for i := range 250 {
				workers = append(workers, testWorker(i+1))
			}
			reportIdle(scheduler, workers...)
			for i := range 250 {
				loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", i)), 0, testStep(8, 1000))
			}
			const interval = 20 * time.Millisecond
			delay, link := time.Duration(0), []Order{}
			for now := time.Duration(0); now < 4*time.Second; now += interval {
				for _, w := range workers {
					scheduler.Report(w.ID, runningReport(scheduler, w, now), now, now)
				}
				scheduler.Plan(now, time.UnixMilli(0))
				commitAll(scheduler, now)
				link = append(link, scheduler.Orders(now)...)
				delay = scheduler.StartDelay(now)
				carried := min(len(link), max(1, test.perSecond*int(interval)/int(time.Second)))
				for _, order := range link[:carried] {
					scheduler.OrderResult(order, nil, now)
				}
				link = link[carried:]
			}
			require.GreaterOrEqual(t, delay, test.min)
			require.LessOrEqual(t, delay, test.max)
		})
	}
}

// TestLimitBetweenPlacements guards against a leader at its limit that counts as keeping up whenever it has started what it had placed, so
// that entries accept jobs for which there is no time; and against one that keeps up and counts as at its limit.
func TestLimitBetweenPlacements(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		settled  = 2 * time.Second
		duration = 10 * time.Second
	)
	tests := map[string]struct {
		held, free time.Duration // how long orders are held back, and then not
		atLimit    bool
	}{
		"short breaks":    {900 * time.Millisecond, 300 * time.Millisecond, true},
		"no breaks":       {duration, 0, true},
		"short bursts":    {100 * time.Millisecond, 900 * time.Millisecond, false},
		"nothing is held": {0, duration, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rate := newStartRate()
			for now := step; now < duration; now += step {
				rate.observe((now-step)%(test.held+test.free) < test.held, now)
				if now > settled {
					require.Equal(t, test.atLimit, rate.atLimit, "at %v", now)
				}
			}
			for now := duration; now < duration+settled; now += step {
				rate.observe(false, now)
			}
			require.False(t, rate.atLimit, "the leader keeps up again")
		})
	}
}
