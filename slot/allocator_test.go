package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// allocatorModel drives two slot homes of one pool with the tickets of simulated callers.
type allocatorModel struct {
	t          *rapid.T
	now        time.Time
	allocators []*allocator
	workers    int
	callers    []*caller
	lastSlotID int
}

// caller is a simulated caller with its ticket at one allocator.
type caller struct {
	allocator *allocator
	ticket    *ticket
}

func newAllocatorModel(t *rapid.T) *allocatorModel {
	m := &allocatorModel{t: t, now: time.Unix(1000, 0), workers: 3}
	for range 2 {
		m.allocators = append(m.allocators, newAllocator(queue.Config{}, route.Config{}, 0.05))
	}
	m.setWorkers(3)
	return m
}

func (m *allocatorModel) setWorkers(count int) {
	m.workers = count
	var workers []route.Worker
	for i := range count {
		workers = append(workers, route.Worker{ID: acaciatally.InstanceID(fmt.Sprintf("worker-%d", i)), Slots: 2})
	}
	for _, alloc := range m.allocators {
		alloc.setWorkers(workers)
	}
}

func (m *allocatorModel) enqueue() {
	m.lastSlotID++
	t := newTicket(queue.Item{Team: "t", Urgency: acaciatally.Normal, Deadline: m.now.Add(time.Minute)})
	t.slotID = fmt.Sprint(m.lastSlotID)
	alloc := m.allocators[rapid.IntRange(0, 1).Draw(m.t, "allocator")]
	if alloc.enqueue(m.now, t) == nil {
		m.callers = append(m.callers, &caller{allocator: alloc, ticket: t})
	}
}

// takeCaller removes and returns a random caller, or returns nil if there is none.
func (m *allocatorModel) takeCaller() *caller {
	if len(m.callers) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(m.callers)-1).Draw(m.t, "caller")
	taken := m.callers[i]
	m.callers = append(m.callers[:i], m.callers[i+1:]...)
	return taken
}

func (m *allocatorModel) release() {
	if c := m.takeCaller(); c != nil {
		c.allocator.release(m.now, c.ticket, acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
		c.allocator.release(m.now, c.ticket, acaciatally.AttemptResult{}) // a second release must do nothing
	}
}

func (m *allocatorModel) breakStream() {
	if c := m.takeCaller(); c != nil {
		c.allocator.holderLost(m.now, c.ticket)
	}
}

// moveCaller moves a random caller to the other allocator: a held slot is reported there, a waiting request is enqueued again.
func (m *allocatorModel) moveCaller() {
	c := m.takeCaller()
	if c == nil {
		return
	}
	other := m.allocators[0]
	if other == c.allocator {
		other = m.allocators[1]
	}
	moved := newTicket(c.ticket.item)
	moved.slotID = c.ticket.slotID
	wasHeld, worker := c.ticket.phase == phaseHeld, c.ticket.worker
	c.allocator.holderLost(m.now, c.ticket)
	if wasHeld {
		other.addHeld(m.now, moved, worker)
	} else if other.enqueue(m.now, moved) != nil {
		return
	}
	m.callers = append(m.callers, &caller{allocator: other, ticket: moved})
}

func (m *allocatorModel) advance(span time.Duration) {
	m.now = m.now.Add(span)
	for _, alloc := range m.allocators {
		alloc.expire(m.now)
		alloc.grant(m.now)
	}
}

func (m *allocatorModel) check() {
	for _, alloc := range m.allocators {
		heldCount, busy := 0, 0
		for _, t := range alloc.tickets {
			if t.phase == phaseHeld {
				heldCount++
			}
		}
		for _, count := range alloc.busy {
			busy += count
		}
		stats := alloc.queue.Stats()
		require.Equal(m.t, heldCount, busy, "held slots by ticket and by worker")
		require.Equal(m.t, heldCount, stats.Held[acaciatally.Normal], "held slots by ticket and in the queue")
		require.Equal(m.t, len(alloc.tickets)-heldCount, stats.Queued[acaciatally.Normal])
		require.LessOrEqual(m.t, len(alloc.bySlotID), heldCount)
		require.Equal(m.t, len(alloc.tickets)-heldCount, alloc.waitingCount)
	}
}

// TestAccounting guards against slots that leak, stay counted twice or are never granted, under random sequences of requests, releases,
// broken streams, changes of the slot home and changes of the set of workers.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAllocatorModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) { m.enqueue() },
			"release": func(*rapid.T) { m.release() },
			"break":   func(*rapid.T) { m.breakStream() },
			"move":    func(*rapid.T) { m.moveCaller() },
			"workers": func(t *rapid.T) { m.setWorkers(rapid.IntRange(0, 3).Draw(t, "workers")) },
			"time":    func(*rapid.T) { m.advance(50 * time.Millisecond) },
			"":        func(*rapid.T) { m.check() },
		})
		m.setWorkers(3)
		m.advance(4 * time.Second) // slots of broken streams are reclaimed
		for rounds := 0; len(m.callers) > 0; rounds++ {
			require.Less(t, rounds, 200, "a request is never granted")
			m.releaseHeld()
			m.advance(time.Second)
		}
		m.check()
		for _, alloc := range m.allocators {
			require.Empty(t, alloc.tickets)
			require.Empty(t, alloc.busy)
			require.Empty(t, alloc.bySlotID)
		}
	})
}

// TestHeldSlotReportedTwice guards against a slot that is counted twice because its holder reports it again after a broken stream, before
// or after the slot home has noticed the break.
func TestHeldSlotReportedTwice(t *testing.T) {
	for name, noticed := range map[string]bool{"break noticed": true, "break not noticed": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := newAllocator(queue.Config{}, route.Config{}, 0.05)
			a.setWorkers([]route.Worker{{ID: "worker-0", Slots: 2}})
			first := newTicket(queue.Item{Team: "t", Deadline: now.Add(time.Minute)})
			first.slotID = "1"
			require.Nil(t, a.enqueue(now, first))
			require.Len(t, a.grant(now), 1)
			if noticed {
				a.holderLost(now, first)
			}
			second := newTicket(first.item)
			second.slotID = "1"
			a.addHeld(now, second, first.worker)
			a.holderLost(now, first)
			require.Equal(t, 1, a.busy["worker-0"])
			a.release(now, second, acaciatally.AttemptResult{Status: 200})
			require.Empty(t, a.busy)
		})
	}
}

// TestSlotsHeldOnLeavingWorker guards against slots held on a removed worker that count against the capacity of the remaining workers,
// which would then stay idle.
func TestSlotsHeldOnLeavingWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAllocator(queue.Config{}, route.Config{}, 0.05)
	a.setWorkers([]route.Worker{{ID: "worker-0", Slots: 2}})
	enqueue := func() {
		require.Nil(t, a.enqueue(now, newTicket(queue.Item{Team: "t", Deadline: now.Add(time.Minute)})))
	}
	enqueue()
	enqueue()
	require.Len(t, a.grant(now), 2)
	a.setWorkers([]route.Worker{{ID: "worker-1", Slots: 2}})
	enqueue()
	enqueue()
	require.Len(t, a.grant(now), 2)
	require.Equal(t, 2, a.busy["worker-1"])
}

// releaseHeld releases the held slots and keeps the waiting callers.
func (m *allocatorModel) releaseHeld() {
	var rest []*caller
	for _, c := range m.callers {
		switch c.ticket.phase {
		case phaseHeld:
			c.allocator.release(m.now, c.ticket, acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
		case phaseWaiting:
			rest = append(rest, c)
		default: // refused or expired
		}
	}
	m.callers = rest
}
