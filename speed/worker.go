package speed

import (
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxJobs is the number of jobs of which a worker's runs are kept. Large workers run about this many at a time.
	maxJobs = 12
	// evidenceHalfLife is the age at which a sample counts half, since it was first observed or has changed.
	evidenceHalfLife = 3 * time.Second
	// minChange is the logarithmic change of a sample's difference that counts as new evidence, a factor of 1.5. A long run that goes on as before tells
	// nothing new; otherwise workers that get no new runs would be assessed by their longest ones alone.
	minChange = 0.4
	// maxAge is the age at which a sample no longer counts.
	maxAge = 15 * time.Second
	// maxDifference clips the logarithmic difference of a run, at a factor of 10.
	maxDifference = 2.3
	// minVariance is the smallest variance assumed of a sample: run times depend on what else runs on the worker.
	minVariance = 0.04
	// progressWeight is the weight of a sample whose current pace is known. It exceeds that of completed runs, which may be from before the worker
	// became slow or fast.
	progressWeight = 2
	// minJobs is the number of different jobs that a verdict needs. The tasks of one job may all be long, and often run on one worker.
	minJobs = 3
	// slowFactor is the factor on run times from which a worker is slow, and fastFactor that below which it no longer is.
	slowFactor, fastFactor = 2, 1.5
	// certainFactor is the factor that a slow worker has to exceed by marginOfError standard errors. With 350 workers that are assessed ten times a
	// second, a smaller margin often finds one by chance.
	certainFactor, marginOfError = 1.25, 5
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
	samples   []sample
	slow      bool
	relative  float64 // logarithm of the factor on run times, relative to the median of the pool
	estimated float64 // the same relative to the kinds' means
	deviation float64 // standard error of estimated
	known     int     // samples in estimated
	assessed  bool    // estimated is set; it is kept while nothing newer is known
	hold      time.Duration
	holdUntil time.Duration // a slow worker is avoided until then
}

// sample is the difference from the expected time of the runs of one occurrence of a job on the worker.
type sample struct {
	ref      acaciatally.TaskRef // with the step and the index 0
	variance float64
	ended    logSum
	running  logSum        // as of the last report
	observed time.Duration // when a run was last observed
	mean     float64       // of the runs, as of changed
	changed  time.Duration // when mean last changed by minChange, or the first run was observed
}

// difference returns the mean difference of the running runs, or else of the ended ones.
func (s *sample) difference() (mean float64, known bool) {
	from := &s.ended
	if s.running.count > 0 {
		from = &s.running
	}
	if from.count == 0 {
		return 0, false
	}
	mean = from.sum / float64(from.count)
	if s.changed == 0 || math.Abs(mean-s.mean) >= minChange {
		s.mean, s.changed = mean, s.observed
	}
	return mean, true
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
	for i := range w.samples {
		w.samples[i].running = logSum{}
	}
}

// ObserveEnd adds the difference of a completed run of a task from the expected time.
func (w *Worker) ObserveEnd(task acaciatally.TaskRef, difference, variance float64, now time.Duration) {
	s := w.sample(task, now)
	s.ended.add(difference)
	s.variance = variance
}

// ObservePace adds the difference of the projected time of a running run of a task from the expected time.
func (w *Worker) ObservePace(task acaciatally.TaskRef, difference, variance float64, now time.Duration) {
	s := w.sample(task, now)
	s.running.add(difference)
	s.variance = variance
}

// sample returns the sample of the task's job, which may replace the one observed longest ago.
func (w *Worker) sample(task acaciatally.TaskRef, now time.Duration) *sample {
	task.Step, task.Index = 0, 0
	oldest := 0
	for i := range w.samples {
		if w.samples[i].ref == task {
			w.samples[i].observed = now
			return &w.samples[i]
		}
		if w.samples[i].observed < w.samples[oldest].observed {
			oldest = i
		}
	}
	if len(w.samples) < maxJobs {
		w.samples = append(w.samples, sample{})
		oldest = len(w.samples) - 1
	}
	w.samples[oldest] = sample{ref: task, observed: now}
	return &w.samples[oldest]
}

// estimate computes the weighted mean of the samples. The evidence of a slow worker decays only as new evidence arrives, since the worker gets few
// runs.
func (w *Worker) estimate(now time.Duration) {
	if w.slow {
		now = w.lastChanged()
	}
	sum, weights, squares := 0.0, 0.0, 0.0
	w.known = 0
	for i := range w.samples {
		s := &w.samples[i]
		difference, known := s.difference()
		age := now - s.changed
		if !known || age > maxAge {
			continue
		}
		variance := s.variance + minVariance
		weight := math.Exp2(-float64(age)/float64(evidenceHalfLife)) / variance
		if s.running.count > 0 {
			weight *= progressWeight
		}
		w.known++
		weights += weight
		squares += weight * weight * variance
		sum += weight * difference
	}
	if w.known > 0 {
		w.estimated, w.deviation, w.assessed = sum/weights, math.Sqrt(squares)/weights, true
	}
}

// lastObserved returns when a run on the worker was last observed.
func (w *Worker) lastObserved() (last time.Duration) {
	for i := range w.samples {
		last = max(last, w.samples[i].observed)
	}
	return last
}

// lastChanged returns when something new was last observed on the worker.
func (w *Worker) lastChanged() (last time.Duration) {
	for i := range w.samples {
		last = max(last, w.samples[i].changed)
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
	certain := w.known >= minJobs
	switch {
	case w.slow && now > w.lastObserved()+forgetTime, w.slow && certain && w.relative < math.Log(fastFactor):
		w.slow, w.hold, w.samples, w.estimated = false, 0, w.samples[:0], median
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
