package speed

import (
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxSteps is the number of steps of which a worker's runs are kept. Large workers run about this many steps at a time.
	maxSteps = 12
	// evidenceHalfLife is the age at which a step counts half.
	evidenceHalfLife = 3 * time.Second
	// maxAge is the age at which a step no longer counts.
	maxAge = 15 * time.Second
	// maxDifference clips the logarithmic difference of a run, at a factor of 10.
	maxDifference = 2.3
	// minVariance is the smallest variance assumed of a step's difference: run times depend on what else runs on the worker.
	minVariance = 0.04
	// progressWeight is the weight of a step whose current pace is known. It exceeds that of completed runs, which may be from before the worker
	// became slow or fast.
	progressWeight = 2
	// minSteps is the number of different steps that a verdict needs. The tasks of one step may all be long, and often run on one worker.
	minSteps = 3
	// slowFactor is the factor on run times from which a worker is slow, and fastFactor that below which it no longer is.
	slowFactor, fastFactor = 2, 1.5
	// certainFactor is the factor that a slow worker has to exceed by marginOfError standard errors. With 350 workers that are assessed ten times a
	// second, a smaller margin often finds one by chance.
	certainFactor, marginOfError = 1.25, 4
	// minHold is how long a worker is avoided that has been found slow. Then it is tried with what finds no room elsewhere, for trialTime, which
	// reports of the pace of its runs need. Each time it is still slow, it is avoided twice as long, up to maxHold.
	minHold, maxHold = 5 * time.Second, 20 * time.Second
	trialTime        = time.Second
	// forgetTime is how long a worker without runs stays slow. It costs little to come last while there is room elsewhere.
	forgetTime = time.Minute
)

// Worker is what is known of the speed of one incarnation of a worker.
type Worker struct {
	failures  failures
	steps     []step
	slow      bool
	relative  float64 // logarithm of the factor on run times, relative to the median of the pool
	estimated float64 // the same relative to the kinds' means
	deviation float64 // standard error of estimated
	known     int     // steps in estimated
	assessed  bool    // estimated is set; it is kept while nothing newer is known
	hold      time.Duration
	holdUntil time.Duration // a slow worker is avoided until then
}

// step is the difference from the expected time of the runs of one step on the worker.
type step struct {
	ref      acaciatally.TaskRef // of the step's task 0
	variance float64
	ended    logSum
	running  logSum // as of the last report
	observed time.Duration
}

type logSum struct {
	sum   float64
	count int
}

func (l *logSum) add(difference float64) {
	l.sum += max(-maxDifference, min(maxDifference, difference))
	l.count++
}

// Slow reports whether the worker is clearly slower than the others of its pool.
func (w *Worker) Slow() bool { return w.slow }

// Avoided reports whether the worker is slow and is not to be tried yet.
func (w *Worker) Avoided(now time.Duration) bool { return w.slow && now < w.holdUntil }

// Factor returns the factor on run times, relative to the median of the pool; 1 unless the worker is slow.
func (w *Worker) Factor() float64 {
	if !w.slow {
		return 1
	}
	return math.Exp(w.relative)
}

// Slowness returns the logarithm of Factor.
func (w *Worker) Slowness() float64 {
	if !w.slow {
		return 0
	}
	return w.relative
}

// BeginReport drops the pace of running runs, which the next report tells anew.
func (w *Worker) BeginReport() {
	for i := range w.steps {
		w.steps[i].running = logSum{}
	}
}

// ObserveEnd adds the difference of a completed run of a task from the expected time.
func (w *Worker) ObserveEnd(task acaciatally.TaskRef, difference, variance float64, now time.Duration) {
	s := w.step(task, now)
	s.ended.add(difference)
	s.variance = variance
}

// ObservePace adds the difference of the projected time of a running run of a task from the expected time.
func (w *Worker) ObservePace(task acaciatally.TaskRef, difference, variance float64, now time.Duration) {
	s := w.step(task, now)
	s.running.add(difference)
	s.variance = variance
}

// step returns the entry of the task's step, which may replace that of the step observed longest ago.
func (w *Worker) step(task acaciatally.TaskRef, now time.Duration) *step {
	task.Index = 0
	oldest := 0
	for i := range w.steps {
		if w.steps[i].ref == task {
			w.steps[i].observed = now
			return &w.steps[i]
		}
		if w.steps[i].observed < w.steps[oldest].observed {
			oldest = i
		}
	}
	if len(w.steps) < maxSteps {
		w.steps = append(w.steps, step{})
		oldest = len(w.steps) - 1
	}
	w.steps[oldest] = step{ref: task, observed: now}
	return &w.steps[oldest]
}

// estimate computes the weighted mean over the steps. The evidence of a slow worker decays only as new evidence arrives, since the worker gets few
// runs.
func (w *Worker) estimate(now time.Duration) {
	if w.slow {
		now = w.lastObserved()
	}
	sum, weights := 0.0, 0.0
	w.known = 0
	for i := range w.steps {
		s := &w.steps[i]
		age := now - s.observed
		if age > maxAge {
			continue
		}
		weight, from := 1/(s.variance+minVariance), &s.ended
		if s.running.count > 0 {
			weight, from = weight*progressWeight, &s.running
		}
		if from.count == 0 {
			continue
		}
		weight *= math.Exp2(-float64(age) / float64(evidenceHalfLife))
		w.known++
		weights += weight
		sum += weight * from.sum / float64(from.count)
	}
	if w.known > 0 {
		w.estimated, w.deviation, w.assessed = sum/weights, 1/math.Sqrt(weights), true
	}
}

// lastObserved returns when a run on the worker was last observed.
func (w *Worker) lastObserved() (last time.Duration) {
	for i := range w.steps {
		last = max(last, w.steps[i].observed)
	}
	return last
}

// Assess assesses the workers of a pool against their median and returns those that have become slow or are no longer slow. A pool that is slow
// as a whole has no slow workers.
func Assess(pool []*Worker, now time.Duration) (changed []*Worker) {
	estimates := make([]float64, 0, len(pool))
	for _, w := range pool {
		w.estimate(now)
		if w.assessed {
			estimates = append(estimates, w.estimated)
		}
	}
	if len(estimates) == 0 {
		return nil
	}
	slices.Sort(estimates)
	median := estimates[(len(estimates)-1)/2]
	for _, w := range pool {
		if w.assess(median, now) {
			changed = append(changed, w)
		}
	}
	return changed
}

// assess updates the verdict and returns whether it has changed.
func (w *Worker) assess(median float64, now time.Duration) bool {
	if w.known == 0 {
		return false
	}
	w.relative = w.estimated - median
	certain := w.known >= minSteps
	switch {
	case w.slow && now > w.lastObserved()+forgetTime, w.slow && certain && w.relative < math.Log(fastFactor):
		w.slow, w.hold, w.steps, w.estimated = false, 0, w.steps[:0], median
		return true
	case w.slow && w.lastObserved() > w.holdUntil+trialTime:
		w.hold = min(maxHold, 2*w.hold)
		w.holdUntil = now + w.hold
	case !w.slow && certain && w.relative >= math.Log(slowFactor) && w.relative-marginOfError*w.deviation >= math.Log(certainFactor):
		w.slow, w.hold, w.holdUntil = true, minHold, now+minHold
		return true
	}
	return false
}
