package dispatch

import "time"

const (
	initialStartWindow = 32
	minStartWindow     = 8
	maxStartWindow     = 4096
	// slowStart is the time from which a start order counts as slow; a worker usually answers within a few milliseconds.
	slowStart = 150 * time.Millisecond
	// windowInterval is the minimum time between two changes of the window.
	windowInterval = 200 * time.Millisecond
	// minWindowSamples is the number of answers that a change of the window takes, so that one worker that hangs does not lower it.
	minWindowSamples = 8
	// congestedShare is the share of slow answers from which the leader itself counts as congested. A full link or processor delays all
	// answers; workers that do not answer delay only their own, while those of the others are fast.
	congestedShare = 0.8
	windowDecrease = 0.6
	windowIncrease = 1.5
	// heldLogInterval is the minimum time between two log lines about start orders that are held back.
	heldLogInterval = 500 * time.Millisecond
)

// StartWindowState is the state of the window of start orders in flight, for the log.
type StartWindowState struct {
	Size     int
	InFlight int
	Finished int           // answers since the window last changed
	Slow     int           // slow ones of the answers
	Delay    time.Duration // how long the tasks of a job submitted now would wait
}

// startWindow limits the start orders in flight when more tasks can start than the leader's link or processors carry. Without a limit the
// orders queue in the leader until they time out and are sent again, which leaves no room for renewals of leases and reports of ends.
type startWindow struct {
	size      float64
	inFlight  int
	changedAt time.Duration
	finished  int  // answers since the last change
	slow      int  // slow ones of the answers
	limited   bool // orders were held back since the last change
	nextLogAt time.Duration
}

func newStartWindow() startWindow { return startWindow{size: initialStartWindow} }

// take takes up to count start orders into the window and returns how many are held back.
func (w *startWindow) take(count int) (held int) {
	held = max(0, count-int(w.size)+w.inFlight)
	held = min(held, count)
	w.inFlight += count - held
	w.limited = w.limited || held > 0
	return held
}

// finish counts the result of a start order that was sent the given time ago. The window shrinks while nearly all answers are slow, and
// grows while it holds back orders of which some would be fast.
func (w *startWindow) finish(took, now time.Duration) {
	w.inFlight--
	w.finished++
	if took > slowStart {
		w.slow++
	}
	if w.finished < minWindowSamples || now < w.changedAt+windowInterval {
		return
	}
	switch {
	case float64(w.slow) > congestedShare*float64(w.finished):
		w.size = max(minStartWindow, w.size*windowDecrease)
	case w.limited:
		w.size = min(maxStartWindow, w.size*windowIncrease)
	}
	w.changedAt, w.finished, w.slow, w.limited = now, 0, 0, false
}

// logHeldStarts logs the state of the window while start orders are held back, at most once per heldLogInterval.
func (s *Scheduler) logHeldStarts(now time.Duration) {
	if s.heldStarts == 0 || now < s.starts.nextLogAt {
		return
	}
	s.starts.nextLogAt = now + heldLogInterval
	s.config.EventLog.StartsHeld(s.heldStarts, StartWindowState{
		Size: int(s.starts.size), InFlight: s.starts.inFlight, Finished: s.starts.finished, Slow: s.starts.slow, Delay: s.StartDelay(now),
	})
}
