package dispatch

import (
	"cmp"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/ordering"
)

const (
	// startMargin is a factor on the time that a job needs, if none of its tasks has begun: run times vary, and one that is begun at
	// the last moment is as late as one that is not.
	startMargin = 1.25
	// resumeMargin is the factor for a job that has begun, whose work would be in vain.
	resumeMargin = 0.8
	// overdueFactor times the time allowed, a result is assumed to be of no more use to the caller.
	overdueFactor = 3
	// outlookEvery bounds the age of an outlook; expected run times change slowly.
	outlookEvery = 500 * time.Millisecond
)

// lateness orders jobs by whether they can still be done in time.
type lateness int

const (
	inTime lateness = iota
	late
	overdue
)

// outlook is what is left of a job and when it has to be done.
type outlook struct {
	at      time.Duration // when it was worked out
	begun   bool
	left    time.Duration // of the longest chain of steps that are not done
	allowed time.Duration // from its arrival on
}

// latenessOf tells whether the job can be done in time if its tasks start now.
func (m *Machine) latenessOf(j *activeJob, now time.Duration) lateness {
	if j.outlook.at == 0 || now > j.outlook.at+outlookEvery {
		j.outlook = m.outlookOf(j, now)
	}
	margin := startMargin
	if j.outlook.begun {
		margin = resumeMargin
	}
	needed := time.Duration(margin * float64(j.outlook.left))
	since := j.dueSince()
	switch {
	case now+needed <= since+j.outlook.allowed:
		return inTime
	case now+needed <= since+overdueFactor*j.outlook.allowed:
		return late
	}
	return overdue
}

// dueSince returns when the oldest open occurrence began to wait.
func (j *activeJob) dueSince() time.Duration {
	if len(j.open) > 0 && j.accepted.Spec.Repeat > 0 {
		return j.open[0].opened
	}
	return j.arrived
}

// outlookOf works out the longest chain of steps, by the run times of those that are done and the expected ones of the others.
func (m *Machine) outlookOf(j *activeJob, now time.Duration) (o outlook) {
	o.at = max(now, 1)
	expected := m.expectedStep(j)
	chain := time.Duration(0)
	for _, occurrence := range j.open {
		whole, left, begun := occurrence.chain(j.accepted.Spec.Steps, expected)
		chain, o.left, o.begun = max(chain, whole), max(o.left, left), o.begun || begun
	}
	queue := &j.accepted.Queue
	o.allowed = queue.Objective + time.Duration(max(1, queue.Stretch)*float64(chain))
	return o
}

// chain returns the time of the longest chain of steps, of the longest one that is not done, and whether a task has begun.
func (o *occurrence) chain(steps []acaciatally.Step, expected time.Duration) (whole, left time.Duration, begun bool) {
	wholes, lefts := make([]time.Duration, len(steps)), make([]time.Duration, len(steps))
	for number, tasks := range o.steps {
		longest, done := longestRun(tasks)
		begun = begun || done || hasBegun(tasks)
		if longest == 0 {
			longest = expected
		}
		wholes[number], lefts[number] = longest, longest
		if done {
			lefts[number] = 0
		}
		before, beforeLeft := time.Duration(0), time.Duration(0)
		for _, earlier := range steps[number].After {
			before, beforeLeft = max(before, wholes[earlier]), max(beforeLeft, lefts[earlier])
		}
		wholes[number] += before
		lefts[number] += beforeLeft
		whole, left = max(whole, wholes[number]), max(left, lefts[number])
	}
	return whole, left, begun
}

// longestRun returns the longest run time of the tasks, if all are done and it is known.
func longestRun(tasks []*task) (longest time.Duration, done bool) {
	for _, t := range tasks {
		if t.phase != job.Done {
			return 0, false
		}
		longest = max(longest, t.took)
	}
	return longest, true
}

func hasBegun(tasks []*task) bool {
	for _, t := range tasks {
		if t.phase != job.Waiting {
			return true
		}
	}
	return false
}

// expectedStep returns the mean time of the queue's steps, or before any was seen what the caller estimates.
func (m *Machine) expectedStep(j *activeJob) time.Duration {
	if known := m.runTimes[j.accepted.Queue.Name]; known != nil && known.step > 0 {
		return known.step
	}
	longest := time.Duration(0)
	for _, step := range j.accepted.Spec.Steps {
		longest = max(longest, step.Estimate)
	}
	return longest
}

// compareJobs puts lasting work first, then by priority, what can still be done in time, what has begun, and age. It returns early, since
// it sorts thousands of jobs under overload.
func compareJobs(a, b *activeJob) int {
	if a.lasting != b.lasting {
		return ordering.Bools(b.lasting, a.lasting)
	}
	if a.accepted.Queue.Priority != b.accepted.Queue.Priority {
		return cmp.Compare(a.accepted.Queue.Priority, b.accepted.Queue.Priority)
	}
	if a.lateness != b.lateness {
		return cmp.Compare(a.lateness, b.lateness)
	}
	if a.outlook.begun != b.outlook.begun {
		return ordering.Bools(b.outlook.begun, a.outlook.begun)
	}
	if a.arrived != b.arrived {
		return cmp.Compare(a.arrived, b.arrived)
	}
	return cmp.Compare(a.id, b.id)
}
