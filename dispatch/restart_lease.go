package dispatch

import "time"

// A worker that restarts under its ID may carry out calls that were meant for its earlier incarnation, until it has seen a higher fencing token. The lease
// end that such a call names is on the clock of the earlier incarnation, and may be so far ahead on that of the new one that it grants the longest
// lease. The leader that first hears from the new incarnation counts on that. It records it with the runs that it starts there, with the incarnation,
// so that a later leader that never reaches the worker counts on it too.

// maxCallDelay is how late a worker may carry out a call.
const maxCallDelay = 12 * time.Second

// lateStartDelay returns how long after the restart of a worker that has not been heard from since a start order for its earlier incarnation may be carried
// out. Such a start begins a lease, too.
func (w *worker) lateStartDelay() time.Duration {
	for t := range w.runs {
		if t.startMayBeLate() {
			return maxCallDelay
		}
	}
	return 0
}

// startMayBeLate reports whether a start order of the run may be on its way: one has had no answer, or an earlier leader has sent it.
func (t *task) startMayBeLate() bool {
	return t.stage == stageInherited || t.stage == stageOrdered || t.startOutcomeUnknown || t.startAttempts > 1
}

// noteRestartLease notes until when the lease of an incarnation may last that has just reported for the first time.
func (s *Scheduler) noteRestartLease(w *worker, now time.Duration) {
	if w.restartedAt > 0 || s.restartedBefore(w) {
		w.longLeaseUntil = now + s.longestLease()
	}
}

// restartedBefore reports whether the worker that has reported may have restarted in the term of an earlier leader, or between two terms. Without a
// record that names its incarnation, that is not known of a worker that was listed when this term began.
func (s *Scheduler) restartedBefore(w *worker) bool {
	unknown := w.recordedStart.IsZero() && w.knownBefore && s.config.Epoch > 1
	return unknown || w.inheritsLongLease || w.restartedSinceRecord(w.startTime)
}

// restartedSinceRecord reports whether the start of the worker's incarnation differs from that for which an earlier leader has recorded runs. It is earlier
// if the worker's time of day was set back.
func (w *worker) restartedSinceRecord(startTime time.Time) bool {
	return !w.recordedStart.IsZero() && !startTime.IsZero() && !startTime.Equal(w.recordedStart)
}

// knownStart returns the start of the latest incarnation that this leader has heard from, or else that an earlier one has recorded.
func (w *worker) knownStart() time.Time {
	if w.heardStart.IsZero() {
		return w.recordedStart
	}
	return w.heardStart
}

// mayHoldLongLease reports whether the worker's lease may last for longer from now on than the usual one.
func (s *Scheduler) mayHoldLongLease(w *worker, now time.Duration) bool {
	if w.reportedAt == 0 {
		return w.inheritsLongLease || w.restartedAt > 0 || w.restartedSinceRecord(w.entry.StartTime)
	}
	return now+s.usualLease() < w.longLeaseUntil
}

// recordUsualLease makes the jobs with runs on the worker be recorded anew once its lease is the usual one again.
func (s *Scheduler) recordUsualLease(w *worker, now time.Duration) {
	if !w.longLeaseRecorded || w.reportedAt == 0 || s.mayHoldLongLease(w, now) {
		return
	}
	w.longLeaseRecorded = false
	for t := range w.runs {
		t.job.dirty = true
	}
}
