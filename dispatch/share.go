package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/sharing"
)

// divideInterval is the time between two divisions of the fleet between accounts. Demand changes within seconds.
const divideInterval = checkInterval

// shares is what the leader knows of the shares of accounts. It is computed from the loaded jobs and the listed workers, so a new leader has
// it as soon as it has loaded all partitions. Without configured accounts it is not active, and nothing depends on it.
type shares struct {
	active       bool
	accounts     map[acaciatally.AccountName]*accountShare
	list         []*accountShare // the accounts by index
	uncounted    []*activeJob    // loaded jobs whose arrival is not yet counted towards the rate of their account
	fleet        acaciatally.ResourceVector
	pools        map[acaciatally.PoolName]*poolShares
	nextDivideAt time.Duration
	nextLogAt    time.Duration
	deferred     [2][]*activeJob // buffers of placeByShare
	passes       int             // passes over the jobs of a pool
	parties      []sharing.Party
}

// accountShare is the share of one account.
type accountShare struct {
	index  int // in shares.list and in the slices of poolShares
	name   acaciatally.AccountName
	weight float64
	rate   sharing.Window
	used   acaciatally.ResourceVector // reserved by its assigned tasks in the whole fleet; kept by task.assign and task.release
	// While a pool is checked for room to reclaim, leaving is reserved by runs that are being stopped, and coming by tasks that will be placed
	// there.
	leaving, coming acaciatally.ResourceVector
	// servedPart is the part of its demand on the whole fleet that is within its share; see demandByAccount.
	servedPart float64
	placed     placedRate
	heldSince  time.Duration // since when some of its work has waited beyond its rate or share; 0 if none does
	stoppedIn  int           // the last pass of shares.passes in which its jobs were stopped
	tokens     int           // waiting jobs of a pool that are within its rate, while the jobs of the pool are sorted
}

// poolShares is the division of one pool between accounts. Its slices are indexed by accountShare.index.
type poolShares struct {
	capacity          acaciatally.ResourceVector   // of the workers that may get runs, and what runs use on the others
	usedByLongRunning acaciatally.ResourceVector   // reserved by long-running tasks, which come before the shares
	used              []acaciatally.ResourceVector // reserved by the other runs of each account
	waiting           []acaciatally.ResourceVector // for their ready tasks whose result can still be of use
	public            acaciatally.ResourceVector   // both, for the jobs without an account
	short             []shortage
	// reclaimsLeft is how many more runs the last check might have stopped; it is negative if it stopped more than its part.
	reclaimsLeft int
	entitled     []float64 // dominant share of the fleet to which each account is entitled
}

// configureShares applies the weights of a configuration.
func (s *Scheduler) configureShares() {
	s.shares.active = s.configuration.Accounts != nil
	if !s.shares.active {
		for _, j := range s.jobs {
			j.beyondRate = false
		}
	}
	for _, a := range s.shares.list {
		a.weight = s.weightOf(a.name)
	}
}

// weightOf returns the configured weight of an account. An account that is not configured, whose jobs still run, or has no valid weight gets
// the smallest weight of the others.
func (s *Scheduler) weightOf(name acaciatally.AccountName) float64 {
	if s.configuration == nil {
		return 1
	}
	if weight := s.configuration.Accounts[name].Weight; validWeight(weight) {
		return weight
	}
	smallest := math.Inf(1)
	for _, a := range s.configuration.Accounts {
		if validWeight(a.Weight) {
			smallest = min(smallest, a.Weight)
		}
	}
	if math.IsInf(smallest, 1) {
		return 1
	}
	return smallest
}

func validWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 1) }

// accountShare returns the share of an account, or nil for jobs without an account.
func (s *Scheduler) accountShare(name acaciatally.AccountName) *accountShare {
	if name == "" {
		return nil
	}
	a := s.shares.accounts[name]
	if a == nil {
		a = &accountShare{index: len(s.shares.list), name: name, weight: s.weightOf(name), servedPart: 1, rate: sharing.Window{Length: s.config.QuotaWindow}}
		s.shares.accounts[name] = a
		s.shares.list = append(s.shares.list, a)
	}
	return a
}

// observeJob counts a job that has been loaded. Those of accounts are counted in the next round, because a new leader loads many at once, in
// no particular order.
func (s *Scheduler) observeJob(j *activeJob, age, now time.Duration) {
	if j.account == nil || age >= maxJobAge {
		s.observeArrival(j, 1, now) // the arrival of a job so old is not known
		return
	}
	s.shares.uncounted = append(s.shares.uncounted, j)
}

// countArrivals marks the newly loaded jobs that are beyond the rate of their account, in the order in which they arrived.
func (s *Scheduler) countArrivals(now time.Duration) {
	if len(s.shares.uncounted) == 0 {
		return
	}
	slices.SortFunc(s.shares.uncounted, func(a, b *activeJob) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
	})
	for _, j := range s.shares.uncounted {
		j.beyondRate = s.shares.active && !j.account.rate.Admit(j.arrivedAt, s.rateLimit(j.account))
		s.observeLoadWithinShare(j, now)
	}
	clear(s.shares.uncounted)
	s.shares.uncounted = s.shares.uncounted[:0]
}

// rateLimit returns how many jobs of the account may arrive in each window.
func (s *Scheduler) rateLimit(a *accountShare) int {
	return int(a.weight*s.config.QuotaWindow.Seconds()*(1+s.config.QuotaOverage)) + s.config.QuotaSlack
}

