package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
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
	room acaciatally.ResourceVector // free now or when the runs on lent room that end soon have ended
}

// holdFor holds a worker for a task that fits nowhere: until the task fits there, no work runs on lent room on the worker. Otherwise small tasks
// of an account above its share take room as soon as it becomes free, and there is never enough for a large one. It returns whether there is
// such a worker. Of several, one that is held already or has the most free processors is chosen, so that the choice stays the same.
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
	best := -1
	for i := range r.holdPlaces {
		c := r.holdPlaces[i].c
		if !r.holdPlaces[i].room.Fits(t.step.Reserved()) || !c.mayTake(t) || t.avoids(c.w, r.now) || !r.scheduler.permitted(t, c.w.entry.ID, r.now) {
			continue
		}
		if best < 0 || betterToHold(c, r.holdPlaces[best].c, r.now) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	place := &r.holdPlaces[best]
	if !slices.Contains(r.holding, place.c.w) {
		r.holding = append(r.holding, place.c.w)
	}
	place.room = place.room.Minus(t.step.Reserved())
	a := t.job.account
	a.coming = a.coming.Plus(t.step.Reserved())
	return true
}

func betterToHold(a, b *candidate, now time.Duration) bool {
	if heldA, heldB := a.w.held(now), b.w.held(now); heldA != heldB {
		return heldA
	}
	return a.free.Processors > b.free.Processors
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
		place := holdPlace{c: c, room: c.free}
		for t := range c.w.runs {
			if r.onLentRoom(t) && t.endsWithin(holdRunsEnding, r.now) {
				place.room = place.room.Plus(t.step.Reserved())
			}
		}
		r.holdPlaces = append(r.holdPlaces, place)
	}
}

// onLentRoom reports whether the task's run takes lent room. The room of other runs goes to work of their own accounts when they end.
func (r *reclaimCheck) onLentRoom(t *task) bool {
	return t.job.beyondRate || !r.scheduler.within(r.pool, t.job.account)
}

// endsWithin reports whether the task's run is expected to end within a time: by its progress, and before it has reported any by its estimate.
func (t *task) endsWithin(limit, now time.Duration) bool {
	switch {
	case t.stopReason != "":
		return true
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
