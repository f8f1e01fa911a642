package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// unknownServiceTime is taken as typical until an attempt has succeeded.
const unknownServiceTime = 100 * time.Millisecond

// typicalWeight is the weight of the latest success in the typical service time.
const typicalWeight = 0.02

// hangingFactor is the multiple of the typical service time after which a cut off attempt counts against the worker.
const hangingFactor = 5

// maxNearErrors is the recent error rate above which a worker loses its advantage of being near.
const maxNearErrors = 0.3

// Router chooses among the workers of one pool; it is not safe for concurrent use.
type Router struct {
	config  Config
	workers map[acaciatally.InstanceID]*health
	order   []*health     // of first sight; sums in map order would not be repeatable
	typical time.Duration // mean service time of recent successes
}

// New returns a router that knows no worker yet.
func New(config Config) *Router {
	return &Router{config: config.withDefaults(), workers: map[acaciatally.InstanceID]*health{}}
}

// Pick returns the worker for a request and counts the attempt; every pick is followed by a Report.
func (r *Router) Pick(now time.Time, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	ignore := r.tooManyWithheld(workers)
	var best candidate
	for _, offered := range workers {
		next := r.consider(now, request, offered, ignore)
		if next.eligible && (!best.eligible || next.before(best)) {
			best = next
		}
	}
	return r.picked(now, best)
}

// PickTwo chooses the less loaded of two random workers, for entries that have no slot home.
func (r *Router) PickTwo(now time.Time, random *rand.Rand, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	ignore := r.tooManyWithheld(workers)
	var best candidate
	seen := 0
	for _, index := range random.Perm(len(workers)) {
		next := r.consider(now, request, workers[index], ignore)
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
	return r.picked(now, best)
}

// Report records how an attempt on a worker went; the zero result returns a pick that was not used. An attempt that the caller
// cut off early says nothing about the worker.
func (r *Router) Report(now time.Time, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
	known := r.health(worker)
	if unused(result) || r.cutOffEarly(result) {
		known.release()
		return
	}
	if failed(result) || result.Refused {
		known.failed(now, result, r.standard(known), &r.config)
		return
	}
	known.answered(now, &r.config)
	if result.ServiceTime > 0 {
		r.learn(result.ServiceTime)
	}
}

// standard returns what the results of one worker are compared with. Workers that are withheld do not count, so that several
// faulty workers do not pass for usual.
func (r *Router) standard(judged *health) standard {
	usual := standard{serviceTime: r.typicalServiceTime()}
	count := 0
	for _, other := range r.order {
		if other != judged && !other.withheld() {
			usual.errors += other.errors
			count++
		}
	}
	usual.errors /= float64(max(1, count))
	return usual
}

// cutOffEarly reports whether the attempt was ended by its caller before a healthy worker would surely have answered. Otherwise
// one team's short deadlines would open the circuit breakers of healthy workers.
func (r *Router) cutOffEarly(result acaciatally.AttemptResult) bool {
	return result.CutOff && result.ServiceTime < hangingFactor*r.typicalServiceTime()
}

// Usable returns the number of slots, free or busy, that Pick may use now; it is the number of slots for queue.Next.
func (r *Router) Usable(now time.Time, workers []Worker) (slots int) {
	ignore := r.tooManyWithheld(workers)
	for _, worker := range workers {
		slots += worker.Busy + r.free(now, worker, ignore)
	}
	return slots
}

// Forget drops what is known of a worker that has left the pool.
func (r *Router) Forget(worker acaciatally.InstanceID) {
	r.order = slices.DeleteFunc(r.order, func(known *health) bool { return known == r.workers[worker] })
	delete(r.workers, worker)
}

// FallbackSlots is the number of a worker's slots that one entry may use while no slot home answers.
func FallbackSlots(slots, liveEntries int) int {
	if liveEntries <= 1 {
		return slots
	}
	return (slots + liveEntries - 1) / liveEntries
}

// candidate is a worker as one request sees it.
type candidate struct {
	worker   Worker
	eligible bool
	excluded bool // the request has been sent to it before
	near     bool
	load     float64
}

// before orders candidates: first those not yet tried, then those in the entry's data centre, then by load.
func (c candidate) before(other candidate) bool {
	if c.excluded != other.excluded {
		return other.excluded
	}
	if c.near != other.near {
		return c.near
	}
	return c.load < other.load
}

func (r *Router) consider(now time.Time, request Request, worker Worker, ignore bool) candidate {
	known := r.health(worker.ID)
	return candidate{
		worker:   worker,
		eligible: r.free(now, worker, ignore) > 0,
		excluded: slices.Contains(request.Exclude, worker.ID),
		near:     worker.DataCentre == request.DataCentre && (known.errors < maxNearErrors || r.config.WithoutProbation),
		load:     r.load(known, worker, worker.Busy+r.charged(now, known)),
	}
}

// free is the number of further attempts that the worker may receive now.
func (r *Router) free(now time.Time, worker Worker, ignore bool) int {
	if ignore {
		return max(0, worker.Slots-worker.Busy)
	}
	known := r.health(worker.ID)
	return max(0, min(worker.Slots-worker.Busy-r.charged(now, known), known.admits(now, &r.config)))
}

func (r *Router) charged(now time.Time, known *health) int {
	if r.config.WithoutProbation {
		return 0
	}
	return known.charged(now)
}

// load is the part of the worker's slots in use after one more request, raised by the recent error rate: a worker that fails
// every request weighs as if it were full.
func (r *Router) load(known *health, worker Worker, busy int) float64 {
	load := float64(busy+1) / float64(max(1, worker.Slots))
	if r.config.WithoutProbation {
		return load
	}
	return load + known.errors
}

func (r *Router) picked(now time.Time, best candidate) (worker acaciatally.InstanceID, found bool) {
	if !best.eligible {
		return "", false
	}
	r.health(best.worker.ID).picked(now)
	return best.worker.ID, true
}

// tooManyWithheld reports whether more than the bearable share of workers is withheld by breakers and probation.
func (r *Router) tooManyWithheld(workers []Worker) bool {
	withheld := 0
	for _, worker := range workers {
		if r.health(worker.ID).withheld() {
			withheld++
		}
	}
	return float64(withheld) > r.config.MaxWithheld*float64(len(workers))
}

func (r *Router) health(worker acaciatally.InstanceID) *health {
	known, found := r.workers[worker]
	if !found {
		known = &health{}
		r.workers[worker] = known
		r.order = append(r.order, known)
	}
	return known
}

func (r *Router) typicalServiceTime() time.Duration {
	if r.typical == 0 {
		return unknownServiceTime
	}
	return r.typical
}

func (r *Router) learn(sample time.Duration) {
	if r.typical == 0 {
		r.typical = sample
		return
	}
	r.typical += time.Duration(typicalWeight * float64(sample-r.typical))
}
