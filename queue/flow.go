package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/acaciatally/acaciatally"
)

// defaultWeight is the weight of a team without a quota, in slots: as many as one worker has.
const defaultWeight = 8

// team is what the queue knows of a team over all classes.
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

// over reports whether the team holds its whole quota.
func (t *team) over() bool { return t.quota > 0 && t.held >= t.quota }

func (t *team) weight() float64 {
	if t.quota > 0 {
		return float64(t.quota)
	}
	return defaultWeight
}

// changed runs a change of the team's quota or held slots and puts its flows into the right order again.
func (t *team) changed(change func()) {
	for i := range t.flows {
		t.flows[i].leave()
	}
	change()
	for i := range t.flows {
		t.flows[i].join()
	}
}

// flow is the queue of one team in one class.
type flow struct {
	team     *team
	class    *class
	tickets  ticketHeap
	bytes    int64
	held     int
	virtual  float64 // slot time received, in seconds divided by weight
	service  serviceTimes
	position int // in the class's heap
}

// before orders flows by the slots that they hold and then by the slot time that they received. Held slots come first because
// they show at once who takes more than its share, however long the requests turn out to run.
func (f *flow) before(other *flow) bool {
	mine, others := float64(f.held)/f.team.weight(), float64(other.held)/other.team.weight()
	if mine != others {
		return mine < others
	}
	if f.virtual != other.virtual {
		return f.virtual < other.virtual
	}
	return f.tickets.list[0].sequence < other.tickets.list[0].sequence
}

// join enters the flow into its class if it has work queued.
func (f *flow) join() {
	if f.tickets.Len() == 0 || f.position != notQueued {
		return
	}
	line := f.class.line(f.team.over())
	heap.Push(line, f)
	line.length += f.tickets.Len()
	line.weight += f.team.weight()
}

// leave takes the flow out of its class.
func (f *flow) leave() {
	if f.position == notQueued {
		return
	}
	line := f.class.line(f.team.over())
	heap.Remove(line, f.position)
	line.length -= f.tickets.Len()
	line.weight -= f.team.weight()
}

// start moves an idle flow to the class's present virtual time, so that idle time earns no credit.
func (f *flow) start() {
	if f.tickets.Len() == 0 {
		f.virtual = max(f.virtual, f.class.virtual)
	}
}

func (f *flow) charge(amount time.Duration) {
	f.virtual += amount.Seconds() / f.team.weight()
}

// class is the queue of one urgency class.
type class struct {
	floor       float64  // share of the pool's slots
	under, over flowHeap // flows of teams under and over their quotas
	length      int
	bytes       int64
	held        int
	virtual     float64 // virtual time of the flow served last
	floorTime   float64 // slot time received below the floor, in seconds divided by the floor
	service     serviceTimes
	refused     uint64
	expired     uint64
}

func (c *class) line(over bool) *flowHeap {
	if over {
		return &c.over
	}
	return &c.under
}

// floorCost is a slot time in seconds divided by the floor.
func (c *class) floorCost(amount time.Duration) float64 { return amount.Seconds() / c.floor }

// serviceTimes is what is learned about the service times of a flow, a class or the pool.
type serviceTimes struct {
	mean    time.Duration
	median  time.Duration
	samples int
}

const (
	// meanSamples is the number of samples over which a mean follows a change of the service time.
	meanSamples = 64
	// medianStep is the part by which a sample raises or lowers the median.
	medianStep = 0.05
	// fewSamples is the number of samples below which the median is not relied on.
	fewSamples = 16
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

// due returns a deadline as a number that orders items; items without a deadline come last.
func due(deadline time.Time) int64 {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline.UnixNano()
}
