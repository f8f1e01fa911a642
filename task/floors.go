package task

import (
	"github.com/acaciatally/acaciatally"
)

// Floors are the minimum shares of the pool that are guaranteed to each urgency class while it has tasks waiting.
type Floors [acaciatally.UrgencyClasses]float64

// DefaultFloors are the same as the default floors of the request queues, so that the same rule applies to requests and tasks
// during an overload.
var DefaultFloors = Floors{0.5, 0.3, 0.1}

// respectsFloors reports whether the task fits beside the resources that are protected for other classes; a class that stays within its
// own floor always does.
func (p *planner) respectsFloors(candidate Candidate) bool {
	usage := add(p.classUsage[candidate.Urgency], candidate.Need)
	if dominantShare(usage, p.total) <= p.input.Floors[candidate.Urgency] {
		return true
	}
	for class := range acaciatally.Urgency(acaciatally.UrgencyClasses) {
		if class != candidate.Urgency {
			usage = add(usage, p.protectedUsage(class, candidate.Urgency))
		}
	}
	return fits(usage, p.total)
}

// protectedUsage returns what a class cannot lose to another one: its floor while it has tasks waiting, and all that it uses if it is
// more urgent.
func (p *planner) protectedUsage(class, other acaciatally.Urgency) acaciatally.Resources {
	used := p.classUsage[class]
	floor := scale(p.total, p.input.Floors[class])
	floor.Accelerators = int(float64(p.total.Accelerators) * p.input.Floors[class])
	switch {
	case class < other && p.classWaiting[class] > 0:
		return maxResources(used, floor)
	case class < other:
		return used
	case p.classWaiting[class] > 0:
		return floor
	}
	return minResources(used, floor)
}
