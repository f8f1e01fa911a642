package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// checkInterval is the time between checks for stalled runs and workers to drain, and between placements without a change.
const checkInterval = 100 * time.Millisecond

// Plan opens due occurrences, releases the runs of workers whose lease has expired, stops stalled runs and runs on workers to drain, and
// places waiting tasks. timeOfDay is the wall-clock time, by which occurrences are scheduled.
func (s *Scheduler) Plan(now time.Duration, timeOfDay time.Time) {
	s.countArrivals(now)
	s.interference.advance(now)
	for _, j := range s.jobs {
		if j.live() {
			s.openDueOccurrences(j, now, timeOfDay)
		}
	}
	s.expireLeases(now)
	if s.maximumsDue {
		s.maximumsDue = false
		s.enforceMaximums(now)
	}
	if now >= s.nextCheckAt {
		s.nextCheckAt = now + checkInterval
		s.stopStalledRuns(now)
		s.endProbations(now)
		s.stopBrokenGangs()
		s.drainWorkers(now)
		s.assessSpeeds(now)
		s.reportUsage(now)
		s.sweepInterference(now)
	}
	pools := s.takeChangedPools()
	if now >= s.nextPlacementAt {
		s.nextPlacementAt = now + checkInterval
		pools = nil
	} else if len(pools) == 0 {
		return
	}
	s.place(pools, now)
	s.logPressure(now)
}

// takeChangedPools returns the pools in which a task has started or stopped waiting since the last call, and resets the marks.
func (s *Scheduler) takeChangedPools() (pools map[acaciatally.PoolName]bool) {
	pools = map[acaciatally.PoolName]bool{}
	for _, j := range s.jobs {
		if j.placementDue {
			pools[j.accepted.Queue.Pool] = true
			j.placementDue, j.estimate.computedAt = false, 0
		}
	}
	return pools
}

// waiting returns the jobs with tasks to place by pool, in placement order. If only is not nil, it is limited to those pools.
func (s *Scheduler) waiting(only map[acaciatally.PoolName]bool, now time.Duration) map[acaciatally.PoolName][]*activeJob {
	pools := map[acaciatally.PoolName][]*activeJob{}
	for _, j := range s.jobs {
		if (only == nil || only[j.accepted.Queue.Pool]) && j.live() && j.hasWaiting() {
			j.lateness = s.latenessOf(j, now)
			pools[j.accepted.Queue.Pool] = append(pools[j.accepted.Queue.Pool], j)
		}
	}
	for _, jobs := range pools {
		slices.SortFunc(jobs, compareJobs)
	}
	return pools
}

// hasWaiting reports whether a task is ready to start and has no run.
func (j *activeJob) hasWaiting() bool { return j.waitingStep() != nil }

// waitingStep returns the first step of which a task is ready to start and has no run, or nil.
func (j *activeJob) waitingStep() *acaciatally.Step {
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			if slices.ContainsFunc(tasks, isWaiting) && o.ready(&j.accepted.Spec, number) {
				return &j.accepted.Spec.Steps[number]
			}
		}
	}
	return nil
}

func isWaiting(t *task) bool { return t.phase == job.Waiting }

func all(tasks []*task, holds func(t *task) bool) bool {
	for _, t := range tasks {
		if !holds(t) {
			return false
		}
	}
	return true
}

// place assigns waiting tasks to workers, in each pool in the order of work. If only is not nil, it is limited to those pools. While start
// orders are held back, only jobs with long-running tasks are placed: other runs would wait on their workers and keep more urgent jobs from
// them.
func (s *Scheduler) place(only map[acaciatally.PoolName]bool, now time.Duration) {
	s.divideShares(now)
	for pool, jobs := range s.waiting(only, now) {
		s.placePool(pool, jobs, only == nil, now)
	}
}

// placeJob places the ready tasks of a job. If one task of a step can't be placed, the other tasks of the step are skipped. Long-running
// tasks are tried even if no candidate has enough free capacity, since they may preempt other runs. Other tasks are placed
// only while the limit allows it; placeJob returns false if it stopped for that reason.
func (s *Scheduler) placeJob(j *activeJob, set *candidateSet, limit shareLimit, now time.Duration) (within bool) {
	if s.heldStarts > 0 && !j.hasLongRunning {
		return true
	}
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			step := &j.accepted.Spec.Steps[number]
			if (set.cannotPlace(step) && !step.LongRunning) || !o.ready(&j.accepted.Spec, number) {
				continue
			}
			if step.Gang {
				if all(tasks, isWaiting) {
					if !s.allows(limit, j.account, step, len(tasks)) {
						return false
					}
					s.placeGang(tasks, set, now)
				}
				continue
			}
			for _, t := range tasks {
				if !isWaiting(t) {
					continue
				}
				if !s.allows(limit, j.account, step, 1) {
					return false
				}
				if !s.placeTask(t, set, now) {
					break
				}
			}
		}
	}
	return true
}

// placeTask places a task and returns whether it was placed. A task beyond the maximum of its account waits without any effect on others.
func (s *Scheduler) placeTask(t *task, set *candidateSet, now time.Duration) bool {
	if !s.mayReserve(t.job, t.step, 1, now) {
		t.unplacedSince = 0 // it does not wait for free capacity, so nothing is preempted for it
		return false
	}
	c := s.candidateFor(t, set, now)
	if c == nil {
		return t.step.LongRunning && s.placeUrgently(t, set.candidates, now)
	}
	s.assign(t, c, t.attempt+1)
	return true
}

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
