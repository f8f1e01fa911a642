package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
	"github.com/acaciatally/acaciatally/queue"
)

// baselineQueueLength limits the queues of the baselines to the length of the pool queue.
const baselineQueueLength = 4096

// fifoQueue is a bounded FIFO queue.
type fifoQueue struct {
	maxLength int
	held      int
	items     []queue.Item
	expired   []queue.Item
}

// Push queues the item; it fails with a Refusal if the queue is full.
func (q *fifoQueue) Push(_ time.Time, item queue.Item) (err error) {
	if len(q.items) >= q.maxLength {
		return admission.RefuseOverload("the queue is full", 0)
	}
	q.items = append(q.items, item)
	return nil
}

// Next grants a slot to the oldest item that has not expired, if one of the slots is free.
func (q *fifoQueue) Next(now time.Time, slots int) (item queue.Item, found bool) {
	if q.held >= slots {
		return queue.Item{}, false
	}
	q.removeExpired(now)
	if len(q.items) == 0 {
		return queue.Item{}, false
	}
	item, q.items = q.items[0], q.items[1:]
	q.held++
	return item, true
}

// Release releases a slot.
func (q *fifoQueue) Release(time.Time, queue.Item, time.Duration) { q.held-- }

// Expire returns the expired items that were removed from the head of the queue since the last call.
func (q *fifoQueue) Expire(now time.Time) (expired []queue.Item) {
	q.removeExpired(now)
	expired, q.expired = q.expired, nil
	return expired
}

func (q *fifoQueue) removeExpired(now time.Time) {
	for len(q.items) > 0 && !q.items[0].Deadline.After(now) {
		q.expired = append(q.expired, q.items[0])
		q.items = q.items[1:]
	}
}

// strictPriorityQueue has a FIFO queue for each urgency class; a class is served only when all more urgent ones are empty.
type strictPriorityQueue struct {
	held    int
	classes [acaciatally.UrgencyClasses]fifoQueue
}

func newStrictPriorityQueue() *strictPriorityQueue {
	created := &strictPriorityQueue{}
	for i := range created.classes {
		created.classes[i].maxLength = baselineQueueLength / acaciatally.UrgencyClasses
	}
	return created
}

// Push queues the item; it fails with a Refusal if the queue of its class is full.
func (q *strictPriorityQueue) Push(now time.Time, item queue.Item) (err error) {
	return q.classes[item.Urgency].Push(now, item)
}

// Next grants a slot to the oldest item of the most urgent class that has one, if one of the slots is free.
func (q *strictPriorityQueue) Next(now time.Time, slots int) (item queue.Item, found bool) {
	if q.held >= slots {
		return queue.Item{}, false
	}
	for i := range q.classes {
		class := &q.classes[i]
		if item, found = class.Next(now, class.held+1); found {
			q.held++
			return item, true
		}
	}
	return queue.Item{}, false
}

// Release releases a slot.
func (q *strictPriorityQueue) Release(now time.Time, item queue.Item, serviceTime time.Duration) {
	q.held--
	q.classes[item.Urgency].Release(now, item, serviceTime)
}

// Expire returns the expired items that were removed from the heads of the queues since the last call.
func (q *strictPriorityQueue) Expire(now time.Time) (expired []queue.Item) {
	for i := range q.classes {
		expired = append(expired, q.classes[i].Expire(now)...)
	}
	return expired
}
