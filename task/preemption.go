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

// preemptionOption is a way to free resources on one worker.
type preemptionOption struct {
	preemptions []Preemption
	freed       acaciatally.Resources
	cost        float64 // seconds of work that are lost
}

// force makes room for an urgent task where the least work is lost.
func (p *planner) force(demand Demand) bool {
	var best *WorkerLoad
	var bestOption preemptionOption
	for i := range p.problem.WorkerLoads {
		load := &p.problem.WorkerLoads[i]
		if !load.admits(demand) || !fits(demand.Need, load.Capacity) {
			continue
		}
		found, enough := p.relieve(load, minus(demand.Need, load.Free), demand)
		if enough && (best == nil || found.cost < bestOption.cost) {
			best, bestOption = load, found
		}
	}
	if best == nil {
		return false
	}
	p.take(best, bestOption)
	p.start(demand, best, fmt.Sprintf("%s makes room by %d less urgent tasks", best.Worker, len(bestOption.preemptions)))
	return true
}

// relieve looks for placements on a worker, least urgent first, whose preemption frees what is missing. Processors are taken by throttling
// if that is enough, since it loses no work.
func (p *planner) relieve(load *WorkerLoad, missing acaciatally.Resources, demand Demand) (found preemptionOption, enough bool) {
	placements := slices.Clone(load.Placements)
	slices.SortStableFunc(placements, byPreemptionOrder)
	if found = p.preempt(placements, missing, demand, false); fits(missing, found.freed) {
		return found, true
	}
	found = p.preempt(placements, missing, demand, true)
	return found, fits(missing, found.freed)
}

// preempt makes placements leave for the memory and accelerators that are missing, and for the processors too if asked to, and throttles
// others for the rest of the processors.
func (p *planner) preempt(placements []Placement, missing acaciatally.Resources, demand Demand, processorsToo bool) (found preemptionOption) {
	spare := p.spare(demand.Urgency)
	reason := fmt.Sprintf("makes room for %s task %s", demand.Urgency, demand.Task)
	for _, placement := range placements {
		still := minus(missing, found.freed)
		if still.Memory <= 0 && still.Accelerators <= 0 && (!processorsToo || still.Processors <= roundingSlack) {
			break
		}
		share := dominantShare(placement.Holds, p.total)
		if placement.Urgency <= demand.Urgency || !placement.CanStop || share > spare[placement.Urgency] {
			continue
		}
		spare[placement.Urgency] -= share
		found.vacate(placement, p.problem.Now, reason)
	}
	for _, placement := range placements {
		if minus(missing, found.freed).Processors <= roundingSlack {
			break
		}
		freed := throttled(placement)
		share := dominantShare(freed, p.total)
		if placement.Urgency <= demand.Urgency || found.includes(placement.Task) || freed.Processors <= 0 || share > spare[placement.Urgency] {
			continue
		}
		spare[placement.Urgency] -= share
		found.throttle(placement, reason)
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

// byPreemptionOrder orders the least urgent first, then those that lose the least work.
func byPreemptionOrder(a, b Placement) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		b.WorkSince.Compare(a.WorkSince),
		cmp.Compare(a.Task, b.Task),
	)
}

func throttled(placement Placement) acaciatally.Resources {
	if placement.Share <= throttledShare {
		return acaciatally.Resources{}
	}
	return acaciatally.Resources{Processors: placement.Holds.Processors * (1 - throttledShare/placement.Share)}
}

func (r *preemptionOption) includes(task string) bool {
	return slices.ContainsFunc(r.preemptions, func(preempt Preemption) bool { return preempt.Task == task })
}

func (r *preemptionOption) vacate(placement Placement, now time.Time, reason string) {
	r.preemptions = append(r.preemptions, Preemption{Task: placement.Task, Vacate: true, Reason: reason})
	r.freed = plus(r.freed, placement.Holds)
	r.cost += now.Sub(placement.WorkSince).Seconds()
}

func (r *preemptionOption) throttle(placement Placement, reason string) {
	r.preemptions = append(r.preemptions, Preemption{Task: placement.Task, Share: throttledShare, Reason: reason})
	r.freed = plus(r.freed, throttled(placement))
	r.cost += throttleCost
}

// take carries out an option in the planner's view of the worker.
func (p *planner) take(load *WorkerLoad, chosen preemptionOption) {
	load.Free = plus(load.Free, chosen.freed)
	p.plan.Preemptions = append(p.plan.Preemptions, chosen.preemptions...)
	kept := load.Placements[:0:0]
	for _, placement := range load.Placements {
		index := slices.IndexFunc(chosen.preemptions, func(preempt Preemption) bool { return preempt.Task == placement.Task })
		if index < 0 {
			kept = append(kept, placement)
			continue
		}
		freed := placement.Holds
		if !chosen.preemptions[index].Vacate {
			freed = throttled(placement)
			placement.Holds = minus(placement.Holds, freed)
			placement.Share = throttledShare
			kept = append(kept, placement)
		}
		p.classUse[placement.Urgency] = minus(p.classUse[placement.Urgency], freed)
		p.teamUse[placement.Team] -= freed.Processors
	}
	load.Placements = kept
}
