package queue

import "time"

const notQueued = -1

// ticket is a queued item with its indexes in the two heaps that contain it.
type ticket struct {
	item          Item
	arrived       time.Time
	deadlineNanos int64
	sequence      uint64
	flow          *flow
	positions     [2]int
}

// The heaps that contain a ticket, as indexes into ticket.positions.
const (
	flowHeapKind  = iota // tickets of one flow
	queueHeapKind        // all tickets of the queue, to find expired ones
)

// ticketHeap orders tickets by deadline, then by arrival.
type ticketHeap struct {
	list []*ticket
	kind int
}

func (h *ticketHeap) Len() int { return len(h.list) }

func (h *ticketHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.deadlineNanos != b.deadlineNanos {
		return a.deadlineNanos < b.deadlineNanos
	}
	return a.sequence < b.sequence
}

func (h *ticketHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].positions[h.kind], h.list[j].positions[h.kind] = i, j
}

func (h *ticketHeap) Push(value any) {
	added := value.(*ticket)
	added.positions[h.kind] = len(h.list)
	h.list = append(h.list, added)
}

func (h *ticketHeap) Pop() any {
	last := len(h.list) - 1
	removed := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	removed.positions[h.kind] = notQueued
	return removed
}

// flowHeap orders the flows of a class and keeps totals over them.
type flowHeap struct {
	list        []*flow
	length      int     // queued items
	withinQuota int     // queued items that can be granted before their teams reach their quotas
	weight      float64 // total weight of the flows' teams
}

func (h *flowHeap) Len() int { return len(h.list) }

func (h *flowHeap) Less(i, j int) bool { return h.list[i].before(h.list[j]) }

func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].position, h.list[j].position = i, j
}

func (h *flowHeap) Push(value any) {
	added := value.(*flow)
	added.position = len(h.list)
	h.list = append(h.list, added)
}

func (h *flowHeap) Pop() any {
	last := len(h.list) - 1
	removed := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	removed.position = notQueued
	return removed
}
