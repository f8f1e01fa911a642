package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// letFinishPercent is the progress from which a run is left to finish on a worker to drain.
const letFinishPercent = 75

// drainWorkers stops runs on workers that are to be drained or announce that they drain: those that can resume from a checkpoint, and long-running
// ones within the disruption budgets of their steps.
func (s *Scheduler) drainWorkers(now time.Duration) {
	places := drainPlaces{scheduler: s, now: now, pools: map[acaciatally.PoolName]*candidateSet{}}
	for _, w := range s.workers {
		toDrain := s.toDrain[w.entry.ID] != ""
		if w.lost || !toDrain && !w.entry.Draining {
			continue
		}
		s.moveRuns(w, &places)
		if toDrain && w.onlyStoppable() {
			s.stopRemaining(w)
		}
	}
}

// moveRuns stops the runs of a worker that can go on elsewhere.
func (s *Scheduler) moveRuns(w *worker, places *drainPlaces) {
	for t := range w.runs {
		if t.stopReason != "" || t.stage != stageRunning {
			continue
		}
		if (t.movableByCheckpoint() || withinDisruptionBudget(t)) && places.take(t) {
			s.stopTask(t, stopDraining)
		}
	}
}

// onlyStoppable reports whether all that keeps the worker from being drained are runs with checkpoints and long-running tasks, and the disruption
// budgets allow stopping all of them now.
func (w *worker) onlyStoppable() bool {
	if len(w.orphans) > 0 {
		return false
	}
	for t := range w.runs {
		if t.stopReason != "" || t.stage == stageRunning && t.movableByCheckpoint() {
			continue
		}
		if !t.step.LongRunning || t.stage != stageRunning || t.unavailableSiblings(w) > t.disruptionBudget() {
			return false
		}
	}
	return true
}

// stopRemaining stops the runs of a worker that have no other place. Their tasks wait until the instance is back, so they are stopped only once
// nothing else keeps it in service.
func (s *Scheduler) stopRemaining(w *worker) {
	for t := range w.runs {
		if t.stopReason == "" {
			s.stopTask(t, stopDraining)
		}
	}
}

// drainingCandidates returns the workers of a pool that are to be drained and may get long-running tasks, for as long as other runs keep these
// workers in service.
func (s *Scheduler) drainingCandidates(pool acaciatally.PoolName, now time.Duration) (list []*candidate) {
	for id := range s.toDrain {
		if w := s.workers[id]; w != nil && w.entry.Pool == pool && s.usable(w, now) && w.keptInService() {
			list = append(list, newCandidate(w))
		}
	}
	return list
}

// mayGet reports whether the worker may get a run of the task.
func (s *Scheduler) mayGet(w *worker, t *task, now time.Duration) bool {
	return s.usable(w, now) && !s.closedTo(t, w)
}

// closedTo reports whether the worker is to be drained and gets no run of the task.
func (s *Scheduler) closedTo(t *task, w *worker) bool {
	return s.toDrain[w.entry.ID] != "" && (!t.step.LongRunning || !w.keptInService())
}

// keptInService reports whether a run that is left to finish keeps the worker from being drained.
func (w *worker) keptInService() bool {
	for t := range w.runs {
		if !t.step.LongRunning && t.stopReason == "" && !t.movableByCheckpoint() {
			return true
		}
	}
	return false
}

// drainPlaces finds places for the tasks that are stopped in one pass over the workers to drain.
type drainPlaces struct {
	scheduler *Scheduler
	now       time.Duration
	pools     map[acaciatally.PoolName]*candidateSet // those that were needed so far, less what the tasks of this pass take
}

// take reports whether another worker can take the task, and reserves its free capacity. For a long-running task, it may do so in place of runs
// that the task may preempt.
func (p *drainPlaces) take(t *task) bool {
	if t.exceedsMaximum() {
		return false // its account would not let it be placed again
	}
	set := p.candidateSet(t.job.accepted.Queue.Pool)
	if !t.step.LongRunning && set.cannotPlace(t.step) {
		return false
	}
	if c := p.scheduler.candidateFor(t, set, p.now); c != nil {
		c.reserve(t)
		return true
	}
	return t.step.LongRunning && !t.step.Backfill && slices.ContainsFunc(set.candidates, func(c *candidate) bool {
		_, enough := p.scheduler.victims(t, c, p.now)
		return enough
	})
}

func (p *drainPlaces) candidateSet(pool acaciatally.PoolName) *candidateSet {
	if p.pools[pool] == nil {
		p.pools[pool] = p.scheduler.candidateSet(pool, p.now)
	}
	return p.pools[pool]
}

// movableByCheckpoint reports whether it is better to stop the run and resume it from a checkpoint than to let it finish.
func (t *task) movableByCheckpoint() bool {
	return t.step.Checkpoints && !t.step.LongRunning && !t.step.Gang && t.percent < letFinishPercent
}

// withinDisruptionBudget reports whether the task is long-running and the disruption budget of its step allows stopping it now.
func withinDisruptionBudget(t *task) bool {
	return t.step.LongRunning && t.unavailableSiblings(nil) < t.disruptionBudget()
}

// disruptionBudget returns how many tasks of the task's long-running step may be down at once.
func (t *task) disruptionBudget() int {
	if t.step.HasDisruptionBudget {
		return t.step.DisruptionBudget
	}
	return 1
}

// unavailableSiblings counts the other tasks of the task's step that are not available. With a worker, it counts the tasks that would be
// unavailable if all tasks on that worker, including this one, were stopped.
func (t *task) unavailableSiblings(stopped *worker) (count int) {
	for _, sibling := range t.members() {
		switch {
		case stopped != nil && sibling.worker == stopped:
			count++
		case sibling != t && !sibling.available():
			count++
		}
	}
	return count
}

// available reports whether a long-running task is up, according to the last report of its worker.
func (t *task) available() bool {
	return t.stage == stageRunning && t.assigned() && t.stopReason == "" && t.percent >= fullPercent &&
		t.worker != nil && t.worker.renewalFailures == 0
}
