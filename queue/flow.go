package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/acaciatally/acaciatally"
)

// defaultWeight is the weight, in slots, of a team without a quota: the number of slots of one worker.
const defaultWeight = 8

// team holds the state of a team across all classes.
type team struct {
	quota int // slots, 0 for none
	held  int
	flows [acaciatally.UrgencyClasses]flow
}

func newTeam(classes *[acaciatally.UrgencyClasses]class) *team {
	created := &team{}
	for urgency := range created.flows {
		created.flows[urgency] = flow{team: created, class: &classes[urgency], position: notQueued}
	}
	return created
}

// atQuota reports whether the team has a quota and holds all of it.
func (t *team) atQuota() bool { return t.quota > 0 && t.held >= t.quota }

func (t *team) weight() float64 {
	if t.quota > 0 {
		return float64(t.quota)
	}
	return defaultWeight
}

// update applies a change to the team's quota or held slots and restores the order of its flows in their classes.
func (t *team) update(change func()) {
	for i := range t.flows {
		t.flows[i].removeFromClass()
	}
	change()
	for i := range t.flows {
		t.flows[i].addToClass()
	}
}

// flow is the queue of one team in one class.
type flow struct {
	team        *team
	class       *class
	tickets     ticketHeap
	bytes       int64
	held        int
	virtualTime float64 // slot time received, in seconds divided by the team's weight
	service     serviceTimes
	position    int // index in the class's heap
}

// before orders flows by held slots and then by received slot time, both divided by the team's weight. Held slots come first because
// they reveal at once which team exceeds its share, before it is known how long its requests run.
func (f *flow) before(other *flow) bool {
	load, otherLoad := float64(f.held)/f.team.weight(), float64(other.held)/other.team.weight()
	if load != otherLoad {
		return load < otherLoad
	}
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	return f.tickets.list[0].sequence < other.tickets.list[0].sequence
}

// addToClass adds the flow to its class if it has queued items.
func (f *flow) addToClass() {
	if f.tickets.Len() == 0 || f.position != notQueued {
		return
	}
	flows := f.class.flows(f.team.atQuota())
	heap.Push(flows, f)
	flows.length += f.tickets.Len()
	flows.withinQuota += f.withinQuota()
	flows.weight += f.team.weight()
}

// removeFromClass removes the flow from its class.
func (f *flow) removeFromClass() {
	if f.position == notQueued {
		return
	}
	flows := f.class.flows(f.team.atQuota())
	heap.Remove(flows, f.position)
	flows.length -= f.tickets.Len()
	flows.withinQuota -= f.withinQuota()
	flows.weight -= f.team.weight()
}

// withinQuota returns the number of queued items that can be granted before the team reaches its quota.
func (f *flow) withinQuota() int {
	if f.team.quota == 0 {
		return f.tickets.Len()
	}
	return min(f.tickets.Len(), max(0, f.team.quota-f.team.held))
}

// catchUpVirtualTime advances an idle flow to the class's current virtual time, so that a team earns no credit for idle time.
func (f *flow) catchUpVirtualTime() {
	if f.tickets.Len() == 0 {
		f.virtualTime = max(f.virtualTime, f.class.virtualTime)
	}
}

func (f *flow) charge(amount time.Duration) {
	f.virtualTime += amount.Seconds() / f.team.weight()
}

// class is the queue of one urgency class.
type class struct {
	floor               float64  // share of the pool's slots
	underQuota, atQuota flowHeap // flows of teams below their quotas, and of teams at or above them
	length              int
	bytes               int64
	held                int
	virtualTime         float64 // virtual time of the flow granted last
	floorTime           float64 // slot time received while below the floor, in seconds divided by the floor
	service             serviceTimes
	refused             uint64
	expired             uint64
}

func (c *class) flows(atQuota bool) *flowHeap {
	if atQuota {
		return &c.atQuota
	}
	return &c.underQuota
}

// floorCost returns a slot time in seconds divided by the floor.
func (c *class) floorCost(amount time.Duration) float64 { return amount.Seconds() / c.floor }

// serviceTimes estimates the service time of a flow, a class or the pool.
type serviceTimes struct {
	mean    time.Duration
	median  time.Duration
	samples int
}

const (
	// meanSamples is the number of samples that the moving average covers.
	meanSamples = 64
	// medianStep is the fraction by which a sample raises or lowers the median estimate.
	medianStep = 0.05
	// minMedianSamples is the number of samples below which the median estimate is not used.
	minMedianSamples = 16
)

func (s *serviceTimes) add(sample time.Duration) {
	s.samples = min(s.samples+1, meanSamples)
	s.mean += (sample - s.mean) / time.Duration(s.samples)
	switch {
	case s.samples == 1:
		s.median = sample
	case sample > s.median:
		s.median += time.Duration(medianStep * float64(s.median))
	default:
		s.median -= time.Duration(medianStep * float64(s.median))
	}
}

const noDeadline = math.MaxInt64

// deadlineNanos converts a deadline to nanoseconds for ordering; items without a deadline sort last.
func deadlineNanos(deadline time.Time) int64 {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline.UnixNano()
}
