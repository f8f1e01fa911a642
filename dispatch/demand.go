package dispatch

import (
	"time"
)

const (
	demandBucket  = 250 * time.Millisecond
	demandBuckets = 12
	// recentBuckets are the buckets of the rate that is compared with the one before.
	recentBuckets = 4
	// defaultRun is the run time assumed before any was seen.
	defaultRun = time.Second
	// learnShare is the weight of one run in the mean run time.
	learnShare = 0.05
)

// arrivals is the work that arrived for a pool in the last seconds, in thousandths of a core times seconds.
type arrivals struct {
	buckets [demandBuckets]float64
	index   int64
}

func (a *arrivals) add(work float64, now time.Duration) {
	a.advance(now)
	a.buckets[a.index%demandBuckets] += work
}

func (a *arrivals) advance(now time.Duration) {
	index := int64(now / demandBucket)
	for step := max(a.index+1, index-demandBuckets+1); step <= index; step++ {
		a.buckets[step%demandBuckets] = 0
	}
	a.index = max(a.index, index)
}

// rate returns the arriving work a second, over a span that ended some buckets ago.
func (a *arrivals) rate(ago int64) float64 {
	sum := 0.0
	for i := range int64(recentBuckets) {
		sum += a.buckets[(a.index-ago-i+2*demandBuckets)%demandBuckets]
	}
	return sum / (recentBuckets * demandBucket.Seconds())
}

// expected returns the processors that will be needed if the change of the last second goes on for another one.
func (a *arrivals) expected(now time.Duration) int {
	a.advance(now)
	recent, before := a.rate(0), a.rate(recentBuckets)
	return int(max(0, recent+max(0, recent-before)))
}

// runTime is the mean run time of a queue's tasks, and of its steps, which take as long as their longest task.
type runTime struct{ mean, step time.Duration }

func learn(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += time.Duration(learnShare * float64(took-*mean))
}

// work returns the work of a job in thousandths of a core times seconds.
func (m *Machine) work(j *activeJob) (work float64) {
	took := defaultRun
	if known := m.runTimes[j.accepted.Queue.Name]; known != nil {
		took = known.mean
	}
	for _, step := range j.accepted.Spec.Steps {
		if !step.Lasting {
			work += float64(step.Count*step.Takes().Processors) * took.Seconds()
		}
	}
	return work
}

func (m *Machine) noteArrival(j *activeJob, now time.Duration) {
	pool := j.accepted.Queue.Pool
	if m.arrivals[pool] == nil {
		m.arrivals[pool] = &arrivals{index: int64(now / demandBucket)}
	}
	m.arrivals[pool].add(m.work(j), now)
}

func (m *Machine) noteRun(t *task, now time.Duration) {
	if t.confirmed == 0 || t.checkpoint != "" {
		return
	}
	queue := t.job.accepted.Queue.Name
	if m.runTimes[queue] == nil {
		m.runTimes[queue] = &runTime{}
	}
	t.took = now - t.confirmed
	learn(&m.runTimes[queue].mean, t.took)
}

// noteStep learns from a step whose last task is done.
func (m *Machine) noteStep(j *activeJob, tasks []*task) {
	known := m.runTimes[j.accepted.Queue.Name]
	if longest, done := longestRun(tasks); done && longest > 0 && known != nil {
		learn(&known.step, longest)
	}
}
