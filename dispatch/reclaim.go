package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/sharing"
)

const (
	// reclaimAfter is how long an account below its share waits before lent capacity is reclaimed for it. Usually runs end sooner.
	reclaimAfter = time.Second
	// reclaimTime is the time over which the runs of a pool are stopped if all of them have to be. It bounds the orders and the work that is
	// repeated from checkpoints, should the demand of accounts change again.
	reclaimTime = 2 * time.Second
	// shareTolerance is the relative error that an entitlement may have.
	shareTolerance = 1e-6
	// maxUnplacedSteps is the number of steps that find no run to stop after which one check ends. It bounds the time that a check takes.
	maxUnplacedSteps = 8
	// shortageGap is the time between two checks after which an account counts as newly short.
	shortageGap = 3 * checkInterval
)

// shortage is the time for which an account has had tasks to place in a pool, within its rate, while it used less than its share by at least
// one of them. It is not counted by job, since the jobs of an account exchange their marks: the first ones are within the rate, and those that
// become late are not.
type shortage struct {
	since, seenAt time.Duration
}

func (h *shortage) observe(now time.Duration) {
	if h.seenAt == 0 || now > h.seenAt+shortageGap {
		h.since = now
	}
	h.seenAt = now
}

// reclaimPlace is a worker on which lent capacity may be reclaimed.
type reclaimPlace struct {
	c    *candidate
	free acaciatally.ResourceVector // now, or once the runs that are being stopped have ended
	runs []*task                    // that may be stopped, those with the least progress first
}

// reclaimCheck is one check of a pool for lent capacity to reclaim.
type reclaimCheck struct {
	scheduler *Scheduler
	pool      *poolShares
	set       *candidateSet
	now       time.Duration
	places    []reclaimPlace
	left      int // runs that may still be stopped; the last task may take more, which later checks make up for
	unplaced  int // steps that found no run to stop
	// unplaceable are sizes for which there is no room to reclaim or to hold. Both only shrink during a check.
	unplaceable []acaciatally.ResourceVector
	chosen      []*task
	holdPlaces  []holdPlace
	holding     []*worker // to be held from now on
}

// reclaim stops runs of accounts that use more than their share of the pool, if they have saved a checkpoint, for jobs of accounts that have used
// less for reclaimAfter although work of theirs waited. The jobs are those within the rate of their account, in the order of work, after they
// were placed. The capacity goes to whatever comes first in the order of work, which may be other jobs; the runs that are stopped come after
// all of them.
func (s *Scheduler) reclaim(p *poolShares, jobs []*activeJob, set *candidateSet, now time.Duration) {
	if s.heldStarts > 0 {
		return
	}
	check := reclaimCheck{scheduler: s, pool: p, set: set, now: now}
	for _, j := range jobs {
		if check.unplaced == maxUnplacedSteps {
			break
		}
		a := j.account
		if a == nil || a.index >= len(p.short) || j.hasLongRunning || j.lateness == overdue || !s.within(p, a) {
			continue
		}
		step := j.waitingStep()
		if step == nil || !s.belowShareWith(p, a, a.used, step.Reserved()) {
			continue
		}
		p.short[a.index].observe(now)
		if now >= p.short[a.index].since+reclaimAfter {
			check.begin()
			check.forJob(j)
		}
	}
	if check.places != nil {
		p.reclaimsLeft = check.left
	}
	for _, w := range check.holding {
		w.heldUntil = now + holdTime
	}
}

// begin collects the runs that may be stopped, once.
func (r *reclaimCheck) begin() {
	if r.places != nil {
		return
	}
	r.places = make([]reclaimPlace, 0, len(r.set.candidates))
	for _, a := range r.scheduler.shares.list {
		a.leaving, a.coming = acaciatally.ResourceVector{}, acaciatally.ResourceVector{}
	}
	for _, w := range r.scheduler.workers {
		for t := range w.runs {
			if t.stopReason != "" {
				t.leave()
			}
		}
	}
	runs := 0
	for _, c := range r.set.candidates {
		if !c.w.health.admits(c.load.runs-c.load.numLongRunning, r.now) {
			continue
		}
		place := reclaimPlace{c: c, free: c.free}
		runs += len(c.w.runs)
		for t := range c.w.runs {
			switch {
			case t.stopReason != "":
				place.free = place.free.Plus(t.step.Reserved())
			case t.reclaimable():
				place.runs = append(place.runs, t)
			}
		}
		if len(place.runs) > 0 || place.free != c.free {
			slices.SortFunc(place.runs, func(a, b *task) int { return cmp.Compare(a.percent, b.percent) })
			r.places = append(r.places, place)
		}
	}
	perCheck := max(1, runs*int(checkInterval)/int(reclaimTime))
	r.left = min(perCheck, r.pool.reclaimsLeft+perCheck)
}

// leave counts what the task's run reserves as leaving.
func (t *task) leave() {
	if a := t.job.account; a != nil {
		a.leaving = a.leaving.Plus(t.step.Reserved())
	}
}

