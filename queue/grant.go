package queue

import (
	"time"
)

// grant is a slot that an item holds.
type grant struct {
	flow    *flow
	charged time.Duration
	byFloor bool // the class was below its floor
}

// Next grants a slot to the next item, unless the items in service hold all of the pool's usable slots already.
func (q *Queue) Next(now time.Time, slots int) (item Item, found bool) {
	q.slots = slots
	q.lapse(now)
	if q.held >= slots {
		return Item{}, false
	}
	for {
		flow, byFloor := q.nextFlow(slots)
		if flow == nil {
			return Item{}, false
		}
		ticket := flow.tickets.list[0]
		if q.tooLate(now, ticket) {
			q.setAside(ticket)
			continue
		}
		q.grant(ticket, byFloor)
		return ticket.item, true
	}
}

// tooLate reports whether most requests of the flow would be cut off at the ticket's deadline if they started now. Starting
// them would take slot time from requests that can still be answered.
func (q *Queue) tooLate(now time.Time, ticket *ticket) bool {
	return ticket.due != noDeadline && ticket.item.Deadline.Sub(now) < ticket.leastTime()
}

// leastTime is the time before its deadline at which a request is worth a start: the median service time of its flow, but at
// most half of the time that it had on arrival. A request that starts promptly is so never refused because other requests
// of its team take longer.
func (t *ticket) leastTime() time.Duration {
	if t.due == noDeadline || t.flow.service.samples < fewSamples {
		return 0
	}
	return min(t.flow.service.median, t.item.Deadline.Sub(t.arrived)/2)
}

func (q *Queue) grant(ticket *ticket, byFloor bool) {
	flow := ticket.flow
	flow.class.virtual = max(flow.class.virtual, flow.virtual)
	q.remove(ticket)
	q.hold(ticket.item.ID, &grant{flow: flow, charged: q.estimate(flow), byFloor: byFloor})
}

// Hold records a slot that the item holds already, as reported after a change of slot home.
func (q *Queue) Hold(_ time.Time, item Item) {
	if _, known := q.grants[item.ID]; known {
		return
	}
	q.Cancel(item.ID)
	flow := q.flow(item)
	q.hold(item.ID, &grant{flow: flow, charged: q.estimate(flow)})
}

// Done returns the slot of a granted item; a service time of zero is not learned from.
func (q *Queue) Done(_ time.Time, item Item, serviceTime time.Duration) {
	grant, known := q.grants[item.ID]
	if !known {
		return
	}
	delete(q.grants, item.ID)
	flow := grant.flow
	flow.team.changed(func() {
		q.countHeld(flow, -1)
		flow.charge(serviceTime - grant.charged)
	})
	if grant.byFloor {
		flow.class.floorTime += flow.class.floorCost(serviceTime - grant.charged)
	}
	q.learn(flow, serviceTime)
}

func (q *Queue) hold(id string, grant *grant) {
	q.grants[id] = grant
	flow := grant.flow
	flow.team.changed(func() {
		q.countHeld(flow, 1)
		flow.charge(grant.charged)
	})
	if grant.byFloor {
		q.floorTime = max(q.floorTime, flow.class.floorTime)
		flow.class.floorTime = q.floorTime + flow.class.floorCost(grant.charged)
	}
}

func (q *Queue) countHeld(flow *flow, sign int) {
	flow.held += sign
	flow.team.held += sign
	flow.class.held += sign
	q.held += sign
}

// nextFlow returns the flow whose turn it is. Work of teams within their quotas comes before that of teams over theirs in all
// classes: otherwise a team that floods an urgent class would take the whole of that class's floor from other teams' work.
func (q *Queue) nextFlow(slots int) (next *flow, byFloor bool) {
	for _, over := range []bool{false, true} {
		if class := q.furthestBelow(slots, over); class != nil {
			return class.line(over).list[0], true
		}
		if class := q.mostUrgent(over); class != nil {
			return class.line(over).list[0], false
		}
	}
	return nil, false
}

// furthestBelow returns the class below its floor whose turn it is, or nil.
func (q *Queue) furthestBelow(slots int, over bool) (next *class) {
	for urgency := range q.classes {
		candidate := &q.classes[urgency]
		if candidate.line(over).Len() == 0 || !q.belowFloor(urgency, slots) {
			continue
		}
		if next == nil || q.furtherBelow(candidate, next) {
			next = candidate
		}
	}
	return next
}

// mostUrgent returns the most urgent class with work queued, or nil.
func (q *Queue) mostUrgent(over bool) *class {
	for urgency := range q.classes {
		if q.classes[urgency].line(over).Len() > 0 {
			return &q.classes[urgency]
		}
	}
	return nil
}

func (q *Queue) belowFloor(urgency, slots int) bool {
	return float64(q.classes[urgency].held) < q.classes[urgency].floor*float64(slots)
}

// furtherBelow orders two classes below their floors by the slot time that they received for their floors. In small pools,
// where a floor is less than one slot, the floors are so shares of slot time.
func (q *Queue) furtherBelow(a, b *class) bool {
	return max(a.floorTime, q.floorTime) < max(b.floorTime, q.floorTime)
}

// estimate is the service time that an item of the flow is expected to take.
func (q *Queue) estimate(flow *flow) time.Duration {
	for _, known := range []serviceTimes{flow.service, flow.class.service, q.service} {
		if known.samples > 0 {
			return known.mean
		}
	}
	return unknownServiceTime
}

func (q *Queue) learn(flow *flow, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	flow.service.add(serviceTime)
	flow.class.service.add(serviceTime)
	q.service.add(serviceTime)
}
