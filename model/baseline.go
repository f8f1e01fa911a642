package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
	"github.com/acaciatally/acaciatally/queue"
)

// baselineQueueLength bounds the baselines' queues like the pool's queue.
const baselineQueueLength = 4096

// arrivalOrder is a single bounded queue in order of arrival.
type arrivalOrder struct {
	max     int
	held    int
	items   []queue.Item
	expired []queue.Item
}

// Push queues the item unless the queue is full.
func (a *arrivalOrder) Push(_ time.Time, item queue.Item) (err error) {
	if len(a.items) >= a.max {
		return admission.Full("the queue is full", 0)
	}
	a.items = append(a.items, item)
	return nil
}

// Next grants a slot to the oldest item that has not expired.
func (a *arrivalOrder) Next(now time.Time, slots int) (item queue.Item, found bool) {
	if a.held >= slots {
		return queue.Item{}, false
	}
	a.lapse(now)
	if len(a.items) == 0 {
		return queue.Item{}, false
	}
	item, a.items = a.items[0], a.items[1:]
	a.held++
	return item, true
}

// Done returns a slot.
func (a *arrivalOrder) Done(time.Time, queue.Item, time.Duration) { a.held-- }

// Expire returns the expired items that reached the head of the queue.
func (a *arrivalOrder) Expire(now time.Time) (expired []queue.Item) {
	a.lapse(now)
	expired, a.expired = a.expired, nil
	return expired
}

func (a *arrivalOrder) lapse(now time.Time) {
	for len(a.items) > 0 && !a.items[0].Deadline.After(now) {
		a.expired = append(a.expired, a.items[0])
		a.items = a.items[1:]
	}
}

// strictPriority is one queue in order of arrival for each urgency class; a class is served when more urgent ones are empty.
type strictPriority struct {
	held    int
	classes [acaciatally.UrgencyClasses]arrivalOrder
}

func newStrictPriority() *strictPriority {
	created := &strictPriority{}
	for i := range created.classes {
		created.classes[i].max = baselineQueueLength / acaciatally.UrgencyClasses
	}
	return created
}

// Push queues the item unless the queue of its class is full.
func (p *strictPriority) Push(now time.Time, item queue.Item) (err error) {
	return p.classes[item.Urgency].Push(now, item)
}

// Next grants a slot to the oldest item of the most urgent class.
func (p *strictPriority) Next(now time.Time, slots int) (item queue.Item, found bool) {
	if p.held >= slots {
		return queue.Item{}, false
	}
	for i := range p.classes {
		class := &p.classes[i]
		if item, found = class.Next(now, class.held+1); found {
			p.held++
			return item, true
		}
	}
	return queue.Item{}, false
}

// Done returns a slot.
func (p *strictPriority) Done(now time.Time, item queue.Item, serviceTime time.Duration) {
	p.held--
	p.classes[item.Urgency].Done(now, item, serviceTime)
}

// Expire returns the expired items that reached the heads of the queues.
func (p *strictPriority) Expire(now time.Time) (expired []queue.Item) {
	for i := range p.classes {
		expired = append(expired, p.classes[i].Expire(now)...)
	}
	return expired
}
