package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/sharing"
)

// demandByAccount separates the demand on pools by account, to find out what is beyond the shares of the whole fleet. It is nil-safe: without
// accounts all demand is added to the pools as it is.
type demandByAccount struct {
	scheduler         *Scheduler
	pools             map[acaciatally.PoolName][]PoolView // by accountShare.index
	totals            []sharing.Party                     // by accountShare.index, and that of the jobs without an account
	usedByLongRunning acaciatally.ResourceVector
}

func (s *Scheduler) newDemandByAccount() *demandByAccount {
	if !s.shares.active {
		return nil
	}
	return &demandByAccount{
		scheduler: s, pools: map[acaciatally.PoolName][]PoolView{}, totals: make([]sharing.Party, len(s.shares.list)+1),
	}
}

// view returns where the demand of a job is to be added, or nil if that is its pool itself: long-running tasks come before the shares, to which
// they count.
func (d *demandByAccount) view(j *activeJob) *PoolView {
	if d == nil || j.account == nil {
		return nil
	}
	if j.hasLongRunning {
		held := &d.totals[j.account.index].Held
		j.eachTask(func(t *task) {
			if t.assigned() {
				*held = held.Plus(t.step.Reserved())
			}
		})
		return nil
	}
	views := d.pools[j.accepted.Queue.Pool]
	if views == nil {
		views = make([]PoolView, len(d.scheduler.shares.list))
		d.pools[j.accepted.Queue.Pool] = views
	}
	return &views[j.account.index]
}

// addTo adds the demand of accounts to the pools. What is beyond the share of an account of the whole fleet is added to the overdue work, which
// is served after the work that can still be of use; so it takes no instances from pools whose work is within the shares.
func (d *demandByAccount) addTo(pools map[acaciatally.PoolName]PoolView) {
	if d == nil {
		return
	}
	d.addTotals(pools)
	s := d.scheduler
	entitled := sharing.Divide(s.shares.fleet, s.shares.fleet.Minus(d.usedByLongRunning), d.totals, nil)
	for i, a := range s.shares.list {
		a.servedPart = d.totals[i].ServedPart(s.shares.fleet, entitled[i])
	}
	for name, views := range d.pools {
		pool := pools[name]
		for i := range views {
			pool.addWithin(&views[i], s.shares.list[i].servedPart)
		}
		pools[name] = pool
	}
}

// addTotals sums up the demand over all pools.
func (d *demandByAccount) addTotals(pools map[acaciatally.PoolName]PoolView) {
	weights := 0.0
	for _, views := range d.pools {
		for i := range views {
			d.totals[i].Demand = d.totals[i].Demand.Plus(views[i].Used).Plus(views[i].Waiting)
		}
	}
	for i, a := range d.scheduler.shares.list {
		d.totals[i].Weight = a.weight
		if !d.totals[i].Demand.IsZero() {
			weights += a.weight
		}
	}
	public := &d.totals[len(d.totals)-1]
	public.Weight = max(weights, 1)
	for _, pool := range pools { // has only the jobs without an account and those with long-running tasks as yet
		d.usedByLongRunning = d.usedByLongRunning.Plus(pool.LongRunning)
		public.Demand = public.Demand.Plus(pool.Used).Plus(pool.Waiting).Minus(pool.LongRunning)
	}
}

// addWithin adds the demand of an account, of which a part is within its share.
func (p *PoolView) addWithin(account *PoolView, part float64) {
	demand := account.Used.Plus(account.Waiting)
	within := demand
	if part < 1 {
		within = scaled(demand, part)
	}
	used := within.Minus(within.Minus(account.Used).Max(acaciatally.ResourceVector{})) // the lesser of both
	p.Used = p.Used.Plus(used)
	p.Waiting = p.Waiting.Plus(within.Minus(used))
	p.Overdue = p.Overdue.Plus(account.Overdue).Plus(demand.Minus(within))
	p.MinWorkers = max(p.MinWorkers, account.MinWorkers)
	p.Unplaced += account.Unplaced
}

func scaled(v acaciatally.ResourceVector, part float64) acaciatally.ResourceVector {
	return acaciatally.ResourceVector{
		Processors: int(part * float64(v.Processors)), Memory: int(part * float64(v.Memory)), Accelerators: int(part * float64(v.Accelerators)),
	}
}

// observeLoadWithinShare adds the expected work of a loaded job of an account to the arrivals of its pool, without what is beyond the account's
// rate and share.
func (s *Scheduler) observeLoadWithinShare(j *activeJob, now time.Duration) {
	switch {
	case !s.shares.active || j.hasLongRunning:
		s.observeArrival(j, 1, now)
	case !j.beyondRate:
		s.observeArrival(j, j.account.servedPart, now)
	}
}
