package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	demandBucket  = 250 * time.Millisecond // time that one bucket of arrivals covers
	demandBuckets = 12
	// recentBuckets is the number of buckets in each of the two adjacent spans whose rates are compared.
	recentBuckets = 4
	// defaultRunTime is the run time assumed for a queue without completed runs.
	defaultRunTime = time.Second
	// newSampleWeight is the weight of a new sample in the moving mean run time.
	newSampleWeight = 0.05
)

// work is an amount of each resource times seconds.
type work struct{ processors, memory, accelerators float64 }

// plus returns the sum of w and an amount of resources used for a time.
func (w work) plus(resources acaciatally.ResourceVector, runTime time.Duration) work {
	seconds := runTime.Seconds()
	return work{
		processors:   w.processors + float64(resources.Processors)*seconds,
		memory:       w.memory + float64(resources.Memory)*seconds,
		accelerators: w.accelerators + float64(resources.Accelerators)*seconds,
	}
}

// times returns w multiplied by a factor.
func (w work) times(factor float64) work {
	return work{w.processors * factor, w.memory * factor, w.accelerators * factor}
}

// arrivals is the work that has arrived for a pool during the last seconds.
type arrivals struct {
	buckets [demandBuckets]work
	index   int64
}

func (a *arrivals) add(arrived work, now time.Duration) {
	a.advance(now)
	bucket := &a.buckets[a.index%demandBuckets]
	bucket.processors += arrived.processors
	bucket.memory += arrived.memory
	bucket.accelerators += arrived.accelerators
}

func (a *arrivals) advance(now time.Duration) {
	index := int64(now / demandBucket)
	for step := max(a.index+1, index-demandBuckets+1); step <= index; step++ {
		a.buckets[step%demandBuckets] = work{}
	}
	a.index = max(a.index, index)
}

// rate returns the rate of one resource of the arriving work over recentBuckets buckets that ended the given number of buckets ago.
func (a *arrivals) rate(ago int64, resource func(w work) float64) float64 {
	sum := 0.0
	for i := range int64(recentBuckets) {
		sum += resource(a.buckets[(a.index-ago-i+2*demandBuckets)%demandBuckets])
	}
	return sum / (recentBuckets * demandBucket.Seconds())
}

// expected returns the resources needed if the change of the rate over the last second continues for another second.
func (a *arrivals) expected(now time.Duration) acaciatally.ResourceVector {
	a.advance(now)
	extrapolate := func(resource func(w work) float64) int {
		recent, before := a.rate(0, resource), a.rate(recentBuckets, resource)
		return int(max(0, recent+max(0, recent-before)))
	}
	return acaciatally.ResourceVector{
		Processors:   extrapolate(func(w work) float64 { return w.processors }),
		Memory:       extrapolate(func(w work) float64 { return w.memory }),
		Accelerators: extrapolate(func(w work) float64 { return w.accelerators }),
	}
}

// runTimeMeans holds the mean run time of a queue's tasks and what is known of the times of its steps.
type runTimeMeans struct {
	task time.Duration
	step stepTimes
	// stepKinds is the same by the number of the step.
	stepKinds stepKinds
}

func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(newSampleWeight * float64(sample-*mean))
}

// estimatedWork returns the expected work of a job.
func (s *Scheduler) estimatedWork(j *activeJob) (estimated work) {
	runTime := defaultRunTime
	if known := s.runTimes[j.accepted.Queue.Name]; known != nil {
		runTime = known.task
	}
	for _, step := range j.accepted.Spec.Steps {
		if !step.LongRunning {
			estimated = estimated.plus(step.Reserved(), time.Duration(step.Count)*runTime)
		}
	}
	return estimated
}

// observeArrival adds a part of the expected work of a loaded job to the arrivals of its pool, unless its account is at its maximum.
func (s *Scheduler) observeArrival(j *activeJob, part float64, now time.Duration) {
	if j.usage.limited() && !j.usage.unknown && !j.usage.hasHeadroom(j.accepted.Spec.Steps[0].Resources) {
		return // it can't start soon
	}
	pool := j.accepted.Queue.Pool
	if s.arrivals[pool] == nil {
		s.arrivals[pool] = &arrivals{index: int64(now / demandBucket)}
	}
	s.arrivals[pool].add(s.estimatedWork(j).times(part), now)
}

// observeRunTime updates the mean run time of the queue's tasks. A run with a checkpoint is left out, since it may have resumed and
// done only part of the work.
func (s *Scheduler) observeRunTime(t *task, now time.Duration) {
	if t.confirmedAt == 0 || t.checkpoint != "" {
		return
	}
	queue := t.job.accepted.Queue.Name
	if s.runTimes[queue] == nil {
		s.runTimes[queue] = &runTimeMeans{}
	}
	t.runTime = now - t.confirmedAt
	updateMean(&s.runTimes[queue].task, t.runTime)
	s.observeSpeed(t, now)
}

// observeStepTime updates the step times of the queue when all tasks of a step are done.
func (s *Scheduler) observeStepTime(j *activeJob, tasks []*task) {
	known := s.runTimes[j.accepted.Queue.Name]
	if longest, done := longestRunTime(tasks); done && longest > 0 && known != nil {
		known.step.observe(longest, tasks[0].step.Estimate)
		known.stepKinds.observe(tasks[0].ref.Step, longest, tasks[0].step.Estimate)
	}
}
