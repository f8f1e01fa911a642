package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

// The order of work in a pool:
//
//  1. jobs with long-running tasks;
//  2. jobs within the rate of their account, before those beyond it;
//  3. by the priority of the queue;
//  4. jobs whose result can still be of use, before overdue ones;
//  5. jobs without an account, and those of accounts that use nothing or are still within their share with one task more; then those of accounts
//     that use less than their share; then the others;
//  6. in time or late, begun or not, and the time by which they have to start, as compareJobs sorts them.
//
// Without accounts rules 2 and 5 make no difference, and the order is that of compareJobs. Work that comes last by rule 2 or 5 runs on lent
// room: what nobody who comes before can use. Within an account the jobs keep the order of compareJobs: if it sends more than its rate, the
// first of its waiting jobs by that order are within the rate, as many as have arrived within it.

// placePool places the waiting jobs of a pool, which are sorted by compareJobs, in the order of work. all tells that this is a placement
// of all pools, which takes place every checkInterval; then lent capacity is reclaimed.
func (s *Scheduler) placePool(pool acaciatally.PoolName, jobs []*activeJob, all bool, now time.Duration) {
	set := s.candidateSet(pool, now)
	if !s.shares.active {
		for _, j := range jobs {
			s.placeJob(j, set, shareLimit{}, now)
		}
		return
	}
	p := s.poolShares(pool)
	within, beyond := s.splitByRate(jobs)
	s.placeByShare(p, within, set, now)
	if len(beyond) > 0 {
		set.onLentCapacity = true
		set.blockHeld(true, now)
		s.placeByShare(p, beyond, set, now)
	}
	if all {
		s.reclaim(p, within, set, now)
	}
}

// splitByRate splits jobs into those within the rate of their account and those beyond it. Jobs of one account exchange their marks, so that
// the first of them are within the rate; a job keeps its mark when it is placed.
func (s *Scheduler) splitByRate(jobs []*activeJob) (within, beyond []*activeJob) {
	for _, a := range s.shares.list {
		a.tokens = 0
	}
	marked := 0
	for _, j := range jobs {
		if j.account == nil || j.hasLongRunning {
			continue
		}
		if j.beyondRate {
			marked++
		} else {
			j.account.tokens++
		}
	}
	if marked == 0 {
		return jobs, nil
	}
	within, beyond = make([]*activeJob, 0, len(jobs)-marked), make([]*activeJob, 0, marked)
	for _, j := range jobs {
		if a := j.account; a != nil && !j.hasLongRunning {
			j.beyondRate = a.tokens == 0
			a.tokens = max(0, a.tokens-1)
			if j.beyondRate {
				beyond = append(beyond, j)
				continue
			}
		}
		within = append(within, j)
	}
	return within, beyond
}

// placeByShare places jobs of accounts that use less than their share first. It does so within each group of jobs that the rules before the
// shares do not tell apart. What an account uses changes with each task that is placed, so its share is checked before each task.
func (s *Scheduler) placeByShare(p *poolShares, jobs []*activeJob, set *candidateSet, now time.Duration) {
	for len(jobs) > 0 {
		size := 1
		for size < len(jobs) && sameGroup(jobs[0], jobs[size]) {
			size++
		}
		rest := s.placeWithin(jobs[:size], shareLimit{p, true}, set, s.shares.deferred[0][:0], now)
		s.shares.deferred[0] = rest
		s.placeOnLentCapacity(p, rest, set, now)
		clear(s.shares.deferred[0])
		clear(s.shares.deferred[1])
		jobs = jobs[size:]
	}
}

// placeWithin places jobs as far as a limit allows, and appends those that it stopped to rest, with the later ones of the same accounts: smaller tasks
// do not overtake larger ones of their account.
func (s *Scheduler) placeWithin(jobs []*activeJob, limit shareLimit, set *candidateSet, rest []*activeJob, now time.Duration) []*activeJob {
	s.shares.passes++
	for _, j := range jobs {
		a := j.account
		if a != nil && a.stoppedIn == s.shares.passes {
			rest = append(rest, j)
			continue
		}
		if !s.placeJob(j, set, limit, now) {
			a.stoppedIn = s.shares.passes
			rest = append(rest, j)
		}
	}
	return rest
}

// shareLimit tells up to which share of a pool accounts get capacity; the zero value is no limit.
type shareLimit struct {
	pool  *poolShares
	whole bool // only tasks with which the account is still within its share, or its first one
}

// allows reports whether a limit allows tasks of a step, which are placed together. Long-running tasks come before the shares.
func (s *Scheduler) allows(limit shareLimit, a *accountShare, step *acaciatally.Step, count int) bool {
	if limit.pool == nil || a == nil || step.LongRunning || !s.within(limit.pool, a) {
		return limit.pool == nil || a == nil || step.LongRunning
	}
	return !limit.whole || s.belowShareWith(limit.pool, a, a.used, step.Reserved().Times(count))
}

// placeOnLentCapacity places jobs of accounts that use at least their share but for a part of a task. Workers that are held for other work are
// left out, so what does not fit here may still fit for the jobs that follow.
func (s *Scheduler) placeOnLentCapacity(p *poolShares, jobs []*activeJob, set *candidateSet, now time.Duration) {
	if len(jobs) == 0 {
		return
	}
	known := set.unplaceable
	blocks := !set.onLentCapacity && set.blockHeld(true, now)
	if blocks {
		set.unplaceable = slices.Clone(known)
	}
	rest := s.placeWithin(jobs, shareLimit{p, false}, set, s.shares.deferred[1][:0], now)
	s.shares.deferred[1] = rest
	for _, j := range rest {
		s.placeJob(j, set, shareLimit{}, now)
	}
	if blocks {
		set.blockHeld(false, now)
		set.unplaceable = known
	}
}

// sameGroup reports whether the rules of the order of work before the shares do not tell two jobs apart.
func sameGroup(a, b *activeJob) bool {
	return a.hasLongRunning == b.hasLongRunning && a.accepted.Queue.Priority == b.accepted.Queue.Priority && (a.lateness == overdue) == (b.lateness == overdue)
}

// compareStarts sorts jobs whose recorded runs wait for their start orders.
func compareStarts(a, b *activeJob) int {
	if a.hasLongRunning == b.hasLongRunning && a.beyondRate != b.beyondRate {
		return ordering.CompareBools(a.beyondRate, b.beyondRate)
	}
	return compareJobs(a, b)
}
