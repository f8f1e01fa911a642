package dispatch

import (
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
