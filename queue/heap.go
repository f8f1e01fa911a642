package queue

import "time"

const notQueued = -1

// ticket is a queued item and its places in the two heaps that hold it.
type ticket struct {
	item     Item
	arrived  time.Time
	due      int64
	sequence uint64
	flow     *flow
	places   [2]int
}

// The two kinds of heaps that hold a ticket.
const (
	byTeam = iota // tickets of one flow
	byPool        // tickets of the whole queue, to find the expired ones
)

// ticketHeap orders tickets by deadline, then by arrival.
type ticketHeap struct {
	list []*ticket
	kind int
}

func (h *ticketHeap) Len() int { return len(h.list) }

func (h *ticketHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

func (h *ticketHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].places[h.kind], h.list[j].places[h.kind] = i, j
}

func (h *ticketHeap) Push(value any) {
	added := value.(*ticket)
	added.places[h.kind] = len(h.list)
	h.list = append(h.list, added)
}

func (h *ticketHeap) Pop() any {
	last := len(h.list) - 1
	removed := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	removed.places[h.kind] = notQueued
	return removed
}

// flowHeap orders the flows of a class and sums what they have queued.
type flowHeap struct {
	list   []*flow
	length int     // queued items
	weight float64 // of the flows
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
