package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/speed"
)

const (
	// maxKinds bounds the kinds of which run times are kept; beyond it all are learned anew.
	maxKinds = 4096
	// minPacePercent is the progress from which the pace of a run is taken from its start, since progress is reported in whole percents.
	minPacePercent = 5
)

// kindKey identifies a kind of task.
type kindKey struct {
	queue acaciatally.QueueName
	step  int
}

// speeds is what is known of the run times of all kinds.
type speeds struct {
	kinds    map[kindKey]*speed.Kind
	slow     int  // slow workers
	disabled bool // nothing is learned; see Config.IgnoreWorkerSpeed
}

// kind returns what is known of the run times of the task's kind.
func (s *speeds) kind(t *task) *speed.Kind {
	key := kindKey{t.job.accepted.Queue.Name, t.ref.Step}
	known := s.kinds[key]
	if known == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		known = &speed.Kind{}
		s.kinds[key] = known
	}
	return known
}

// showsSpeed reports whether the run time of the task tells something about its worker. The others take longer elsewhere than near their data,
// share the processors that are left free, wait for the members of their gang, or have no end.
func (s *speeds) showsSpeed(t *task) bool {
	far := t.step.NearRack != "" && t.worker.entry.Rack != acaciatally.Rack(t.step.NearRack)
	return !s.disabled && !far && !t.step.Backfill && !t.step.Gang && !t.step.LongRunning && t.cpuShare == fullPercent
}

// observeSpeed adds the time of a completed run to what is known of its kind and worker. The start of an inherited run is not known.
func (s *Scheduler) observeSpeed(t *task, now time.Duration) {
	if t.startSentAt == 0 || !s.speeds.showsSpeed(t) {
		return
	}
	kind := s.speeds.kind(t)
	if difference, variance, known := kind.Compare(t.runTime, t.step.Estimate); known {
		t.worker.speed.ObserveEnd(t.ref, difference, variance, now)
	}
	kind.Observe(t.runTime, t.step.Estimate, t.worker.speed.Slowness())
}

// observeSuccess counts the successful run of a task for its worker, and its earlier failures against the workers on which it failed. The worker
// itself may be among them.
func (s *Scheduler) observeSuccess(t *task, now time.Duration) {
	if s.speeds.disabled {
		return
	}
	s.observeOutcome(t.worker, false, now)
	for _, id := range t.failedOn {
		if w := s.workers[id]; w != nil {
			s.observeOutcome(w, true, now)
		}
	}
	t.failedOn = nil
}

func (s *Scheduler) observeOutcome(w *worker, failed bool, now time.Duration) {
	if w.speed.ObserveOutcome(failed, now) {
		s.reliabilityChanged(w, now)
	}
}

func (s *Scheduler) reliabilityChanged(w *worker, now time.Duration) {
	state := "no longer unreliable"
	if w.speed.Unreliable() {
		state = "unreliable: runs failed whose tasks succeeded later"
	}
	s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, state, now-w.reportedAt)
}

// observePace adds the pace of a running run to what is known of its worker, so that a worker that has become slow is noticed before its runs
// end.
func (s *Scheduler) observePace(t *task, now time.Duration) {
	if t.percent >= fullPercent || !s.speeds.showsSpeed(t) {
		return
	}
	projected := fullPercent * t.timePerPercent
	if projected == 0 {
		if t.startSentAt == 0 || t.percent < minPacePercent {
			return
		}
		projected = fullPercent * (now - t.confirmedAt) / time.Duration(t.percent)
	}
	if difference, variance, known := s.speeds.kind(t).Compare(projected, t.step.Estimate); known {
		t.worker.speed.ObservePace(t.ref, difference, variance, now)
	}
}

// assessSpeeds finds the slow workers of each pool.
func (s *Scheduler) assessSpeeds(now time.Duration) {
	pools := map[acaciatally.PoolName][]*speed.Worker{}
	owners := map[*speed.Worker]*worker{}
	for _, w := range s.workers {
		if w.listed && !w.lost {
			pools[w.entry.Pool] = append(pools[w.entry.Pool], &w.speed)
			owners[&w.speed] = w
		}
	}
	for _, pool := range pools {
		for _, changed := range speed.Assess(pool, now) {
			s.speedChanged(owners[changed], now)
		}
	}
	slow := 0
	for w, owner := range owners {
		if w.Slow() {
			slow++
		}
		if w.ForgetFailures(now) {
			s.reliabilityChanged(owner, now)
		}
	}
	if slow != s.speeds.slow {
		s.speeds.slow = slow
		s.config.EventLog.SlowWorkers(slow)
	}
}

func (s *Scheduler) speedChanged(w *worker, now time.Duration) {
	state := "no longer slow"
	if w.speed.Slow() {
		state = fmt.Sprintf("slow: runs take %.1f times as long as in its pool", w.speed.Factor())
	}
	s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, state, now-w.reportedAt)
}

// tooSlow reports whether the task had better wait for another worker than run on this one, because the worker is slow: its job is in time, but
// would not be with this run, or its result would be useless. Steps beside the critical path have time to spare. The wait is bounded, since the
// lateness of the job grows with it; an overdue job takes any worker, and so does a task that no other worker of the pool may take.
func (s *Scheduler) tooSlow(t *task, w *worker, candidates []*candidate, now time.Duration) bool {
	j := t.job
	if !w.speed.Avoided(now) || t.step.LongRunning || j.lateness == overdue {
		return false
	}
	allowed := j.estimate.allowed
	if j.lateness == late {
		allowed *= overdueFactor
	}
	if now+s.remainingOn(t, w) <= j.waitingSince()+allowed {
		return false
	}
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return !c.w.speed.Slow() && now >= c.w.health.quarantinedUntil && c.w.entry.Capacity.Fits(t.step.Reserved()) && c.mayTake(t) &&
			s.permitted(t, c.w.entry.ID, now)
	})
}

// remainingOn returns the remaining time of the task's occurrence if the task runs on the worker.
func (s *Scheduler) remainingOn(t *task, w *worker) (remaining time.Duration) {
	expected := s.expectedStepTimes(t.job)
	expected[t.ref.Step] = time.Duration(w.speed.Factor() * float64(expected[t.ref.Step]))
	for _, o := range t.job.openOccurrences {
		if o.number == t.ref.Occurrence {
			_, remaining, _ = o.criticalPath(t.job.accepted.Spec.Steps, expected)
		}
	}
	return remaining
}
