package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// defaultServiceTime is the typical service time until an attempt has succeeded.
const defaultServiceTime = 100 * time.Millisecond

// serviceTimeWeight is the weight of the latest success in the typical service time.
const serviceTimeWeight = 0.02

// cutOffFactor is the multiple of the typical service time after which an attempt that the caller cut off counts as a failure of the
// worker.
const cutOffFactor = 5

// maxLocalErrorRate is the error rate from which a worker is no longer preferred for being in the entry's data centre.
const maxLocalErrorRate = 0.3

// Router selects workers of one pool; it is not safe for concurrent use.
type Router struct {
	config          Config
	workers         map[acaciatally.InstanceID]*health
	ordered         []*health     // in order of first use; sums over the map would depend on its iteration order
	meanServiceTime time.Duration // moving average over successes, 0 before the first
}

// New returns a router without workers.
func New(config Config) *Router {
	return &Router{config: config.withDefaults(), workers: map[acaciatally.InstanceID]*health{}}
}

// Pick returns the best worker for a request and counts the attempt, or returns false if no worker may receive it. Every successful pick
// must be followed by a call of Report.
func (r *Router) Pick(now time.Time, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	ignoreRestrictions := r.tooManyRestricted(workers)
	var best candidate
	for _, offered := range workers {
		next := r.evaluate(now, request, offered, ignoreRestrictions)
		if next.eligible && (!best.eligible || next.before(best)) {
			best = next
		}
	}
	return r.recordPick(now, best)
}

// PickTwo is like Pick, but returns the less loaded of two random workers (power of two choices) and ignores data centres and earlier
// attempts. Entries use it while no slot home is available.
func (r *Router) PickTwo(now time.Time, random *rand.Rand, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	ignoreRestrictions := r.tooManyRestricted(workers)
	var best candidate
	seen := 0
	for _, index := range random.Perm(len(workers)) {
		next := r.evaluate(now, request, workers[index], ignoreRestrictions)
		if !next.eligible {
			continue
		}
		if !best.eligible || next.load < best.load {
			best = next
		}
		if seen++; seen == 2 {
			break
		}
	}
	return r.recordPick(now, best)
}

// Report records the result of an attempt on a worker; the zero result returns a pick that was not used. An attempt that the caller
// cut off early does not affect the worker's health.
func (r *Router) Report(now time.Time, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
	known := r.health(worker)
	if isUnused(result) || r.isEarlyCutOff(result) {
		known.release()
		return
	}
	if isFailure(result) || result.Refused {
		known.recordFailure(now, result, r.baselineFor(known), &r.config)
		return
	}
	known.recordSuccess(now, &r.config)
	if result.ServiceTime > 0 {
		r.recordServiceTime(result.ServiceTime)
	}
}

// baselineFor returns the baseline for one worker. Restricted workers are left out, so that several faulty workers do not raise the
// baseline.
func (r *Router) baselineFor(worker *health) baseline {
	pool := baseline{serviceTime: r.typicalServiceTime()}
	count := 0
	for _, other := range r.ordered {
		if other != worker && !other.isRestricted() {
			pool.errorRate += other.errorRate
			count++
		}
	}
	pool.errorRate /= float64(max(1, count))
	return pool
}

// isEarlyCutOff reports whether the caller ended the attempt before a healthy worker would certainly have answered. Counting such
// attempts would let the short deadlines of one team open the circuit breakers of healthy workers.
func (r *Router) isEarlyCutOff(result acaciatally.AttemptResult) bool {
	return result.EndedByCaller && result.ServiceTime < cutOffFactor*r.typicalServiceTime()
}

// Usable returns the number of slots, free or busy, that Pick may use now; it is the number to pass to queue.Queue.Next.
func (r *Router) Usable(now time.Time, workers []Worker) (slots int) {
	ignoreRestrictions := r.tooManyRestricted(workers)
	for _, worker := range workers {
		slots += worker.BusySlots + r.freeSlots(now, worker, ignoreRestrictions)
	}
	return slots
}

