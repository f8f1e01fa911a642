package capacity

import (
	"cmp"
	"math"
	"slices"
)

// share is how many instances a pool should have.
type share struct {
	floor    int // for long-running tasks and limits per worker; at least one, so that no pool loses its last instance
	required int // for the present and expected demand, within what the fleet has
}

// divide returns each pool's share of a fleet of total instances. While all demand fits, each pool gets what it needs. Beyond that, demand
// is met in this order, and within one kind in proportion to what each pool still needs:
//
//   - the floor of each pool, first of those with demand;
//   - work that can still be completed in time, and the expected arrivals;
//   - work that is late already.
//
// A backlog that has become late therefore does not keep instances from pools whose work can still be in time, and since the proportions
// are equal, no pool is starved by another with more demand of the same kind.
func (c Config) divide(pools []Pool, total int) []share {
	needed, floors := make([]int, len(pools)), make([]int, len(pools))
	inTime, all := make([]int, len(pools)), make([]int, len(pools))
	for i := range pools {
		p := &pools[i]
		if p.Standby || p.PerInstance == 0 {
			continue
		}
		if p.hasDemand() {
			needed[i] = max(1, p.MinWorkers, c.instancesFor(p, p.LongRunning))
		}
		floors[i] = max(1, needed[i])
		inTime[i] = max(floors[i], c.instancesFor(p, max(p.Used+p.Waiting, p.Expected)))
		all[i] = max(inTime[i], c.instancesFor(p, p.Used+p.Waiting+p.Late))
	}
	required := fill(make([]int, len(pools)), needed, total)
	required = fill(required, floors, total)
	required = fill(required, inTime, total)
	required = fill(required, all, total)
	shares := make([]share, len(pools))
	for i := range pools {
		shares[i] = share{floor: floors[i], required: required[i]}
	}
	return shares
}

// hasDemand reports whether the pool has work or expects some.
func (p *Pool) hasDemand() bool {
	return p.Used+p.Waiting+p.Late+p.LongRunning+p.Expected+p.MinWorkers > 0
}

// instancesFor returns the instances that a demand takes, in thousandths of a core, with some headroom.
func (c Config) instancesFor(p *Pool, demand int) int {
	return int(math.Ceil(float64(demand) * (1 + c.Headroom) / float64(p.PerInstance)))
}

// fill raises the given numbers to the wanted ones, or, if the total does not suffice, by the same part of what each lacks.
func fill(given, wanted []int, total int) []int {
	rest, lacking := total, 0
	for i := range given {
		rest -= given[i]
		lacking += wanted[i] - given[i]
	}
	if lacking <= max(0, rest) {
		return wanted
	}
	filled := slices.Clone(given)
	if rest <= 0 {
		return filled
	}
	order := make([]int, len(given)) // by the part of an instance that rounding down leaves out, the largest first
	left := rest
	for i := range given {
		order[i] = i
		part := rest * (wanted[i] - given[i]) / lacking
		filled[i] += part
		left -= part
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(rest*(wanted[b]-given[b])%lacking, rest*(wanted[a]-given[a])%lacking)
	})
	for _, i := range order[:left] {
		filled[i]++
	}
	return filled
}
