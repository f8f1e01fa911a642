package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// share is how many instances a pool should have.
type share struct {
	floor    int // for long-running tasks and limits per worker; at least one, so that no pool loses its last instance
	fair     int // for the present and expected demand, within what the fleet has
	required int // for the present and expected demand; that for overdue work only within what the fleet has
}

// divide returns each pool's share of a fleet of total instances. While all demand fits, each pool gets what it needs. Beyond that, demand
// is met in this order, and within one kind in proportion to what each pool still needs:
//
//   - the floor of each pool, first of those with demand;
//   - work that can still be of use, and the expected arrivals;
//   - overdue work.
//
// An overdue backlog therefore does not keep instances from pools whose work can still be of use. A pool keeps what that work requires,
// beyond its fair share too, unless another pool lacks its floor: while demand exceeds the fleet, each move only costs the time that it
// takes.
func (c Config) divide(pools []Pool, total int) []share {
	needed, floors := make([]int, len(pools)), make([]int, len(pools))
	useful, all := make([]int, len(pools)), make([]int, len(pools))
	for i := range pools {
		p := &pools[i]
		if p.Standby || p.PerInstance.IsZero() {
			continue
		}
		if p.hasDemand() {
			needed[i] = max(1, p.MinWorkers, c.instancesFor(p, p.LongRunning))
		}
		floors[i] = max(1, needed[i])
		useful[i] = max(floors[i], c.instancesFor(p, p.Used.Plus(p.Waiting).Max(p.Expected)))
		all[i] = max(useful[i], c.instancesFor(p, p.Used.Plus(p.Waiting).Plus(p.Overdue)))
	}
	fair := fill(make([]int, len(pools)), needed, total)
	fair = fill(fair, floors, total)
	fair = fill(fair, useful, total)
	fair = fill(fair, all, total)
	shares := make([]share, len(pools))
	for i := range pools {
		shares[i] = share{floor: floors[i], fair: fair[i], required: max(fair[i], useful[i])}
	}
	return shares
}

// hasDemand reports whether the pool has work or expects some.
func (p *Pool) hasDemand() bool {
	return p.MinWorkers > 0 || !p.Used.Plus(p.Waiting).Plus(p.Overdue).Plus(p.LongRunning).Plus(p.Expected).IsZero()
}

// instancesFor returns the instances that a demand takes with some headroom, by the resource that takes the most.
func (c Config) instancesFor(p *Pool, demand acaciatally.ResourceVector) int {
	ratio := max(
		ratioOf(demand.Processors, p.PerInstance.Processors), ratioOf(demand.Memory, p.PerInstance.Memory),
		ratioOf(demand.Accelerators, p.PerInstance.Accelerators),
	)
	return int(math.Ceil(ratio * (1 + c.Headroom)))
}

// ratioOf returns how many times the capacity a demand is; a resource that instances do not have is left out.
func ratioOf(demand, capacity int) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(demand) / float64(capacity)
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
