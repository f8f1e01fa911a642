package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally/ordering"
)

// preemptAfter is how long a long-running task waits for free capacity before other runs are preempted for it. Usually runs end sooner.
const preemptAfter = 700 * time.Millisecond

// placeUrgently places a long-running task that fits no candidate, once it has waited for preemptAfter, on a worker to drain that other runs keep in
// service, and returns whether it was placed. If there is none, it preempts other runs.
func (s *Scheduler) placeUrgently(t *task, candidates []*candidate, now time.Duration) (placed bool) {
	if t.unplacedSince == 0 {
		t.unplacedSince = now
	}
	if now < t.unplacedSince+preemptAfter {
		return false
	}
	if c := s.anyCandidate(t, s.drainingCandidates(t.job.accepted.Queue.Pool, now), now); c != nil {
		s.assign(t, c, t.attempt+1)
		return true
	}
	if !t.step.Backfill {
		s.preempt(t, candidates, now)
	}
	return false
}

// preempt frees capacity for a long-running task. It stops runs of other tasks, none of them long-running, on the worker where the fewest have
// to be stopped.
func (s *Scheduler) preempt(t *task, candidates []*candidate, now time.Duration) {
	var victims []*task
	for _, c := range candidates {
		found, enough := s.victims(t, c, now)
		if enough && (victims == nil || len(found) < len(victims)) {
			victims = found
		}
	}
	for _, victim := range victims {
		s.stopTask(victim, stopPreempted)
	}
	if victims != nil {
		t.unplacedSince = now
	}
}

// victims returns the runs to stop on the candidate so that the task fits, and whether that is enough. Runs that write checkpoints and
// those with the least progress are stopped first.
func (s *Scheduler) victims(t *task, c *candidate, now time.Duration) (victims []*task, enough bool) {
	if !c.mayTake(t) || !s.permitted(t, c.w.entry.ID, now) {
		return nil, false
	}
	var preemptible []*task
	for run := range c.w.runs {
		if !run.step.LongRunning && run.stage == stageRunning && run.stopReason == "" {
			preemptible = append(preemptible, run)
		}
	}
	slices.SortFunc(preemptible, func(a, b *task) int {
		return cmp.Or(ordering.CompareBools(b.step.Checkpoints, a.step.Checkpoints), cmp.Compare(a.percent, b.percent))
	})
	free := c.free
	for _, run := range preemptible {
		if free.Fits(t.step.Reserved()) {
			break
		}
		free = free.Plus(run.step.Reserved())
		victims = append(victims, run)
	}
	return victims, free.Fits(t.step.Reserved())
}
