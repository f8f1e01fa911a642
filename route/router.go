package route

import (
	"math/rand/v2"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Router chooses among the workers of one pool; it is not safe for concurrent use.
type Router struct {
	config Config
}

// New returns a router that knows no worker yet.
func New(config Config) *Router { return &Router{config: config} }

// Pick returns the worker for a request and counts the attempt; every pick is followed by a Report.
func (r *Router) Pick(now time.Time, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	return "", false
}

// PickTwo chooses the less loaded of two random workers, for entries that have no slot home.
func (r *Router) PickTwo(now time.Time, random *rand.Rand, request Request, workers []Worker) (worker acaciatally.InstanceID, found bool) {
	return "", false
}

// Report records how an attempt on a worker went.
func (r *Router) Report(now time.Time, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
}

// Usable returns the number of slots, free or busy, that Pick may use now; it is the number of slots for queue.Next.
func (r *Router) Usable(now time.Time, workers []Worker) (slots int) { return 0 }

// Forget drops what is known of a worker that has left the pool.
func (r *Router) Forget(worker acaciatally.InstanceID) {}

// FallbackSlots is the number of a worker's slots that one entry may use while no slot home answers.
func FallbackSlots(slots, liveEntries int) int {
	if liveEntries <= 1 {
		return slots
	}
	return (slots + liveEntries - 1) / liveEntries
}
