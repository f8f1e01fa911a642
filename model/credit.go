package model

import (
	"slices"
	"time"
)

// creditTick is the time between two rounds in which the slot home lends slots.
const creditTick = 50 * time.Millisecond

// credits is the policy in which the slot home of a pool lends slots to entries, which queue alone.
type credits struct {
	simulation *simulation
	lenders    []*lender
}

// lender lends the slots of one pool; borrowers are by entry.
type lender struct {
	simulation *simulation
	pool       *pool
	borrowers  []*home
	ticking    bool
}

func newCredits(s *simulation) *credits {
	created := &credits{simulation: s}
	for _, pool := range s.pools {
		created.lenders = append(created.lenders, newLender(s, pool))
	}
	return created
}

// newLender lends the slots in equal parts at first.
func newLender(s *simulation, pool *pool) *lender {
	created := &lender{simulation: s, pool: pool}
	for _, entry := range s.entries {
		borrower := newHome(s, entry, pool.workers)
		for i := range borrower.view {
			borrower.view[i].Slots = 0
		}
		created.borrowers = append(created.borrowers, borrower)
	}
	next := 0
	for i, worker := range pool.workers {
		for range worker.slots {
			created.borrowers[next%len(created.borrowers)].view[i].Slots++
			next++
		}
	}
	return created
}

func (c *credits) submit(request *request) {
	for _, lender := range c.lenders {
		if lender.pool == request.pool {
			lender.borrowers[request.entry.index].ask(request)
			lender.tick()
		}
	}
}

// tick lends again while any entry has requests waiting.
func (l *lender) tick() {
	if l.ticking {
		return
	}
	l.ticking = true
	l.simulation.clock.after(creditTick, func() {
		l.ticking = false
		l.lend()
		if slices.ContainsFunc(l.borrowers, func(b *home) bool { return len(b.waiting) > 0 }) {
			l.tick()
		}
	})
}

// lend moves idle slots from entries above their fair part of the pool to entries below it.
func (l *lender) lend() {
	targets := l.targets()
	for to, borrower := range l.borrowers {
		for borrower.credit() < targets[to] {
			if !l.move(borrower, targets) {
				return
			}
		}
	}
}

// move lends one idle slot of an entry that has more than its target to the borrower.
func (l *lender) move(borrower *home, targets []int) (moved bool) {
	for from, owner := range l.borrowers {
		if owner.credit() <= targets[from] {
			continue
		}
		for i := range owner.view {
			if owner.view[i].Busy < owner.view[i].Slots {
				l.transfer(owner, borrower, i)
				return true
			}
		}
	}
	return false
}

func (l *lender) transfer(owner, borrower *home, worker int) {
	owner.view[worker].Slots--
	borrower.lent++
	l.simulation.between(owner.entry, l.pool.home, func() {
		l.simulation.between(l.pool.home, borrower.entry, func() {
			borrower.lent--
			borrower.view[worker].Slots++
			borrower.grant()
		})
	})
}

// targets divides the pool's slots by demand: nobody receives more than it needs, and what is short is divided equally.
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

// demand is the number of slots that a borrower could use now.
func (h *home) demand() int {
	demand := len(h.waiting)
	for _, worker := range h.view {
		demand += worker.Busy
	}
	return demand
}

// credit is the number of slots that a borrower has or is about to receive.
func (h *home) credit() int {
	credit := h.lent
	for _, worker := range h.view {
		credit += worker.Slots
	}
	return credit
}
