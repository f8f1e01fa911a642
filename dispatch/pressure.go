package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/sharing"
)

const (
	// pressureInterval is the time over which the rate is measured at which an account's work gets capacity. The refused part has to follow the
	// load within a second or two.
	pressureInterval = 500 * time.Millisecond
	// pressureWeight is the weight of the last interval in the moving mean of that rate.
	pressureWeight = 0.4
	// maxPressureWait bounds the estimate where next to nothing gets capacity.
	maxPressureWait = 10 * time.Minute
)

// AccountPressure is an account whose work waits because it is beyond its rate or its share.
type AccountPressure struct {
	Account acaciatally.AccountName
	// Wait is the estimated time until a job submitted now by the account gets capacity.
	Wait time.Duration
}

// AccountShare is the state of an account's share.
type AccountShare struct {
	Used     float64 // dominant share of the fleet that its runs reserve
	Entitled float64 // lowest dominant share to which it is entitled in a pool, at most 1, which is the whole fleet
}

// limitedLogInterval is the minimum time between two log lines that tell that an account is held to its share.
const limitedLogInterval = 2 * time.Second

// shareOf returns the state of an account's share; nil is the zero value.
func (s *Scheduler) shareOf(a *accountShare) AccountShare {
	if a == nil || !s.shares.active {
		return AccountShare{}
	}
	return AccountShare{Used: sharing.DominantShare(a.used, s.shares.fleet), Entitled: s.leastEntitled(a)}
}

// logPressure logs the accounts that are held to their rate or share, at most once per limitedLogInterval.
func (s *Scheduler) logPressure(now time.Duration) {
	if !s.shares.active || now < s.shares.nextLogAt {
		return
	}
	s.shares.nextLogAt = now + limitedLogInterval
	for _, pressure := range s.accountPressure(now) {
		s.config.EventLog.AccountLimited(pressure.Account, s.shareOf(s.shares.accounts[pressure.Account]), pressure.Wait)
	}
}

// placedRate measures how much work of an account gets capacity, in seconds times the dominant share of the fleet.
type placedRate struct {
	perSecond  float64
	placed     float64 // since measuredAt
	measuredAt time.Duration
	measured   bool // perSecond has a value
}

// observe updates the rate.
func (r *placedRate) observe(now time.Duration) {
	if r.measuredAt == 0 {
		r.measuredAt = max(now, 1)
	}
	elapsed := now - r.measuredAt
	if elapsed < pressureInterval {
		return
	}
	rate := r.placed / elapsed.Seconds()
	if !r.measured {
		r.perSecond = rate
	}
	r.perSecond += pressureWeight * (rate - r.perSecond)
	r.placed, r.measuredAt, r.measured = 0, now, true
}

// waitingWork is the work of an account that waits ahead of a job submitted now.
type waitingWork struct {
	amount float64 // in seconds times the dominant share of the fleet
	held   bool    // some of it waits because it is beyond the rate or the share of the account
}

// accountPressure returns the accounts with work that waits because it is beyond their rate or share, by name, and how long a job submitted
// now would wait: the account's work ahead of it, divided by the rate at which the account's work has lately got capacity. Late work is placed
// after that job, so it is left out. The list is empty without such work.
func (s *Scheduler) accountPressure(now time.Duration) (list []AccountPressure) {
	if !s.shares.active {
		return nil
	}
	waiting := make([]waitingWork, len(s.shares.list))
	for _, j := range s.jobs {
		if j.account != nil && j.live() && !j.hasLongRunning {
			s.addWaitingWork(&waiting[j.account.index], j, now)
		}
	}
	for i, a := range s.shares.list {
		if !waiting[i].held {
			a.heldSince = 0
			continue
		}
		if a.heldSince == 0 {
			a.heldSince = max(now, 1)
		}
		wait := maxPressureWait
		if rate := s.capacityRate(a, now); rate > 0 {
			wait = min(wait, time.Duration(waiting[i].amount/rate*float64(time.Second)))
		}
		list = append(list, AccountPressure{Account: a.name, Wait: wait})
	}
	slices.SortFunc(list, func(a, b AccountPressure) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// capacityRate returns the rate at which an account's work gets capacity. Until work has waited for some time, the measured rate may be low only because
// the account sent little, so it is at least the one to which the account is entitled.
func (s *Scheduler) capacityRate(a *accountShare, now time.Duration) float64 {
	if now >= a.heldSince+2*pressureInterval {
		return a.placed.perSecond
	}
	return max(a.placed.perSecond, s.leastEntitled(a))
}

// leastEntitled returns the lowest share to which an account is entitled in a pool that is short of capacity. An account that uses a share
// of the fleet gets capacity for as much work in each second.
func (s *Scheduler) leastEntitled(a *accountShare) float64 {
	least := 1.0
	for _, p := range s.shares.pools {
		least = min(least, p.entitledTo(a))
	}
	return least
}

// addWaitingWork adds the ready tasks of a job that waits and can still be in time.
func (s *Scheduler) addWaitingWork(w *waitingWork, j *activeJob, now time.Duration) {
	if s.latenessOf(j, now) != inTime {
		return
	}
	pool := s.poolShares(j.accepted.Queue.Pool)
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			step := &j.accepted.Spec.Steps[number]
			count := 0
			for _, t := range tasks {
				if t.phase == job.Waiting {
					count++
				}
			}
			if count > 0 && o.ready(&j.accepted.Spec, number) {
				w.amount += float64(count) * s.workOf(j, step)
				w.held = w.held || j.beyondRate || !s.belowShareWith(pool, j.account, j.account.used, step.Reserved())
			}
		}
	}
}

// workOf returns the expected work of one task of a step, in seconds times the dominant share of the fleet.
func (s *Scheduler) workOf(j *activeJob, step *acaciatally.Step) float64 {
	runTime := defaultRunTime
	if known := s.runTimes[j.accepted.Queue.Name]; known != nil {
		runTime = known.task
	}
	return runTime.Seconds() * sharing.DominantShare(step.Reserved(), s.shares.fleet)
}

// countPlaced counts a task that has got capacity.
func (s *Scheduler) countPlaced(t *task) {
	if a := t.job.account; a != nil && s.shares.active {
		a.placed.placed += s.workOf(t.job, t.step)
	}
}