// reclaimable reports whether the task's run may be stopped for another account: it can resume from a checkpoint that it has saved, and is
// not about to end.
func (t *task) reclaimable() bool {
	left := time.Duration(fullPercent-t.percent) * t.timePerPercent
	aboutToEnd := t.timePerPercent > 0 && left < reclaimAfter
	return t.job.account != nil && t.step.Checkpoints && t.checkpoint != "" && t.stage == stageRunning && !t.step.LongRunning && !t.step.Gang && !aboutToEnd
}

// forJob reclaims room for the waiting tasks of a job.
func (r *reclaimCheck) forJob(j *activeJob) {
	a := j.account
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			step := &j.accepted.Spec.Steps[number]
			if slices.ContainsFunc(r.unplaceable, step.Reserved().Fits) || !o.ready(&j.accepted.Spec, number) {
				continue
			}
			if step.Gang {
				if all(tasks, isWaiting) && j.usage.hasHeadroom(step.Resources.Times(len(tasks)).Plus(a.coming)) && !r.holdForGang(tasks) {
					r.unplaced++
				}
				continue
			}
			for _, t := range tasks {
				if !isWaiting(t) {
					continue
				}
				if !r.scheduler.belowShareWith(r.pool, a, a.used.Plus(a.coming).Minus(a.leaving), step.Reserved()) {
					return
				}
				if !j.usage.hasHeadroom(step.Resources.Plus(a.coming)) {
					return // it waits for its account's maximum, not for others
				}
				if !r.forTask(t) && !r.holdFor(t) {
					r.markUnplaceable(t)
					break
				}
			}
		}
	}
}

// markUnplaceable notes that there is no room to reclaim for a task.
func (r *reclaimCheck) markUnplaceable(t *task) {
	r.unplaced++
	if t.step.Label == "" && t.step.PerWorker == 0 && len(t.avoidUntil) == 0 && !t.suspected() && t.job.accepted.Queue.Advice == nil {
		r.unplaceable = append(r.unplaceable, t.step.Reserved())
	}
}

// belowShareWith reports whether an account that uses the given resources is within its share of a pool with more, or uses
// nothing.
func (s *Scheduler) belowShareWith(p *poolShares, a *accountShare, used, more acaciatally.ResourceVector) bool {
	return used.IsZero() || sharing.DominantShare(used.Plus(more), s.shares.fleet) <= p.entitledTo(a)*(1+shareTolerance)
}

// forTask reclaims room for a task on the worker where the fewest runs have to be stopped, and returns whether there will be room for it.
func (r *reclaimCheck) forTask(t *task) bool {
	a, reserved := t.job.account, t.step.Reserved()
	best, fewest := -1, math.MaxInt
	for i := range r.places {
		if victims, enough := r.victims(&r.places[i], t); enough && len(victims) < fewest {
			best, fewest = i, len(victims)
		}
		if fewest == 0 {
			break
		}
	}
	if best < 0 {
		return false
	}
	place := &r.places[best]
	victims, _ := r.victims(place, t)
	for _, victim := range victims {
		victim.leave()
		place.free = place.free.Plus(victim.step.Reserved())
		r.scheduler.stopTask(victim, stopReclaimed)
	}
	r.left -= fewest
	place.runs = slices.DeleteFunc(place.runs, func(run *task) bool { return run.stopReason != "" })
	place.free = place.free.Minus(reserved)
	a.coming = a.coming.Plus(reserved)
	return true
}

// victims returns the runs to stop at a place so that the task fits, in a buffer, and whether they are enough.
func (r *reclaimCheck) victims(place *reclaimPlace, t *task) (victims []*task, enough bool) {
	c, reserved := place.c, t.step.Reserved()
	if !c.mayTake(t) || !r.scheduler.permitted(t, c.w.entry.ID, r.now) || t.avoids(c.w, r.now) {
		return nil, false
	}
	free := place.free
	r.chosen = r.chosen[:0]
	for _, run := range place.runs {
		if free.Fits(reserved) || r.left <= 0 {
			break
		}
		if r.mayStop(run, t.job) {
			free = free.Plus(run.step.Reserved())
			run.leave() // counts against the share of its account while further runs are chosen
			r.chosen = append(r.chosen, run)
		}
	}
	for _, run := range r.chosen {
		run.job.account.leaving = run.job.account.leaving.Minus(run.step.Reserved())
	}
	return r.chosen, free.Fits(reserved)
}

// mayStop reports whether a run may be stopped for a job: its account keeps its share without the run, and the run's job comes after the
// other in the order of work.
func (r *reclaimCheck) mayStop(run *task, j *activeJob) bool {
	a := run.job.account
	if run.stopReason != "" || a == j.account || !run.job.beyondRate && run.job.accepted.Queue.Priority < j.accepted.Queue.Priority {
		return false
	}
	return r.share(a.used.Minus(a.leaving).Minus(run.step.Reserved())) >= r.pool.entitledTo(a)
}

// aboveShare reports whether an account uses more than its share, be it by a part of a task.
func (r *reclaimCheck) aboveShare(a *accountShare) bool {
	return r.share(a.used.Minus(a.leaving)) > r.pool.entitledTo(a)*(1+shareTolerance)
}

func (r *reclaimCheck) share(used acaciatally.ResourceVector) float64 {
	return sharing.DominantShare(used, r.scheduler.shares.fleet)
}
