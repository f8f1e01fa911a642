package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

func (s *Scheduler) assign(t *task, c *candidate, attempt int) {
	t.attempt = attempt
	t.assign(c.w, stagePlanned)
	s.interference.countPlacement(t, c)
	s.config.EventLog.RunPlanned(t.ref, attempt, c.w.entry.ID, c.free.Processors)
	c.reserve(t)
	s.countPlaced(t)
}

// candidateFor returns the candidate of the set on which the task is to be placed, or nil.
func (s *Scheduler) candidateFor(t *task, set *candidateSet, now time.Duration) *candidate {
	c := s.bestCandidate(t, set.candidates, now)
	if c == nil && t.step.LongRunning {
		c = s.anyCandidate(t, set.candidates, now)
	}
	if c != nil && s.tooSlow(t, c.w, set.candidates, now) {
		return nil // there is room, so nothing is marked as unplaceable
	}
	if c == nil && len(t.avoidUntil) == 0 && !t.suspected() && t.job.accepted.Queue.Advice == nil {
		set.markUnplaceable(t.step)
	}
	return c
}

// bestCandidate returns the best candidate for the task, or nil. Workers on which the task has failed are skipped if another one may take it,
// now or later, because another failure may use up the last attempt.
func (s *Scheduler) bestCandidate(t *task, candidates []*candidate, now time.Duration) (chosen *candidate) {
	avoids := len(t.avoidUntil) > 0 && s.hasAlternative(t, candidates, now)
	t.conflicts = s.interference.conflicts(t)
	for _, c := range candidates {
		if c.blocked || avoids && t.avoids(c.w, now) {
			continue
		}
		if c.fits(t, now) && s.permitted(t, c.w.entry.ID, now) && (chosen == nil || s.prefers(t, c, chosen)) {
			chosen = c
		}
	}
	return chosen
}

// avoids reports whether the task has failed on the worker and is still to be kept away from it.
func (t *task) avoids(w *worker, now time.Duration) bool { return now < t.avoidUntil[w.entry.ID] }

// hasAlternative reports whether a worker that the task does not avoid may take it, whether or not it has room at present.
func (s *Scheduler) hasAlternative(t *task, candidates []*candidate, now time.Duration) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return !t.avoids(c.w, now) && c.w.entry.Capacity.Fits(t.step.Reserved()) && c.mayTake(t) && s.permitted(t, c.w.entry.ID, now)
	})
}

// anyCandidate returns a candidate with room for a long-running task whose health would not admit it, or nil: a task that has to run at all
// times is better tried on a worker that failed other runs than not run.
func (s *Scheduler) anyCandidate(t *task, candidates []*candidate, now time.Duration) *candidate {
	for _, c := range candidates {
		if c.hasRoom(t) && s.permitted(t, c.w.entry.ID, now) {
			return c
		}
	}
	return nil
}

// prefers reports whether a is a better candidate for the task than b.
func (s *Scheduler) prefers(t *task, a, b *candidate) bool {
	if suspectsA, suspectsB := a.w.suspectRuns, b.w.suspectRuns; suspectsA != suspectsB {
		return suspectsA < suspectsB
	}
	if t.suspected() && a.load.runs != b.load.runs {
		return a.load.runs < b.load.runs // if it crashes the worker, few others are lost
	}
	if a.deferred != b.deferred {
		return b.deferred
	}
	if near := acaciatally.Rack(t.step.NearRack); near != "" && (a.w.entry.Rack == near) != (b.w.entry.Rack == near) {
		return a.w.entry.Rack == near
	}
	if t.step.SameRack {
		if siblingsA, siblingsB := a.rackSiblings(t), b.rackSiblings(t); siblingsA != siblingsB {
			return siblingsA > siblingsB
		}
	}
	if t.step.TailObjective > 0 && a.load.backfill != b.load.backfill {
		return a.load.backfill < b.load.backfill
	}
	if t.step.Backfill && a.load.latencyBound != b.load.latencyBound {
		return a.load.latencyBound < b.load.latencyBound
	}
	if dueA, dueB := s.drainSoon[a.w.entry.ID], s.drainSoon[b.w.entry.ID]; t.step.LongRunning && dueA != dueB {
		return dueB
	}
	if len(t.conflicts) > 0 {
		if countA, countB := a.w.neighbours.count(t.conflicts), b.w.neighbours.count(t.conflicts); countA != countB {
			return countA < countB
		}
	}
	if t.step.LongRunning && (a.load.numLongRunning > 0) != (b.load.numLongRunning > 0) {
		return a.load.numLongRunning > 0 // keep long-running tasks together, because they keep their instances in the pool
	}
	return a.free.Processors < b.free.Processors // pack tasks, so that other instances become idle and can be moved
}

// rackSiblings counts the assigned tasks of the same step and occurrence in the candidate's rack.
func (c *candidate) rackSiblings(t *task) (count int) {
	if c.trial != nil {
		return c.trial.racks[c.w.entry.Rack]
	}
	for _, sibling := range t.members() {
		if sibling.worker != nil && sibling.worker.entry.Rack == c.w.entry.Rack {
			count++
		}
	}
	return count
}
