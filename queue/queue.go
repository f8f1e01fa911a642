package queue

import (
	"container/heap"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

// Queue schedules the requests of one pool; it is not safe for concurrent use.
type Queue struct {
	config    Config
	classes   [acaciatally.UrgencyClasses]class
	teams     map[acaciatally.TeamName]*team
	tickets   map[string]*ticket
	grants    map[string]*grant
	deadlines ticketHeap
	expired   []Item // expired items that Expire has not returned yet
	bytes     int64
	held      int
	sequence  uint64
	slots     int     // usable slots of the pool, as last passed to Next
	floorTime float64 // largest floorTime at which a class was granted a slot below its floor
	service   serviceTimes
}

// New returns an empty queue.
func New(config Config) *Queue {
	created := &Queue{
		config:    config.withDefaults(),
		teams:     map[acaciatally.TeamName]*team{},
		tickets:   map[string]*ticket{},
		grants:    map[string]*grant{},
		deadlines: ticketHeap{kind: queueHeapKind},
	}
	for urgency := range created.classes {
		created.classes[urgency].floor = created.config.Floors[urgency]
	}
	return created
}

// Push queues an item whose id must not be queued or granted already; it fails with *acaciatally.Refusal if the id is in use, a
// bound is reached, or the expected wait exceeds the deadline.
func (q *Queue) Push(now time.Time, item Item) (err error) {
	if !item.valid() {
		return admission.RefuseInvalid("unknown urgency class")
	}
	q.sequence++
	added := &ticket{item: item, arrived: now, deadlineNanos: deadlineNanos(item.Deadline), sequence: q.sequence, flow: q.flow(item)}
	if refusal := q.checkAdmission(now, added); refusal != nil {
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

// Expire removes and returns the queued items whose deadline has passed or is too close for an answer.
func (q *Queue) Expire(now time.Time) (expired []Item) {
	q.expireDue(now)
	expired, q.expired = q.expired, nil
	return expired
}

// expireDue moves the items whose deadline has passed to the expired list, so that Next cannot grant them.
func (q *Queue) expireDue(now time.Time) {
	limit := now.UnixNano()
	for q.deadlines.Len() > 0 && q.deadlines.list[0].deadlineNanos <= limit {
		q.moveToExpired(q.deadlines.list[0])
	}
}

func (q *Queue) moveToExpired(ticket *ticket) {
	ticket.flow.class.expired++
	q.remove(ticket)
	q.expired = append(q.expired, ticket.item)
}

// SetQuota sets the number of slots that a team may hold before other teams are served first; 0 removes the quota.
func (q *Queue) SetQuota(name acaciatally.TeamName, slots int) {
	team := q.team(name)
	team.update(func() { team.quota = slots })
}

// Stats returns the current counts and the mean service time.
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
	flow.removeFromClass()
	flow.catchUpVirtualTime()
	heap.Push(&flow.tickets, ticket)
	flow.addToClass()
	heap.Push(&q.deadlines, ticket)
	q.tickets[ticket.item.ID] = ticket
	q.addQueued(ticket, 1)
}

func (q *Queue) remove(ticket *ticket) {
	flow := ticket.flow
	flow.removeFromClass()
	heap.Remove(&flow.tickets, ticket.positions[flowHeapKind])
	flow.addToClass()
	heap.Remove(&q.deadlines, ticket.positions[queueHeapKind])
	delete(q.tickets, ticket.item.ID)
	q.addQueued(ticket, -1)
}

func (q *Queue) addQueued(ticket *ticket, delta int) {
	bytes := int64(delta) * ticket.item.Bytes
	ticket.flow.bytes += bytes
	ticket.flow.class.bytes += bytes
	ticket.flow.class.length += delta
	q.bytes += bytes
}
