package dispatch

import "time"

const (
	// throttleAbove is the ratio of tail latency to objective from which backfill runs on the worker are throttled.
	throttleAbove = 0.85
	// unthrottleBelow is the ratio below which their CPU share is raised again.
	unthrottleBelow = 0.6
	// cpuShareStep is the increase of the CPU share in one change, in percent.
	cpuShareStep = 15
	// throttleInterval is the minimum time between two changes on one worker. The reported latency covers the last half second, so it shows
	// the effect of a change only after that.
	throttleInterval = 600 * time.Millisecond
)

// throttle lowers the CPU share of backfill runs on the worker while the latency of a task there is near or over its objective, and raises
// it when all latencies are low.
func (s *Scheduler) throttle(w *worker, now time.Duration) {
	if now < w.throttledAt+throttleInterval {
		return
	}
	worst := 0.0
	for t := range w.runs {
		if t.step.TailObjective > 0 && t.stage == stageRunning {
			worst = max(worst, float64(t.tailLatency)/float64(t.step.TailObjective))
		}
	}
	for t := range w.runs {
		if !t.step.Backfill || t.stage != stageRunning {
			continue
		}
		if wanted := nextCPUShare(t.cpuShareWanted, worst); wanted != t.cpuShareWanted {
			t.cpuShareWanted = wanted
			t.markOrderDue()
			w.throttledAt = now
		}
	}
}

// nextCPUShare returns the new CPU share of a backfill run, in percent; worst is the highest ratio of latency to objective on the worker.
func nextCPUShare(current int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= throttleAbove:
		return current / 2
	case worst < unthrottleBelow:
		return min(fullPercent, current+cpuShareStep)
	}
	return current
}
