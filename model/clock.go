package model

import (
	"container/heap"
	"time"
)

// epoch is the wall clock time at which the virtual time starts.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// clock is the event queue of a discrete-event simulation.
type clock struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// after schedules a function to run after the delay; a negative delay counts as 0.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + max(0, delay), sequence: c.sequence, run: run})
}

// time returns the virtual time as a wall clock time.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run runs events in order of time until none are left.
func (c *clock) run() {
	for c.events.Len() > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// eventHeap is a heap of events ordered by time, and by scheduling order for equal times.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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
