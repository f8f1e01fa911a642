package model

import (
	"container/heap"
	"time"
)

// epoch is the instant at which the virtual time starts.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// clock runs events in order of virtual time.
type clock struct {
	now    time.Duration
	order  uint64
	events eventHeap
}

// after schedules a function to run once the delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(0, delay), order: c.order, run: run})
}

// time returns the virtual time as an instant.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run runs all events.
func (c *clock) run() {
	for c.events.Len() > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// eventHeap orders events by time, then by the order in which they were scheduled.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return removed
}
