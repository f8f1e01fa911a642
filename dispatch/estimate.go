package dispatch

import (
	"cmp"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/ordering"
)

const (
	// startMargin multiplies the remaining time of a job that has no started task. Run times vary, so a job that starts at the last
	// possible moment is likely to be late anyway.
	startMargin = 1.25
	// resumeMargin multiplies the remaining time of a job that has started. It is below 1, so that such a job counts as in time for
	// longer: late jobs are placed after the others, which would waste the work already done.
	resumeMargin = 0.8
	// overdueFactor is the multiple of the allowed time after which the result is assumed to be useless to the caller.
	overdueFactor = 3
	// maxEstimateAge is the age after which an estimate is computed again; expected run times change slowly.
	maxEstimateAge = 500 * time.Millisecond
)

// lateness classifies jobs by whether they can still be completed within the allowed time.
type lateness int

const (
	inTime lateness = iota
	late
	overdue
)

// estimate is the expected remaining time of a job and the time it is allowed.
type estimate struct {
	computedAt time.Duration // 0 if there is no valid estimate
	started    bool
	remaining  time.Duration // time of the longest chain of steps that are not done
	allowed    time.Duration // time allowed from the arrival of the job
}

// latenessOf returns whether the job can be completed in time if its tasks start now.
func (s *Scheduler) latenessOf(j *activeJob, now time.Duration) lateness {
	if j.estimate.computedAt == 0 || now > j.estimate.computedAt+maxEstimateAge {
		j.estimate = s.estimateOf(j, now)
	}
	margin := startMargin
	if j.estimate.started {
		margin = resumeMargin
	}
	needed := time.Duration(margin * float64(j.estimate.remaining))
	since := j.waitingSince()
	switch {
	case now+needed <= since+j.estimate.allowed:
		return inTime
	case now+needed <= since+overdueFactor*j.estimate.allowed:
		return late
	}
	return overdue
}

// waitingSince returns when the oldest open occurrence of a repeated job was opened, or when the job arrived.
func (j *activeJob) waitingSince() time.Duration {
	if len(j.openOccurrences) > 0 && j.accepted.Spec.Repeat > 0 {
		return j.openOccurrences[0].openedAt
	}
	return j.arrivedAt
}

// estimateOf computes the critical path of the job from the measured run times of completed steps and the expected times of the others.
func (s *Scheduler) estimateOf(j *activeJob, now time.Duration) (e estimate) {
	e.computedAt = max(now, 1)
	expected := s.expectedStepTimes(j)
	longest := time.Duration(0)
	for _, occurrence := range j.openOccurrences {
		total, remaining, started := occurrence.criticalPath(j.accepted.Spec.Steps, expected)
		longest, e.remaining, e.started = max(longest, total), max(e.remaining, remaining), e.started || started
	}
	queue := &j.accepted.Queue
	e.allowed = queue.Objective + time.Duration(max(1, queue.Stretch)*float64(longest))
	return e
}

// criticalPath returns the total time of the longest chain of steps, the remaining time of the longest chain of unfinished steps, and
// whether a task has started.
func (o *occurrence) criticalPath(steps []acaciatally.Step, expected []time.Duration) (total, remaining time.Duration, started bool) {
	totals, remainders := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for number, tasks := range o.steps {
		longest, done := longestRunTime(tasks)
		started = started || done || anyStarted(tasks)
		if longest == 0 {
			longest = expected[number]
		}
		totals[number], remainders[number] = longest, longest
		if done {
			remainders[number] = 0
		}
		before, beforeRemaining := time.Duration(0), time.Duration(0)
		for _, earlier := range steps[number].After {
			before, beforeRemaining = max(before, totals[earlier]), max(beforeRemaining, remainders[earlier])
		}
		totals[number] += before
		remainders[number] += beforeRemaining
		total, remaining = max(total, totals[number]), max(remaining, remainders[number])
	}
	return total, remaining, started
}

// longestRunTime returns the longest known run time of the tasks, 0 if none is known, and whether all tasks are done.
func longestRunTime(tasks []*task) (longest time.Duration, done bool) {
	for _, t := range tasks {
		if t.phase != job.Done {
			return 0, false
		}
		longest = max(longest, t.runTime)
	}
	return longest, true
}

func anyStarted(tasks []*task) bool {
	for _, t := range tasks {
		if t.phase != job.Waiting {
			return true
		}
	}
	return false
}

// expectedStepTimes returns the expected time of each step of the job.
func (s *Scheduler) expectedStepTimes(j *activeJob) []time.Duration {
	means := s.runTimes[j.accepted.Queue.Name]
	if means == nil {
		means = &runTimeMeans{}
	}
	expected := make([]time.Duration, len(j.accepted.Spec.Steps))
	for number, step := range j.accepted.Spec.Steps {
		if s.speeds.disabled {
			expected[number] = means.step.expect(step.Estimate)
			continue
		}
		expected[number] = means.stepKinds.expect(number, step.Estimate, &means.step)
	}
	return expected
}

// latestStart returns when the remaining steps of the job have to start for the job to be in time.
func (j *activeJob) latestStart() time.Duration {
	return j.waitingSince() + j.estimate.allowed - j.estimate.remaining
}

// compareJobs sorts jobs with long-running tasks first, then by priority, lateness, whether they have started, and the time by which they
// have to start: while a pool is full for a few seconds, a job with little time to spare goes before an older one that can wait. It returns
// early because thousands of jobs are sorted under overload.
func compareJobs(a, b *activeJob) int {
	if a.hasLongRunning != b.hasLongRunning {
		return ordering.CompareBools(b.hasLongRunning, a.hasLongRunning)
	}
	if a.accepted.Queue.Priority != b.accepted.Queue.Priority {
		return cmp.Compare(a.accepted.Queue.Priority, b.accepted.Queue.Priority)
	}
	if a.lateness != b.lateness {
		return cmp.Compare(a.lateness, b.lateness)
	}
	if a.estimate.started != b.estimate.started {
		return ordering.CompareBools(b.estimate.started, a.estimate.started)
	}
	if latestA, latestB := a.latestStart(), b.latestStart(); latestA != latestB {
		return cmp.Compare(latestA, latestB)
	}
	return cmp.Compare(a.id, b.id)
}
