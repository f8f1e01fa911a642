package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// throttleCost is the cost of throttling a task, in seconds of lost work; it is small so that throttling is preferred to stopping.
const throttleCost = 0.1

// preemptionSet is a set of preemptions that frees resources on one worker.
type preemptionSet struct {
	preemptions []Preemption
	freed       acaciatally.Resources
	lostWork    float64 // seconds
}

// placeWithPreemption places a task on the worker where preempting less urgent tasks loses the least work; it returns false if no
// worker can make room for it.
func (p *planner) placeWithPreemption(candidate Candidate) bool {
	var best *WorkerLoad
	var bestSet preemptionSet
	for i := range p.input.WorkerLoads {
		load := &p.input.WorkerLoads[i]
		if !load.accepts(candidate) || !fits(candidate.Need, load.Capacity) {
			continue
		}
		found, enough := p.findPreemptions(load, subtract(candidate.Need, load.Free), candidate)
		if enough && (best == nil || found.lostWork < bestSet.lostWork) {
			best, bestSet = load, found
		}
	}
	if best == nil {
		return false
	}
	p.applyPreemptions(best, bestSet)
	p.start(candidate, best, fmt.Sprintf("%s makes room by %d less urgent tasks", best.Worker, len(bestSet.preemptions)))
	return true
}

// findPreemptions selects placements on a worker, least urgent first, whose preemption frees the missing resources. Processors are freed
// by throttling if that is enough, since it loses no work.
func (p *planner) findPreemptions(load *WorkerLoad, missing acaciatally.Resources, candidate Candidate) (found preemptionSet, enough bool) {
	placements := slices.Clone(load.Placements)
	slices.SortStableFunc(placements, byPreemptionOrder)
	if found = p.choosePreemptions(placements, missing, candidate, false); fits(missing, found.freed) {
		return found, true
	}
	found = p.choosePreemptions(placements, missing, candidate, true)
	return found, fits(missing, found.freed)
}

// choosePreemptions vacates placements for the missing memory and accelerators, and with vacateForProcessors also for the missing
// processors. It throttles other placements for the processors that are still missing.
func (p *planner) choosePreemptions(
	placements []Placement, missing acaciatally.Resources, candidate Candidate, vacateForProcessors bool,
) (found preemptionSet) {
	preemptible := p.preemptibleShares(candidate.Urgency)
	reason := fmt.Sprintf("makes room for %s task %s", candidate.Urgency, candidate.Task)
	for _, placement := range placements {
		remaining := subtract(missing, found.freed)
		if remaining.Memory <= 0 && remaining.Accelerators <= 0 && (!vacateForProcessors || remaining.Processors <= roundingTolerance) {
			break
		}
		share := dominantShare(placement.Allocated, p.total)
		if placement.Urgency <= candidate.Urgency || !placement.Preemptible || share > preemptible[placement.Urgency] {
			continue
		}
		preemptible[placement.Urgency] -= share
		found.addVacate(placement, p.input.Now, reason)
	}
	for _, placement := range placements {
		if subtract(missing, found.freed).Processors <= roundingTolerance {
			break
		}
		freed := throttleGain(placement)
		share := dominantShare(freed, p.total)
		if placement.Urgency <= candidate.Urgency || found.includes(placement.Task) || freed.Processors <= 0 || share > preemptible[placement.Urgency] {
			continue
		}
		preemptible[placement.Urgency] -= share
		found.addThrottle(placement, reason)
	}
	return found
}

// preemptibleShares returns how much each less urgent class uses beyond its floor, which more urgent tasks may take.
func (p *planner) preemptibleShares(urgency acaciatally.Urgency) (shares [acaciatally.UrgencyClasses]float64) {
	for class := urgency + 1; class < acaciatally.UrgencyClasses; class++ {
		shares[class] = dominantShare(p.classUsage[class], p.total) - p.input.Floors[class]
	}
	return shares
}

// byPreemptionOrder sorts the least urgent placements first, then those that lose the least work.
func byPreemptionOrder(a, b Placement) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		b.UnsavedSince.Compare(a.UnsavedSince),
		cmp.Compare(a.Task, b.Task),
	)
}

func throttleGain(placement Placement) acaciatally.Resources {
	if placement.Share <= minProcessorShare {
		return acaciatally.Resources{}
	}
	return acaciatally.Resources{Processors: placement.Allocated.Processors * (1 - minProcessorShare/placement.Share)}
}

func (s *preemptionSet) includes(task string) bool {
	return slices.ContainsFunc(s.preemptions, func(preemption Preemption) bool { return preemption.Task == task })
}

func (s *preemptionSet) addVacate(placement Placement, now time.Time, reason string) {
	s.preemptions = append(s.preemptions, Preemption{Task: placement.Task, Vacate: true, Reason: reason})
	s.freed = add(s.freed, placement.Allocated)
	s.lostWork += now.Sub(placement.UnsavedSince).Seconds()
}

func (s *preemptionSet) addThrottle(placement Placement, reason string) {
	s.preemptions = append(s.preemptions, Preemption{Task: placement.Task, Share: minProcessorShare, Reason: reason})
	s.freed = add(s.freed, throttleGain(placement))
	s.lostWork += throttleCost
}

// applyPreemptions adds the chosen preemptions to the plan and updates the worker's load.
func (p *planner) applyPreemptions(load *WorkerLoad, chosen preemptionSet) {
	load.Free = add(load.Free, chosen.freed)
	p.plan.Preemptions = append(p.plan.Preemptions, chosen.preemptions...)
	kept := load.Placements[:0:0]
	for _, placement := range load.Placements {
		index := slices.IndexFunc(chosen.preemptions, func(preemption Preemption) bool { return preemption.Task == placement.Task })
		if index < 0 {
			kept = append(kept, placement)
			continue
		}
		freed := placement.Allocated
		if !chosen.preemptions[index].Vacate {
			freed = throttleGain(placement)
			placement.Allocated = subtract(placement.Allocated, freed)
			placement.Share = minProcessorShare
			kept = append(kept, placement)
		}
		p.classUsage[placement.Urgency] = subtract(p.classUsage[placement.Urgency], freed)
		p.teamUsage[placement.Team] -= freed.Processors
	}
	load.Placements = kept
}