// Forget removes the state of a worker that has left the pool.
func (r *Router) Forget(worker acaciatally.InstanceID) {
	r.ordered = slices.DeleteFunc(r.ordered, func(known *health) bool { return known == r.workers[worker] })
	delete(r.workers, worker)
}

// FallbackSlots returns the number of a worker's slots that one entry may use while no slot home is available.
func FallbackSlots(slots, liveEntries int) int {
	if liveEntries <= 1 {
		return slots
	}
	return (slots + liveEntries - 1) / liveEntries
}

// candidate is a worker evaluated for one request.
type candidate struct {
	worker   Worker
	eligible bool
	excluded bool // the request was sent to it before
	local    bool // the worker is in the entry's data centre and has a low error rate
	load     float64
}

// before orders candidates: first workers not yet tried, then workers in the entry's data centre, then by load.
func (c candidate) before(other candidate) bool {
	if c.excluded != other.excluded {
		return other.excluded
	}
	if c.local != other.local {
		return c.local
	}
	return c.load < other.load
}

func (r *Router) evaluate(now time.Time, request Request, worker Worker, ignoreRestrictions bool) candidate {
	known := r.health(worker.ID)
	return candidate{
		worker:   worker,
		eligible: r.freeSlots(now, worker, ignoreRestrictions) > 0,
		excluded: slices.Contains(request.Exclude, worker.ID),
		local:    worker.DataCentre == request.DataCentre && (known.errorRate < maxLocalErrorRate || r.config.DisableProbation),
		load:     r.load(known, worker, worker.BusySlots+r.activePenalties(now, known)),
	}
}

// freeSlots returns the number of further attempts that the worker may receive now.
func (r *Router) freeSlots(now time.Time, worker Worker, ignoreRestrictions bool) int {
	if ignoreRestrictions {
		return max(0, worker.Slots-worker.BusySlots)
	}
	known := r.health(worker.ID)
	return max(0, min(worker.Slots-worker.BusySlots-r.activePenalties(now, known), known.allowed(now, &r.config)))
}

func (r *Router) activePenalties(now time.Time, known *health) int {
	if r.config.DisableProbation {
		return 0
	}
	return known.activePenalties(now)
}

// load returns the share of the worker's slots in use after one more request, plus the recent error rate: a worker that fails every
// request has the load of a full one.
func (r *Router) load(known *health, worker Worker, busy int) float64 {
	load := float64(busy+1) / float64(max(1, worker.Slots))
	if r.config.DisableProbation {
		return load
	}
	return load + known.errorRate
}

func (r *Router) recordPick(now time.Time, best candidate) (worker acaciatally.InstanceID, found bool) {
	if !best.eligible {
		return "", false
	}
	r.health(best.worker.ID).recordPick(now)
	return best.worker.ID, true
}

// tooManyRestricted reports whether the share of restricted workers exceeds MaxRestricted.
func (r *Router) tooManyRestricted(workers []Worker) bool {
	restricted := 0
	for _, worker := range workers {
		if r.health(worker.ID).isRestricted() {
			restricted++
		}
	}
	return float64(restricted) > r.config.MaxRestricted*float64(len(workers))
}

func (r *Router) health(worker acaciatally.InstanceID) *health {
	known, found := r.workers[worker]
	if !found {
		known = &health{}
		r.workers[worker] = known
		r.ordered = append(r.ordered, known)
	}
	return known
}

func (r *Router) typicalServiceTime() time.Duration {
	if r.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return r.meanServiceTime
}

func (r *Router) recordServiceTime(sample time.Duration) {
	if r.meanServiceTime == 0 {
		r.meanServiceTime = sample
		return
	}
	r.meanServiceTime += time.Duration(serviceTimeWeight * float64(sample-r.meanServiceTime))
}
