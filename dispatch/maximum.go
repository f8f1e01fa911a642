package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// maximumLogInterval is the minimum time between two log lines that tell that an account is at its maximum.
const maximumLogInterval = 5 * time.Second

// within reports whether an account that uses the given resources is within its maximum in each resource that more takes.
func within(maximum, used, more acaciatally.ResourceVector) bool {
	fits := func(maximum, used, more int) bool { return maximum == 0 || more == 0 || used <= maximum }
	return fits(maximum.Processors, used.Processors, more.Processors) && fits(maximum.Memory, used.Memory, more.Memory) &&
		fits(maximum.Accelerators, used.Accelerators, more.Accelerators)
}

// hasHeadroom reports whether the account may reserve more resources. Without a configuration no maximum is known, and it may not.
func (u *accountUsage) hasHeadroom(more acaciatally.ResourceVector) bool {
	return u == nil || !u.unknown && within(u.maximum, u.used.Plus(more), more)
}

// exceedsMaximum reports whether the account uses more than its maximum of a resource that the task takes; the task's run is counted.
func (t *task) exceedsMaximum() bool {
	u := t.job.usage
	return u != nil && !within(u.maximum, u.used, t.step.Resources)
}

// listed reports whether the last report of the worker lists the run.
func (t *task) listed() bool {
	return t.percentReportedAt > 0 && t.percentReportedAt == t.worker.reportedAt
}

// mayReserve reports whether a step's tasks, as many as count, are within the maximum of their account. If they are not, it logs so.
func (s *Scheduler) mayReserve(j *activeJob, step *acaciatally.Step, count int, now time.Duration) bool {
	u := j.usage
	if u == nil || u.hasHeadroom(times(step.Resources, count)) {
		return true
	}
	if u.loggedAt == 0 || now >= u.loggedAt+maximumLogInterval {
		u.loggedAt = max(now, 1)
		s.config.EventLog.AccountAtMaximum(u.account, u.used, u.maximum)
	}
	return false
}

// enforceMaximums applies the maximums of a new configuration. Where one has fallen below what the account uses, it releases the runs whose
// first start order was not sent, the least urgent first, until the account is within its maximum. Runs that were started go on.
func (s *Scheduler) enforceMaximums(now time.Duration) {
	var exceeding []*activeJob
	for _, j := range s.jobs {
		if j.usage.limited() && !within(j.usage.maximum, j.usage.used, j.usage.used) {
			j.lateness = s.latenessOf(j, now)
			exceeding = append(exceeding, j)
		}
	}
	slices.SortFunc(exceeding, func(a, b *activeJob) int { return compareJobs(b, a) })
	for _, j := range exceeding {
		j.eachTask(func(t *task) {
			if t.assigned() && !t.mayExist() && t.exceedsMaximum() && (!t.step.Gang || !anyMayExist(t.members())) {
				s.releaseUnstarted(t)
			}
		})
	}
}

func anyMayExist(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool { return t.mayExist() })
}

// releaseUnstarted releases a run whose first start order was not sent because its account exceeds its maximum, and that of a gang's member
// with its gang.
func (s *Scheduler) releaseUnstarted(t *task) {
	released := []*task{t}
	if t.step.Gang {
		released = t.members()
	}
	for _, member := range released {
		if member.assigned() {
			s.config.EventLog.RunDropped(member.ref, member.attempt, member.workerID(), "account exceeds its maximum")
			member.release()
		}
	}
}

// admitted is the waiting work that counts as demand: what fits within the headroom of the accounts, the most urgent jobs first.
type admitted struct {
	left map[*accountUsage]acaciatally.ResourceVector
}

// demandOf returns how many of the waiting tasks of a step count as demand, and takes them from the headroom of the job's account, which has a
// maximum.
func (a *admitted) demandOf(j *activeJob, step *acaciatally.Step, waiting int) (count int) {
	u := j.usage
	if u.unknown {
		return 0
	}
	if a.left == nil {
		a.left = map[*accountUsage]acaciatally.ResourceVector{}
	}
	used, known := a.left[u]
	if !known {
		used = u.used
	}
	unit := 1 // tasks that are placed together
	if step.Gang {
		unit = max(1, waiting)
	}
	more := times(step.Resources, unit)
	for count+unit <= waiting && within(u.maximum, used.Plus(more), more) {
		used = used.Plus(more)
		count += unit
	}
	a.left[u] = used
	return count
}

// limitedJobs returns the jobs of accounts with a maximum in the order of placement, in which they share the headroom of their accounts, and sets
// their lateness.
func (s *Scheduler) limitedJobs(now time.Duration) (jobs []*activeJob) {
	if len(s.usages) == 0 {
		return nil
	}
	for _, j := range s.jobs {
		if j.usage.limited() {
			j.lateness = s.latenessOf(j, now)
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}

// holdsRuns reports whether a job of an account still has runs. While it does, its records are kept after its end, so that the next leader
// counts the runs too.
func (j *activeJob) holdsRuns() (holds bool) {
	if j.usage != nil {
		j.eachTask(func(t *task) { holds = holds || t.assigned() })
	}
	return holds
}

// keepsRecords reports whether the records of an ended job are kept for its runs, so that its progress may not be deleted yet.
func (s *Scheduler) keepsRecords(queue acaciatally.QueueName, id acaciatally.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.usage != nil && !j.recordsDeleted && j.accepted.Queue.Name == queue
}

// LoadEndedJob adds a job that has ended with runs that an earlier leader did not see end, and stops these. Only jobs of accounts keep their
// records for that long.
func (s *Scheduler) LoadEndedJob(id acaciatally.JobID, accepted job.Accepted, progress job.Progress, now time.Duration) {
	if s.jobs[id] != nil || accepted.Account == "" {
		return
	}
	j := &activeJob{
		id: id, accepted: accepted, usage: s.usageOf(accepted.Account), state: progress.State, digest: progress.Digest,
		nextOccurrence: progress.Next, arrivedAt: now, dirty: true, hasCancelRecord: true, endRecordedAt: max(now, 1),
	}
	for _, open := range progress.Open {
		j.openOccurrences = append(j.openOccurrences, s.loadOccurrence(j, open, now))
	}
	s.jobs[id] = j
	s.countBacklog(j)
	s.partition(accepted.Queue.Name)
	s.config.EventLog.JobLoaded(id, accepted.Queue.Name, progress.State)
	j.eachTask(func(t *task) {
		if t.assigned() {
			s.stopTask(t, stopJobEnded)
		}
	})
}
