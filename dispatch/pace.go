package dispatch

import "time"

const (
	// slowAbove is the share of a response time's objective from which what fills the worker is slowed down.
	slowAbove = 0.85
	// calmBelow is the share below which it is let go on faster.
	calmBelow = 0.6
	// paceStep is how much faster a slowed run gets at once, in percent.
	paceStep = 15
	// paceEvery is the time between two changes of a worker's pace; a change shows in the figure of the last half second after that.
	paceEvery = 600 * time.Millisecond
)

// pace slows down what fills a worker while a serving task there is near its objective, and lets it go on faster when all are calm.
func (m *Machine) pace(w *worker, now time.Duration) {
	if now < w.pacedAt+paceEvery {
		return
	}
	worst := 0.0
	for t := range w.runs {
		if t.step.TailObjective > 0 && t.stage == running {
			worst = max(worst, float64(t.tail)/float64(t.step.TailObjective))
		}
	}
	for t := range w.runs {
		if !t.step.Backfill || t.stage != running {
			continue
		}
		if wanted := nextPace(t.paceWanted, worst); wanted != t.paceWanted {
			t.paceWanted = wanted
			w.pacedAt = now
		}
	}
}

// nextPace returns the share in percent for a run that fills, by the worst ratio of a response time to its objective.
func nextPace(present int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowAbove:
		return present / 2
	case worst < calmBelow:
		return min(fullPace, present+paceStep)
	}
	return present
}
