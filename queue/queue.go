package queue

import (
	"container/heap"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

// Queue schedules one pool; it is not safe for concurrent use.
type Queue struct {
	config    Config
	classes   [acaciatally.UrgencyClasses]class
	teams     map[acaciatally.TeamName]*team
	tickets   map[string]*ticket
	grants    map[string]*grant
	deadlines ticketHeap
	lapsed    []Item // past their deadline and not yet returned by Expire
	bytes     int64
	held      int
	sequence  uint64
	slots     int // usable slots of the pool, as last told to Next
	floorTime float64
	service   serviceTimes
}

// New returns an empty queue.
func New(config Config) *Queue {
	created := &Queue{
		config:    config.withDefaults(),
		teams:     map[acaciatally.TeamName]*team{},
		tickets:   map[string]*ticket{},
		grants:    map[string]*grant{},
		deadlines: ticketHeap{kind: byPool},
	}
	for urgency := range created.classes {
		created.classes[urgency].floor = created.config.Floors[urgency]
	}
	return created
}

// Push queues an item whose id is in use nowhere else in the queue; it fails with *acaciatally.Refusal when a bound or the
// expected wait forbids it.
func (q *Queue) Push(now time.Time, item Item) (err error) {
	if !item.valid() {
		return admission.Invalid("unknown urgency class")
	}
	q.sequence++
	added := &ticket{item: item, arrived: now, due: due(item.Deadline), sequence: q.sequence, flow: q.flow(item)}
	if refusal := q.forbids(now, added); refusal != nil {
		added.flow.class.refused++
		return refusal
	}
	q.add(added)
	return nil
}

// Cancel removes a queued item and reports whether it was queued.
func (q *Queue) Cancel(id string) (found bool) {
	ticket, found := q.tickets[id]
	if found {
		q.remove(ticket)
	}
	return found
}

// Expire removes and returns the queued items whose deadline has passed or comes too early for an answer.
func (q *Queue) Expire(now time.Time) (expired []Item) {
	q.lapse(now)
	expired, q.lapsed = q.lapsed, nil
	return expired
}

// lapse sets the items whose deadline has passed aside, so that Next cannot grant them.
func (q *Queue) lapse(now time.Time) {
	limit := now.UnixNano()
	for q.deadlines.Len() > 0 && q.deadlines.list[0].due <= limit {
		q.setAside(q.deadlines.list[0])
	}
}

func (q *Queue) setAside(ticket *ticket) {
	ticket.flow.class.expired++
	q.remove(ticket)
	q.lapsed = append(q.lapsed, ticket.item)
}

// SetQuota sets the number of slots that a team may hold before it waits behind others; 0 removes the quota.
func (q *Queue) SetQuota(name acaciatally.TeamName, slots int) {
	team := q.team(name)
	team.changed(func() { team.quota = slots })
}

// Stats returns the present counts.
func (q *Queue) Stats() (stats Stats) {
	for urgency := range q.classes {
		class := &q.classes[urgency]
		stats.Queued[urgency] = class.length
		stats.QueuedBytes[urgency] = class.bytes
		stats.Held[urgency] = class.held
		stats.Refused[urgency] = class.refused
		stats.Expired[urgency] = class.expired
	}
	stats.ServiceTime = q.service.mean
	return stats
}

func (q *Queue) team(name acaciatally.TeamName) *team {
	known, found := q.teams[name]
	if !found {
		known = newTeam(&q.classes)
		q.teams[name] = known
	}
	return known
}

func (q *Queue) flow(item Item) *flow {
	return &q.team(item.Team).flows[item.Urgency]
}

func (q *Queue) add(ticket *ticket) {
	flow := ticket.flow
	flow.leave()
	flow.start()
	heap.Push(&flow.tickets, ticket)
	flow.join()
	heap.Push(&q.deadlines, ticket)
	q.tickets[ticket.item.ID] = ticket
	q.count(ticket, 1)
}

func (q *Queue) remove(ticket *ticket) {
	flow := ticket.flow
	flow.leave()
	heap.Remove(&flow.tickets, ticket.places[byTeam])
	flow.join()
	heap.Remove(&q.deadlines, ticket.places[byPool])
	delete(q.tickets, ticket.item.ID)
	q.count(ticket, -1)
}

func (q *Queue) count(ticket *ticket, sign int) {
	bytes := int64(sign) * ticket.item.Bytes
	ticket.flow.bytes += bytes
	ticket.flow.class.bytes += bytes
	ticket.flow.class.length += sign
	q.bytes += bytes
}
