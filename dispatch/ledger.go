package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// The ledger counts, for each account, the resources that its runs reserve on all workers together. A run counts from the decision to place it
// until its end is certain: task.assign and task.release keep the count, and leftovers cover runs that may exist without being the current run
// of a task. docs/design/maximum.md lists for each way in which a run is released why it is over.

// accountUsage is the entry of an account in the ledger.
type accountUsage struct {
	account  acaciatally.AccountName
	used     acaciatally.ResourceVector // by its runs, with the processors of backfill runs
	maximum  acaciatally.ResourceVector // in the current configuration; 0 is no limit on the resource
	unknown  bool                       // there is no configuration yet, so that nothing may be placed
	loggedAt time.Duration              // when AccountAtMaximum was last logged; 0 before
}

// add adds the resources of count runs; a negative count removes them. Runs of jobs without an account are not counted.
func (u *accountUsage) add(resources acaciatally.ResourceVector, count int) {
	if u != nil {
		u.used = u.used.Plus(times(resources, count))
	}
}

// limited reports whether the account has a maximum.
func (u *accountUsage) limited() bool { return u != nil && (u.unknown || !u.maximum.IsZero()) }

// times returns the resources of count tasks.
func times(resources acaciatally.ResourceVector, count int) acaciatally.ResourceVector {
	return acaciatally.ResourceVector{
		Processors: count * resources.Processors, Memory: count * resources.Memory, Accelerators: count * resources.Accelerators,
	}
}

// usageOf returns the ledger's entry of an account, or nil for the empty name.
func (s *Scheduler) usageOf(name acaciatally.AccountName) *accountUsage {
	if name == "" {
		return nil
	}
	if s.usages[name] == nil {
		s.usages[name] = &accountUsage{account: name}
		s.usages[name].configure(s.configuration)
	}
	return s.usages[name]
}

// configure sets the maximum from a configuration. An account that the configuration does not name has none.
func (u *accountUsage) configure(configuration *acaciatally.Configuration) {
	u.unknown = configuration == nil
	u.maximum = acaciatally.ResourceVector{}
	if configuration != nil {
		u.maximum = configuration.Accounts[u.account].Maximum
	}
}

// accountUsage returns the resources that the runs of an account reserve on all workers together.
func (s *Scheduler) accountUsage(name acaciatally.AccountName) acaciatally.ResourceVector {
	if u := s.usages[name]; u != nil {
		return u.used
	}
	return acaciatally.ResourceVector{}
}

// leftover is a run that may exist on a worker without being the current run of a task.
type leftover struct {
	usage     *accountUsage
	resources acaciatally.ResourceVector
	since     time.Duration // when it was released or first reported
}

// mayExist reports whether a start order of the task's run may have been sent, by this leader or an earlier one.
func (t *task) mayExist() bool {
	return t.assigned() && t.stage != stagePlanned && (t.stage != stageRecorded || t.startAttempts > 0)
}

// addLeftover counts a run on the worker until a report or the end of the worker's lease shows that it is over.
func (w *worker) addLeftover(run runKey, left leftover) {
	if left.usage == nil {
		return
	}
	if _, counted := w.leftovers[run]; counted {
		return
	}
	if w.leftovers == nil {
		w.leftovers = map[runKey]leftover{}
	}
	w.leftovers[run] = left
	left.usage.add(left.resources, 1)
}

// removeLeftover handles that a run on the worker is certainly over.
func (w *worker) removeLeftover(run runKey) {
	left, counted := w.leftovers[run]
	if !counted {
		return
	}
	left.usage.add(left.resources, -1)
	delete(w.leftovers, run)
}

// removeLeftovers handles that all runs on the worker are certainly over.
func (w *worker) removeLeftovers() {
	for run := range w.leftovers {
		w.removeLeftover(run)
	}
}

// keepLeftover counts the run of a task that is about to be released although it may still exist on its worker.
func (t *task) keepLeftover(now time.Duration) {
	if t.worker != nil && t.mayExist() {
		t.worker.addLeftover(t.runKey(), leftover{usage: t.job.usage, resources: t.step.Resources, since: now})
	}
}

// updateLeftovers updates the leftovers from a report that answers a renewal sent at the given time. Orphaned runs count for the account of
// their job. Those of unknown jobs are not counted, since neither their account nor their size is known.
func (s *Scheduler) updateLeftovers(w *worker, sent, now time.Duration) {
	for run, left := range w.leftovers {
		if !w.orphans[run] && left.since < sent {
			w.removeLeftover(run)
		}
	}
	for run := range w.orphans {
		j := s.jobs[run.task.Job]
		if j == nil || j.usage == nil || run.task.Step < 0 || run.task.Step >= len(j.accepted.Spec.Steps) {
			continue
		}
		w.addLeftover(run, leftover{usage: j.usage, resources: j.accepted.Spec.Steps[run.task.Step].Resources, since: now})
	}
}

func (w *worker) addLeftovers(left map[runKey]leftover) {
	for run, l := range left {
		w.addLeftover(run, l)
	}
}

// expireLeftovers removes the leftovers of a worker that does not answer and whose lease is certainly over.
func (s *Scheduler) expireLeftovers(w *worker, now time.Duration) {
	silent := w.lost || w.renewalFailures > 0 || w.reportedAt == 0
	if len(w.leftovers) > 0 && silent && s.leaseExpired(w, now) {
		w.removeLeftovers()
	}
}

// accountRuns returns the runs on the worker that count for accounts and may exist.
func (w *worker) accountRuns(now time.Duration) (runs map[runKey]leftover) {
	runs = map[runKey]leftover{}
	for t := range w.runs {
		if t.job.usage != nil && t.mayExist() {
			runs[t.runKey()] = leftover{usage: t.job.usage, resources: t.step.Resources, since: now}
		}
	}
	for run, left := range w.leftovers {
		runs[run] = left
	}
	return runs
}

// AccountUsage is what the runs of an account reserve on all workers together, its maximum, and its share.
type AccountUsage struct {
	Used, Maximum acaciatally.ResourceVector
	Share         AccountShare
}

// accountUsageInterval is the interval at which the metrics of the accounts are set.
const accountUsageInterval = time.Second

// reportUsage sets the metrics of the accounts.
func (s *Scheduler) reportUsage(now time.Duration) {
	if len(s.usages) == 0 || now < s.nextUsageAt {
		return
	}
	s.nextUsageAt = now + accountUsageInterval
	report := map[acaciatally.AccountName]AccountUsage{}
	for name, u := range s.usages {
		report[name] = AccountUsage{Used: s.accountUsage(name), Maximum: u.maximum, Share: s.shareOf(s.shares.accounts[name])}
	}
	s.config.EventLog.AccountUsage(report)
}
