package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// throttleCost is the cost of a throttled task in seconds of lost work, so that throttling is preferred to stopping.
const throttleCost = 0.1

// relief is a way to free resources on one worker.
type relief struct {
	squeezes []Squeeze
	freed    acaciatally.Resources
	cost     float64 // seconds of work that are lost
}

// force makes room for an urgent task where the least work is lost.
func (p *planner) force(demand Demand) bool {
	var best *Room
	var bestRelief relief
	for i := range p.problem.Rooms {
		room := &p.problem.Rooms[i]
		if !room.admits(demand) || !fits(demand.Need, room.Capacity) {
			continue
		}
		found, enough := p.relieve(room, minus(demand.Need, room.Free), demand)
		if enough && (best == nil || found.cost < bestRelief.cost) {
			best, bestRelief = room, found
		}
	}
	if best == nil {
		return false
	}
	p.take(best, bestRelief)
	p.start(demand, best, fmt.Sprintf("%s makes room by %d less urgent tasks", best.Worker, len(bestRelief.squeezes)))
	return true
}

// relieve looks for tenants of a room, least urgent first, whose squeezing frees what is missing. Processors are taken by throttling
// if that is enough, since it loses no work.
func (p *planner) relieve(room *Room, missing acaciatally.Resources, demand Demand) (found relief, enough bool) {
	tenants := slices.Clone(room.Tenants)
	slices.SortStableFunc(tenants, bySacrifice)
	if found = p.squeeze(tenants, missing, demand, false); fits(missing, found.freed) {
		return found, true
	}
	found = p.squeeze(tenants, missing, demand, true)
	return found, fits(missing, found.freed)
}

// squeeze makes tenants leave for the memory and accelerators that are missing, and for the processors too if asked to, and throttles
// others for the rest of the processors.
func (p *planner) squeeze(tenants []Tenant, missing acaciatally.Resources, demand Demand, processorsToo bool) (found relief) {
	spare := p.spare(demand.Urgency)
	reason := fmt.Sprintf("makes room for %s task %s", demand.Urgency, demand.Task)
	for _, tenant := range tenants {
		still := minus(missing, found.freed)
		if still.Memory <= 0 && still.Accelerators <= 0 && (!processorsToo || still.Processors <= roundingSlack) {
			break
		}
		share := dominantShare(tenant.Holds, p.total)
		if tenant.Urgency <= demand.Urgency || !tenant.CanStop || share > spare[tenant.Urgency] {
			continue
		}
		spare[tenant.Urgency] -= share
		found.vacate(tenant, p.problem.Now, reason)
	}
	for _, tenant := range tenants {
		if minus(missing, found.freed).Processors <= roundingSlack {
			break
		}
		freed := throttled(tenant)
		share := dominantShare(freed, p.total)
		if tenant.Urgency <= demand.Urgency || found.includes(tenant.Task) || freed.Processors <= 0 || share > spare[tenant.Urgency] {
			continue
		}
		spare[tenant.Urgency] -= share
		found.throttle(tenant, reason)
	}
	return found
}

// spare returns how much each class holds beyond its floor, which more urgent tasks may take.
func (p *planner) spare(urgency acaciatally.Urgency) (spare [acaciatally.UrgencyClasses]float64) {
	for class := urgency + 1; class < acaciatally.UrgencyClasses; class++ {
		spare[class] = dominantShare(p.classUse[class], p.total) - p.problem.Floors[class]
	}
	return spare
}

// bySacrifice orders the least urgent first, then those that lose the least work.
func bySacrifice(a, b Tenant) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		b.WorkSince.Compare(a.WorkSince),
		cmp.Compare(a.Task, b.Task),
	)
}

func throttled(tenant Tenant) acaciatally.Resources {
	if tenant.Share <= throttledShare {
		return acaciatally.Resources{}
	}
	return acaciatally.Resources{Processors: tenant.Holds.Processors * (1 - throttledShare/tenant.Share)}
}

func (r *relief) includes(task string) bool {
	return slices.ContainsFunc(r.squeezes, func(squeeze Squeeze) bool { return squeeze.Task == task })
}

func (r *relief) vacate(tenant Tenant, now time.Time, reason string) {
	r.squeezes = append(r.squeezes, Squeeze{Task: tenant.Task, Vacate: true, Reason: reason})
	r.freed = plus(r.freed, tenant.Holds)
	r.cost += now.Sub(tenant.WorkSince).Seconds()
}

func (r *relief) throttle(tenant Tenant, reason string) {
	r.squeezes = append(r.squeezes, Squeeze{Task: tenant.Task, Share: throttledShare, Reason: reason})
	r.freed = plus(r.freed, throttled(tenant))
	r.cost += throttleCost
}

// take carries out a relief in the planner's view of the room.
func (p *planner) take(room *Room, chosen relief) {
	room.Free = plus(room.Free, chosen.freed)
	p.plan.Squeezes = append(p.plan.Squeezes, chosen.squeezes...)
	kept := room.Tenants[:0:0]
	for _, tenant := range room.Tenants {
		index := slices.IndexFunc(chosen.squeezes, func(squeeze Squeeze) bool { return squeeze.Task == tenant.Task })
		if index < 0 {
			kept = append(kept, tenant)
			continue
		}
		freed := tenant.Holds
		if !chosen.squeezes[index].Vacate {
			freed = throttled(tenant)
			tenant.Holds = minus(tenant.Holds, freed)
			tenant.Share = throttledShare
			kept = append(kept, tenant)
		}
		p.classUse[tenant.Urgency] = minus(p.classUse[tenant.Urgency], freed)
		p.teamUse[tenant.Team] -= freed.Processors
	}
	room.Tenants = kept
}
