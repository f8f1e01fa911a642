package model

import (
	"slices"
	"time"
)

// rebalanceInterval is the time between two rounds in which the slot home moves slots between entries.
const rebalanceInterval = 50 * time.Millisecond

// slotCredits is the policy in which the slot home of a pool divides the slots among the entries, each of which has its own queue.
type slotCredits struct {
	simulation *simulation
	lenders    []*lender
}

// lender divides the slots of one pool; borrowers are indexed by entry.
type lender struct {
	simulation         *simulation
	pool               *pool
	borrowers          []*home
	rebalanceScheduled bool
}

func newSlotCredits(s *simulation) *slotCredits {
	created := &slotCredits{simulation: s}
	for _, pool := range s.pools {
		created.lenders = append(created.lenders, newLender(s, pool))
	}
	return created
}

// newLender returns a lender that has divided the slots equally.
func newLender(s *simulation, pool *pool) *lender {
	created := &lender{simulation: s, pool: pool}
	for _, entry := range s.entries {
		borrower := newHome(s, entry, pool.workers)
		for i := range borrower.candidates {
			borrower.candidates[i].Slots = 0
		}
		created.borrowers = append(created.borrowers, borrower)
	}
	next := 0
	for i, worker := range pool.workers {
		for range worker.slots {
			created.borrowers[next%len(created.borrowers)].candidates[i].Slots++
			next++
		}
	}
	return created
}

func (c *slotCredits) submit(request *request) {
	for _, lender := range c.lenders {
		if lender.pool == request.pool {
			lender.borrowers[request.entry.index].requestSlot(request)
			lender.scheduleRebalance()
		}
	}
}

// scheduleRebalance repeats rebalance while any entry has requests waiting.
func (l *lender) scheduleRebalance() {
	if l.rebalanceScheduled {
		return
	}
	l.rebalanceScheduled = true
	l.simulation.clock.after(rebalanceInterval, func() {
		l.rebalanceScheduled = false
		l.rebalance()
		if slices.ContainsFunc(l.borrowers, func(b *home) bool { return len(b.waiting) > 0 }) {
			l.scheduleRebalance()
		}
	})
}

// rebalance moves idle slots from entries that have more than their target to entries that have fewer.
func (l *lender) rebalance() {
	targets := l.targets()
	for to, borrower := range l.borrowers {
		for borrower.credit() < targets[to] {
			if !l.moveSlot(borrower, targets) {
				return
			}
		}
	}
}

// moveSlot moves one idle slot from an entry that has more than its target to the borrower; moved is false if there is none.
func (l *lender) moveSlot(borrower *home, targets []int) (moved bool) {
	for from, owner := range l.borrowers {
		if owner.credit() <= targets[from] {
			continue
		}
		for i := range owner.candidates {
			if owner.candidates[i].BusySlots < owner.candidates[i].Slots {
				l.transfer(owner, borrower, i)
				return true
			}
		}
	}
	return false
}

// transfer moves a slot by way of the slot home; until it arrives it is counted as in transit to the borrower.
func (l *lender) transfer(owner, borrower *home, worker int) {
	owner.candidates[worker].Slots--
	borrower.slotsInTransit++
	l.simulation.sendBetween(owner.entry, l.pool.home, func() {
		l.simulation.sendBetween(l.pool.home, borrower.entry, func() {
			borrower.slotsInTransit--
			borrower.candidates[worker].Slots++
			borrower.grant()
		})
	})
}

// targets returns the number of slots for each borrower by max-min fairness: none receives more than its demand, and slots in short
// supply are divided equally.
func (l *lender) targets() []int {
	targets := make([]int, len(l.borrowers))
	left := l.pool.slots
	for progress := true; left > 0 && progress; {
		progress = false
		for i, borrower := range l.borrowers {
			if left > 0 && targets[i] < borrower.demand() {
				targets[i]++
				left--
				progress = true
			}
		}
	}
	return targets
}

// demand returns the number of slots that a borrower could use now.
func (h *home) demand() int {
	demand := len(h.waiting)
	for _, worker := range h.candidates {
		demand += worker.BusySlots
	}
	return demand
}

// credit returns the number of slots that a borrower has, including those in transit to it.
func (h *home) credit() int {
	credit := h.slotsInTransit
	for _, worker := range h.candidates {
		credit += worker.Slots
	}
	return credit
}