// divideShares counts what the accounts use and need, and divides the fleet between them, once per divideInterval. In between, only what the
// accounts use is kept up to date.
func (s *Scheduler) divideShares(now time.Duration) {
	if !s.shares.active || now < s.shares.nextDivideAt {
		return
	}
	s.shares.nextDivideAt = now + divideInterval
	s.resetShares()
	for _, w := range s.workers {
		if !w.listed || w.lost {
			continue
		}
		capacity := w.load.used
		if s.schedulable(w, now) {
			capacity = w.entry.Capacity
		}
		s.shares.fleet = s.shares.fleet.Plus(capacity)
		p := s.poolShares(w.entry.Pool)
		p.capacity = p.capacity.Plus(capacity)
	}
	for _, j := range s.jobs {
		s.countJob(j, now)
	}
	for _, p := range s.shares.pools {
		s.dividePool(p)
	}
	for _, a := range s.shares.list {
		a.placed.observe(now)
	}
}

func (s *Scheduler) resetShares() {
	s.shares.fleet = acaciatally.ResourceVector{}
	for _, p := range s.shares.pools {
		p.capacity, p.usedByLongRunning, p.public = acaciatally.ResourceVector{}, acaciatally.ResourceVector{}, acaciatally.ResourceVector{}
		clear(p.used)
		clear(p.waiting)
		p.grow(len(s.shares.list))
	}
}

// poolShares returns the division of a pool.
func (s *Scheduler) poolShares(pool acaciatally.PoolName) *poolShares {
	p := s.shares.pools[pool]
	if p == nil {
		p = &poolShares{}
		p.grow(len(s.shares.list))
		s.shares.pools[pool] = p
	}
	return p
}

// grow adds accounts that are new to the pool.
func (p *poolShares) grow(accounts int) {
	for len(p.entitled) < accounts {
		p.used, p.waiting = append(p.used, acaciatally.ResourceVector{}), append(p.waiting, acaciatally.ResourceVector{})
		p.short = append(p.short, shortage{})
		p.entitled = append(p.entitled, math.Inf(1))
	}
}

// countJob adds what a job uses and could use now.
func (s *Scheduler) countJob(j *activeJob, now time.Duration) {
	p := s.poolShares(j.accepted.Queue.Pool)
	useful := j.live() && (j.hasLongRunning || s.latenessOf(j, now) != overdue)
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			assigned, waiting := 0, 0
			for _, t := range tasks {
				switch t.phase {
				case job.Assigned:
					assigned++
				case job.Waiting:
					waiting++
				}
			}
			if waiting > 0 && (!useful || !o.ready(&j.accepted.Spec, number)) {
				waiting = 0
			}
			if assigned+waiting > 0 {
				p.count(j.account, &j.accepted.Spec.Steps[number], assigned, waiting)
			}
		}
	}
}

// count adds tasks of a step of one account, or of a job without an account.
func (p *poolShares) count(a *accountShare, step *acaciatally.Step, assigned, waiting int) {
	reserved := step.Reserved()
	using, needed := reserved.Times(assigned), reserved.Times(waiting)
	switch {
	case step.LongRunning:
		p.usedByLongRunning = p.usedByLongRunning.Plus(using).Plus(needed)
	case a == nil:
		p.public = p.public.Plus(using).Plus(needed)
	default:
		p.used[a.index] = p.used[a.index].Plus(using)
		p.waiting[a.index] = p.waiting[a.index].Plus(needed)
	}
}

// dividePool computes the entitlements in a pool. What an account uses in other pools and by long-running tasks counts towards its share.
// The jobs without an account, which are not held to a share, are given as much weight as all accounts together, so that they neither take
// all capacity from the accounts nor are squeezed out by their number.
func (s *Scheduler) dividePool(p *poolShares) {
	parties, weights := s.shares.parties[:0], 0.0
	for i, a := range s.shares.list {
		waiting := s.usages[a.name].upToMaximum(p.waiting[i])
		party := sharing.Party{Weight: a.weight, Held: a.used.Minus(p.used[i]), Demand: p.used[i].Plus(waiting)}
		parties = append(parties, party)
		if !party.Demand.IsZero() {
			weights += a.weight
		}
	}
	parties = append(parties, sharing.Party{Weight: max(weights, 1), Demand: p.public})
	s.shares.parties = parties
	p.entitled = sharing.Divide(s.shares.fleet, p.capacity.Minus(p.usedByLongRunning), parties, p.entitled[:0])[:len(s.shares.list)]
}

// within reports whether an account uses less than the share to which it is entitled in the pool. Jobs without an account always count as
// within, and so do those of an account that is new since the last division.
func (s *Scheduler) within(p *poolShares, a *accountShare) bool {
	if a == nil {
		return true
	}
	entitled := p.entitledTo(a)
	return math.IsInf(entitled, 1) || sharing.DominantShare(a.used, s.shares.fleet) < entitled
}

// entitledTo returns the dominant share of the fleet to which an account is entitled in the pool.
func (p *poolShares) entitledTo(a *accountShare) float64 {
	if a.index >= len(p.entitled) {
		return math.Inf(1)
	}
	return p.entitled[a.index]
}

// upToMaximum returns the part of waiting work that the account may begin within its maximum. The rest does not count in the division, so that
// others are entitled to what the account can't use.
func (u *accountUsage) upToMaximum(waiting acaciatally.ResourceVector) acaciatally.ResourceVector {
	if !u.limited() {
		return waiting
	}
	part := 1.0
	limit := func(waiting, maximum, used int) {
		if maximum > 0 && waiting > 0 {
			part = min(part, float64(max(0, maximum-used))/float64(waiting))
		}
	}
	limit(waiting.Processors, u.maximum.Processors, u.used.Processors)
	limit(waiting.Memory, u.maximum.Memory, u.used.Memory)
	limit(waiting.Accelerators, u.maximum.Accelerators, u.used.Accelerators)
	if part == 1 {
		return waiting
	}
	return scaled(waiting, part)
}
