package move

import (
	"math"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// ownInstancePaybacks is the number of payback times for which a pool must not need one of its own instances before it is moved to the
// spare pool. It is above one, since the instance has to return in time and the availability budget lets only a few move at once.
const ownInstancePaybacks = 3

// defaultSlots are the slots of an instance of a pool whose instances name none.
const defaultSlots = 8

// poolState is the supply and the need of one pool, in instances.
type poolState struct {
	name              acaciatally.PoolName
	supply            int // serving in the pool or moving into it
	needSoon          int // needed within the lead time
	needWithinPayback int // needed within the payback time; borrowed instances above it may leave
	needOwn           int // needed within ownInstancePaybacks payback times; the pool's own instances above it may leave
	slotsPerInstance  float64
}

func (r *planRun) computeNeeds() {
	state := r.Draft.State()
	incoming := map[acaciatally.PoolName]int{}
	for name := range state.Pools {
		members := state.SharedMembers(name)
		for i := range members {
			if members[i].Phase == fleet.Draining && members[i].Cause == fleet.CauseMove {
				incoming[members[i].Target]++
			}
		}
	}
	for _, name := range state.PoolNames() {
		if name == r.spare {
			continue
		}
		pool := &poolState{name: name, supply: state.AvailableCount(name) + incoming[name], slotsPerInstance: meanSlots(state.SharedMembers(name))}
		pool.needSoon = r.need(pool, r.config.LeadTime)
		pool.needWithinPayback = max(pool.needSoon, r.need(pool, max(r.config.payback(), r.config.LeadTime)))
		pool.needOwn = max(pool.needWithinPayback, r.need(pool, min(r.config.MaxPayback, ownInstancePaybacks*r.config.payback())))
		if r.Forecaster.Forecast(name, r.Now, r.Now).ShortHistory {
			// Without enough history, no own instance counts as idle. Borrowed instances may still leave.
			pool.needOwn = max(pool.needOwn, pool.supply)
		}
		r.pools = append(r.pools, pool)
	}
}

// meanSlots returns the mean number of slots of the instances, or defaultSlots when they have none.
func meanSlots(members []fleet.Instance) float64 {
	total := 0
	for i := range members {
		total += members[i].Slots
	}
	if total == 0 {
		return defaultSlots
	}
	return float64(total) / float64(len(members))
}

// need returns the number of instances that the pool needs within a time span: at least one, enough for the forecast peak with the
// margin, the pool's minimum, and the instances required regardless of demand.
func (r *planRun) need(pool *poolState, span time.Duration) int {
	forecast := r.Forecaster.Forecast(pool.name, r.Now, r.Now.Add(span))
	demand := int(math.Ceil(forecast.Slots * (1 + r.config.Margin) / pool.slotsPerInstance))
	return max(1, demand, r.Draft.State().Pools[pool.name].MinAvailable, r.RequiredInstances[pool.name])
}
