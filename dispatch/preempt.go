package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally/ordering"
)

// preemptAfter is how long a lasting task waits for room before others are stopped for it; runs usually end sooner.
const preemptAfter = 700 * time.Millisecond

// preempt stops runs that do not last on the worker where the fewest have to go, so that a lasting task finds room.
func (m *Machine) preempt(t *task, candidates []*candidate, now time.Duration) {
	if t.waitingSince == 0 {
		t.waitingSince = now
	}
	if now < t.waitingSince+preemptAfter {
		return
	}
	var victims []*task
	for _, c := range candidates {
		found, enough := c.victims(t)
		if enough && (victims == nil || len(found) < len(victims)) {
			victims = found
		}
	}
	for _, victim := range victims {
		m.stopTask(victim, stopPreempt)
	}
	if victims != nil {
		t.waitingSince = now
	}
}

// victims returns the runs to stop on the candidate for the task, those that save their work and have done the least first.
func (c *candidate) victims(t *task) (victims []*task, enough bool) {
	within := t.step.PerWorker == 0 || c.siblings(t) < t.step.PerWorker
	if !within || !c.w.entry.HasLabel(t.step.Label) {
		return nil, false
	}
	var others []*task
	for run := range c.w.runs {
		if !run.step.Lasting && run.stage == running && run.stop == "" {
			others = append(others, run)
		}
	}
	slices.SortFunc(others, func(a, b *task) int {
		return cmp.Or(ordering.Bools(b.step.Checkpoints, a.step.Checkpoints), cmp.Compare(a.percent, b.percent))
	})
	free := c.free
	for _, run := range others {
		if free.Holds(t.step.Takes()) {
			break
		}
		free = free.Plus(run.step.Takes())
		victims = append(victims, run)
	}
	return victims, free.Holds(t.step.Takes())
}
