package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// candidateSet is the set of candidates in a pool.
type candidateSet struct {
	candidates     []*candidate
	maxFree        acaciatally.ResourceVector   // per resource, the largest free amount of any candidate before placement
	unplaceable    []acaciatally.ResourceVector // sizes that fit no candidate; free capacity only shrinks during placement
	onLentCapacity bool                         // from now on all work runs on lent capacity, and the candidates that are held are blocked
}

// candidateSet returns the set of candidates in a pool.
func (s *Scheduler) candidateSet(pool acaciatally.PoolName, now time.Duration) *candidateSet {
	set := &candidateSet{candidates: s.candidates(pool, now)}
	set.computeMaxFree()
	return set
}

// cannotPlace reports whether it is known that no candidate has enough free capacity for a task of the step.
func (s *candidateSet) cannotPlace(step *acaciatally.Step) bool {
	reserved := step.Reserved()
	return !s.maxFree.Fits(reserved) || slices.ContainsFunc(s.unplaceable, reserved.Fits)
}

// markUnplaceable records the size of a task that could not be placed, unless its step's label or limit per worker may have been the
// reason.
func (s *candidateSet) markUnplaceable(step *acaciatally.Step) {
	if step.Label != "" || step.PerWorker > 0 {
		return
	}
	reserved := step.Reserved()
	s.unplaceable = slices.DeleteFunc(s.unplaceable, func(known acaciatally.ResourceVector) bool { return known.Fits(reserved) })
	s.unplaceable = append(s.unplaceable, reserved)
}

func (s *candidateSet) computeMaxFree() {
	s.maxFree = acaciatally.ResourceVector{}
	for _, c := range s.candidates {
		s.maxFree.Processors = max(s.maxFree.Processors, c.free.Processors)
		s.maxFree.Memory = max(s.maxFree.Memory, c.free.Memory)
		s.maxFree.Accelerators = max(s.maxFree.Accelerators, c.free.Accelerators)
	}
}

// candidate is a worker that may get new runs, with its load and free capacity.
type candidate struct {
	w            *worker
	load         load
	free         acaciatally.ResourceVector
	trial        *gangTrial // nil unless a gang is being placed
	trialMembers int        // members of that gang that the trial has placed on the worker
	blocked      bool       // held for other work than the one that is being placed
	deferred     bool       // the worker is slow or unreliable
}

// candidates returns the workers of a pool that may get new runs, sorted by ID.
func (s *Scheduler) candidates(pool acaciatally.PoolName, now time.Duration) (list []*candidate) {
	for _, w := range s.workers {
		if w.entry.Pool != pool || !s.schedulable(w, now) {
			continue
		}
		list = append(list, newCandidate(w))
	}
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.w.entry.ID, b.w.entry.ID) })
	return list
}

func newCandidate(w *worker) *candidate {
	return &candidate{w: w, load: w.load, free: w.entry.Capacity.Minus(w.load.used), deferred: w.speed.Deferred()}
}

// reserve subtracts a task from the candidate's free capacity.
func (c *candidate) reserve(t *task) {
	c.load.add(t.step, 1)
	c.free = c.w.entry.Capacity.Minus(c.load.used)
}

// siblingCount returns how many tasks of the task's step are assigned to the worker, those of a trial included.
func (c *candidate) siblingCount(t *task) (count int) {
	count = c.trialMembers
	for run := range c.w.runs {
		if run.stepKey() == t.stepKey() {
			count++
		}
	}
	return count
}

// schedulable reports whether the worker may get new runs of any task.
func (s *Scheduler) schedulable(w *worker, now time.Duration) bool {
	return s.usable(w, now) && s.toDrain[w.entry.ID] == ""
}

// usable reports whether the worker's state allows new runs. Its lease may not be extended while it may be stored as silent.
func (s *Scheduler) usable(w *worker, now time.Duration) bool {
	return !s.silence.mayBeStored[w.entry.ID] && w.listed && w.reported && !w.lost && !w.entry.Draining && w.renewalFailures == 0 && now-w.reportedAt < maxReportAge &&
		len(w.orphans) == 0 && !w.entryOutdated()
}

// fits reports whether the candidate has room for the task and the health to run one more.
func (c *candidate) fits(t *task, now time.Duration) bool {
	return c.hasRoom(t) && c.w.health.admits(c.load.runs-c.load.numLongRunning, now)
}

// hasRoom reports whether the candidate may take one more task of the step and has the free capacity for it.
func (c *candidate) hasRoom(t *task) bool {
	return c.free.Fits(t.step.Reserved()) && c.mayTake(t)
}

// mayTake reports whether the candidate may take one more task of the step, whatever its free capacity: it has the label, keeps suspects apart and is
// within the limit per worker.
func (c *candidate) mayTake(t *task) bool {
	withinLimit := t.step.PerWorker == 0 || c.siblingCount(t) < t.step.PerWorker
	return withinLimit && c.w.entry.HasLabel(t.step.Label) && c.keepsSuspectsApart(t)
}
