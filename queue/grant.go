package queue

import (
	"time"
)

// grant records a slot held by an item.
type grant struct {
	flow       *flow
	charged    time.Duration // estimated service time, corrected when the slot is returned
	belowFloor bool          // the class was below its floor when the slot was granted
}

// Next grants a slot to the next item, unless the granted items already hold all usable slots of the pool.
func (q *Queue) Next(now time.Time, slots int) (item Item, found bool) {
	q.slots = slots
	q.expireDue(now)
	if q.held >= slots {
		return Item{}, false
	}
	for {
		flow, belowFloor := q.nextFlow(slots)
		if flow == nil {
			return Item{}, false
		}
		ticket := flow.tickets.list[0]
		if q.isTooLate(now, ticket) {
			q.moveToExpired(ticket)
			continue
		}
		q.grant(ticket, belowFloor)
		return ticket.item, true
	}
}

// isTooLate reports whether most requests of the flow would be cut off at the ticket's deadline if they started now. Starting such a
// request would take slot time from requests that can still be answered.
func (q *Queue) isTooLate(now time.Time, ticket *ticket) bool {
	return ticket.deadlineNanos != noDeadline && ticket.item.Deadline.Sub(now) < ticket.minRemainingTime()
}

// minRemainingTime returns the time that must remain until the deadline for a request to be started: the median service time of its
// flow, but at most half of the time that remained on arrival. The cap keeps a request that starts promptly from being refused
// because other requests of its team take longer.
func (t *ticket) minRemainingTime() time.Duration {
	if t.deadlineNanos == noDeadline || t.flow.service.samples < minMedianSamples {
		return 0
	}
	return min(t.flow.service.median, t.item.Deadline.Sub(t.arrived)/2)
}

func (q *Queue) grant(ticket *ticket, belowFloor bool) {
	flow := ticket.flow
	flow.class.virtualTime = max(flow.class.virtualTime, flow.virtualTime)
	q.remove(ticket)
	q.addGrant(ticket.item.ID, &grant{flow: flow, charged: q.estimate(flow), belowFloor: belowFloor})
}

// AddHeld records a slot that the item already holds, as entries report after the pool's slot home has moved.
func (q *Queue) AddHeld(_ time.Time, item Item) {
	if _, known := q.grants[item.ID]; known {
		return
	}
	q.Cancel(item.ID)
	flow := q.flow(item)
	q.addGrant(item.ID, &grant{flow: flow, charged: q.estimate(flow)})
}

// Release returns the slot of a granted item; a service time of zero does not change the estimates.
func (q *Queue) Release(_ time.Time, item Item, serviceTime time.Duration) {
	grant, known := q.grants[item.ID]
	if !known {
		return
	}
	delete(q.grants, item.ID)
	flow := grant.flow
	flow.team.update(func() {
		q.addHeld(flow, -1)
		flow.charge(serviceTime - grant.charged)
	})
	if grant.belowFloor {
		flow.class.floorTime += flow.class.floorCost(serviceTime - grant.charged)
	}
	q.recordServiceTime(flow, serviceTime)
}

func (q *Queue) addGrant(id string, grant *grant) {
	q.grants[id] = grant
	flow := grant.flow
	flow.team.update(func() {
		q.addHeld(flow, 1)
		flow.charge(grant.charged)
	})
	if grant.belowFloor {
		q.floorTime = max(q.floorTime, flow.class.floorTime)
		flow.class.floorTime = q.floorTime + flow.class.floorCost(grant.charged)
	}
}

func (q *Queue) addHeld(flow *flow, delta int) {
	flow.held += delta
	flow.team.held += delta
	flow.class.held += delta
	q.held += delta
}

// nextFlow returns the flow to grant next. Teams below their quotas come before teams at their quotas across all classes; otherwise
// a team that overloads an urgent class would take that class's whole floor away from other teams.
func (q *Queue) nextFlow(slots int) (next *flow, belowFloor bool) {
	for _, atQuota := range []bool{false, true} {
		if class := q.nextClassBelowFloor(slots, atQuota); class != nil {
			return class.flows(atQuota).list[0], true
		}
		if class := q.mostUrgentClass(atQuota); class != nil {
			return class.flows(atQuota).list[0], false
		}
	}
	return nil, false
}

// nextClassBelowFloor returns the class that is below its floor and has received the least slot time for it, or nil.
func (q *Queue) nextClassBelowFloor(slots int, atQuota bool) (next *class) {
	for urgency := range q.classes {
		candidate := &q.classes[urgency]
		if candidate.flows(atQuota).Len() == 0 || !q.belowFloor(urgency, slots) {
			continue
		}
		if next == nil || q.lessFloorTime(candidate, next) {
			next = candidate
		}
	}
	return next
}

// mostUrgentClass returns the most urgent class with queued items, or nil.
func (q *Queue) mostUrgentClass(atQuota bool) *class {
	for urgency := range q.classes {
		if q.classes[urgency].flows(atQuota).Len() > 0 {
			return &q.classes[urgency]
		}
	}
	return nil
}

func (q *Queue) belowFloor(urgency, slots int) bool {
	return float64(q.classes[urgency].held) < q.classes[urgency].floor*float64(slots)
}

// lessFloorTime orders two classes below their floors by the slot time received for their floors. In small pools, where a floor is
// less than one slot, this turns floors into shares of slot time.
func (q *Queue) lessFloorTime(a, b *class) bool {
	return max(a.floorTime, q.floorTime) < max(b.floorTime, q.floorTime)
}

// estimate returns the expected service time of an item of the flow.
func (q *Queue) estimate(flow *flow) time.Duration {
	for _, known := range []serviceTimes{flow.service, flow.class.service, q.service} {
		if known.samples > 0 {
			return known.mean
		}
	}
	return defaultServiceTime
}

func (q *Queue) recordServiceTime(flow *flow, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	flow.service.add(serviceTime)
	flow.class.service.add(serviceTime)
	q.service.add(serviceTime)
}
