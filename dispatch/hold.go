package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

const (
	// holdTime is how long a worker is held after a check; the next check, if it comes to the same result, holds it again.
	holdTime = 2 * checkInterval
	// holdRunsEnding is the time within which enough runs on a worker have to end for it to be held. Until they have ended, room is unused.
	holdRunsEnding = 2 * time.Second
	// maxHeldPart is the part of a pool's workers that is held at most, as a divisor.
	maxHeldPart = 4
)

// holdPlace is a worker that may be held.
type holdPlace struct {
	c    *candidate
	free acaciatally.ResourceVector // now, or once the runs that are being stopped have ended
	runs []*task                    // that end soon, or may be stopped once the task fits with their capacity
}

// holdFor holds a worker for a task that fits nowhere: until the task fits there, no work runs on lent capacity on the worker. Otherwise small tasks
// of an account above its share take room as soon as it becomes free, and there is never enough for a large one. It returns whether there is
// such a worker.
func (r *reclaimCheck) holdFor(t *task) bool {
	if len(r.holding) >= max(1, len(r.set.candidates)/maxHeldPart) {
		return false
	}
	return r.holdPlaceFor(t)
}

// holdForGang holds workers for all members of a gang, or none. A gang starts only as a whole, so maxHeldPart does not apply to it.
func (r *reclaimCheck) holdForGang(members []*task) bool {
	a := members[0].job.account
	using := a.used.Plus(a.coming).Minus(a.leaving)
	if r.share(using.Plus(members[0].step.Reserved().Times(len(members)))) > r.pool.entitledTo(a) {
		return false
	}
	r.collectHoldPlaces()
	places, holding, coming := slices.Clone(r.holdPlaces), len(r.holding), a.coming
	for _, t := range members {
		if !r.holdPlaceFor(t) {
			r.holdPlaces, r.holding, a.coming = places, r.holding[:holding], coming
			return false
		}
	}
	return true
}

// holdPlaceFor holds a worker for a task, and returns whether there is one.
func (r *reclaimCheck) holdPlaceFor(t *task) bool {
	r.collectHoldPlaces()
	best := slices.IndexFunc(r.holdPlaces, func(place holdPlace) bool {
		c := place.c
		return c.mayTake(t) && !t.avoids(c.w, r.now) && r.scheduler.permitted(t, c.w.entry.ID, r.now) && r.fitsLater(&place, t)
	})
	if best < 0 {
		return false
	}
	place := &r.holdPlaces[best]
	if !slices.Contains(r.holding, place.c.w) {
		r.holding = append(r.holding, place.c.w)
	}
	place.free = place.free.Minus(t.step.Reserved())
	a := t.job.account
	a.coming = a.coming.Plus(t.step.Reserved())
	return true
}

// compareToHold sorts workers that are held already first, and then those with the most free processors, so that the choice stays the same.
func compareToHold(a, b *candidate, now time.Duration) int {
	return cmp.Or(ordering.CompareBools(b.w.held(now), a.w.held(now)), cmp.Compare(b.free.Processors, a.free.Processors))
}

// held reports whether the worker is held for a task of an account below its share.
func (w *worker) held(now time.Duration) bool { return now < w.heldUntil }

// collectHoldPlaces collects the workers that may be held, once.
func (r *reclaimCheck) collectHoldPlaces() {
	if r.holdPlaces != nil {
		return
	}
	r.holdPlaces = make([]holdPlace, 0, len(r.set.candidates))
	for _, c := range r.set.candidates {
		if !c.w.health.admits(0, r.now) {
			continue
		}
		place := holdPlace{c: c, free: c.free}
		for t := range c.w.runs {
			switch {
			case t.stopReason != "":
				place.free = place.free.Plus(t.step.Reserved())
			case t.job.account != nil && (t.endsWithin(holdRunsEnding, r.now) || t.reclaimable()):
				place.runs = append(place.runs, t)
			}
		}
		r.holdPlaces = append(r.holdPlaces, place)
	}
	slices.SortStableFunc(r.holdPlaces, func(a, b holdPlace) int { return compareToHold(a.c, b.c, r.now) })
}

// fitsLater reports whether a task fits at a place without runs of accounts above their shares. The capacity of other runs goes to work of their own
// accounts when they end.
func (r *reclaimCheck) fitsLater(place *holdPlace, t *task) bool {
	free := place.free
	r.chosen = r.chosen[:0]
	for _, run := range place.runs {
		if free.Fits(t.step.Reserved()) {
			break
		}
		if r.aboveShare(run.job.account) && run.endsWithin(holdRunsEnding, r.now) || r.mayStop(run, t.job) {
			free = free.Plus(run.step.Reserved())
			run.leave()
			r.chosen = append(r.chosen, run)
		}
	}
	for _, run := range r.chosen {
		run.job.account.leaving = run.job.account.leaving.Minus(run.step.Reserved())
	}
	return free.Fits(t.step.Reserved())
}

// endsWithin reports whether the task's run is expected to end within a time: by its progress, and before it has reported any by its estimate.
func (t *task) endsWithin(limit, now time.Duration) bool {
	switch {
	case t.step.LongRunning:
		return false
	case t.timePerPercent > 0:
		return time.Duration(fullPercent-t.percent)*t.timePerPercent <= limit
	}
	elapsed := time.Duration(0)
	if t.confirmedAt > 0 {
		elapsed = now - t.confirmedAt
	}
	return max(t.step.Estimate, defaultRunTime)-elapsed <= limit
}

// blockHeld keeps the candidates that are held from the work that follows, or admits them again, and returns whether there are any.
func (s *candidateSet) blockHeld(block bool, now time.Duration) (found bool) {
	for _, c := range s.candidates {
		c.blocked = block && c.w.held(now)
		found = found || c.blocked
	}
	return found
}
