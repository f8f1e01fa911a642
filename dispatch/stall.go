package dispatch

import "time"

const (
	// stallTimeout is the shortest time without progress after which a run counts as stalled; it spans several reports.
	stallTimeout = 1600 * time.Millisecond
	// stallPercents is how many percent of the expected progress may be missing. Estimates are rough, and workers differ in speed.
	stallPercents = 4
	// maxStallDoublings bounds how often stallLimit is doubled.
	maxStallDoublings = 6
)

// stopStalledRuns stops the runs that make no progress, so that they are started again on other workers. The first run of a task that stalls
// is held against its worker; if another one stalls elsewhere, the task may just be long.
func (s *Scheduler) stopStalledRuns(now time.Duration) {
	for _, w := range s.workers {
		for t := range w.runs {
			if !t.stalled() {
				continue
			}
			if t.stalls == 0 {
				s.quarantine(w, "quarantined: run makes no progress", now)
			}
			t.stalls++
			s.stopTask(t, stopStalled)
		}
	}
}

// stalled reports whether the task's run has made no progress for too long. Runs without a steady progress are left out.
func (t *task) stalled() bool {
	if t.stage != stageRunning || t.step.LongRunning || t.step.Gang || t.step.Backfill || t.cpuShare < fullPercent || t.stopReason != "" {
		return false
	}
	return t.percent < fullPercent && t.percentReportedAt-t.progressedAt > t.stallLimit()
}

// stallLimit returns how long a run of the task may make no progress: the progress is reported in whole percents, which take their time in a
// long run. It is twice as long after each run of the task that was stopped as stalled, since the estimate may be far too short.
func (t *task) stallLimit() time.Duration {
	perPercent := max(t.step.Estimate/fullPercent, t.timePerPercent)
	return max(stallTimeout, stallPercents*perPercent) << min(t.stalls, maxStallDoublings)
}

// observeProgress updates the task's progress from a report of its run.
func (t *task) observeProgress(percent int, now time.Duration) {
	if t.percentReportedAt == 0 {
		t.progressedAt = now
	} else if percent > t.percent {
		t.timePerPercent = (now - t.progressedAt) / time.Duration(percent-t.percent)
		t.progressedAt = now
	}
	t.percent, t.percentReportedAt = percent, now
}
