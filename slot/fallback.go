package slot

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
	"github.com/acaciatally/acaciatally/route"
)

const (
	// firstFallbackDelay is the first delay before a full pool is checked again. The delay doubles up to maxFallbackDelay, so that
	// thousands of waiting requests do not saturate the processor.
	firstFallbackDelay = 10 * time.Millisecond
	maxFallbackDelay   = 80 * time.Millisecond
	// fallbackRetryAfter is the Retry-After of requests that are refused because too many are waiting.
	fallbackRetryAfter = time.Second
)

// FallbackSource grants slots without a slot home: it picks the less loaded of two random workers and uses at most this entry's share
// of each worker's slots. It implements acaciatally.SlotSource and is safe for concurrent use.
type FallbackSource struct {
	config Config

	mu      sync.Mutex
	routers map[acaciatally.PoolName]*route.Router
	busy    map[acaciatally.InstanceID]int
	waiting int
}

// NewFallbackSource returns a FallbackSource for the pools of config.State.
func NewFallbackSource(config Config) *FallbackSource {
	config.Default()
	return &FallbackSource{config: config, routers: map[acaciatally.PoolName]*route.Router{}, busy: map[acaciatally.InstanceID]int{}}
}

// Acquire waits for a slot until ctx ends. It fails with *acaciatally.Refusal when no worker serves the pool, too many requests are
// waiting, or this entry has no fresh view, and otherwise with the error of ctx.
func (f *FallbackSource) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	if !f.addWaiting() {
		return nil, admission.RefuseOverload("too many requests wait without a slot home", fallbackRetryAfter)
	}
	defer f.removeWaiting()
	for delay := firstFallbackDelay; ; delay = min(2*delay, maxFallbackDelay) {
		if !f.config.Membership.MayServe() {
			return nil, noFreshViewRefusal()
		}
		grant, serving := f.tryAcquire(request)
		if grant != nil {
			return grant, nil
		}
		if serving == 0 {
			return nil, &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "no worker serves the pool"}
		}
		if !acaciatally.Sleep(ctx, delay) {
			return nil, ctx.Err()
		}
	}
}

func (f *FallbackSource) addWaiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Queue.MaxLength > 0 && f.waiting >= f.config.Queue.MaxLength {
		return false
	}
	f.waiting++
	return true
}

func (f *FallbackSource) removeWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
}

// tryAcquire picks a worker if one has a free slot, and returns the number of workers that serve the pool.
func (f *FallbackSource) tryAcquire(request acaciatally.Request) (grant *acaciatally.Grant, serving int) {
	state, leaving := f.config.State(), f.config.Membership.LeavingInstances()
	live := len(f.config.Membership.Live()) + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	var workers []route.Worker
	for _, member := range state.Members(request.Pool) {
		if acceptsNewWork(member, request.Pool, leaving) {
			share := route.FallbackSlots(member.Slots, live)
			workers = append(workers, route.Worker{ID: member.ID, DataCentre: member.DataCentre, Slots: share, BusySlots: f.busy[member.ID]})
		}
	}
	router := f.router(request.Pool)
	routeRequest := route.Request{DataCentre: f.config.DataCentre, Exclude: request.AttemptedWorkers}
	worker, found := router.PickTwo(time.Now(), f.config.Random, routeRequest, workers)
	if !found {
		return nil, len(workers)
	}
	f.busy[worker]++
	var once sync.Once
	release := func(result acaciatally.AttemptResult) {
		once.Do(func() { f.release(router, worker, result) })
	}
	return &acaciatally.Grant{Worker: worker, Address: state.Instances[worker].Address, Release: release}, len(workers)
}

func (f *FallbackSource) router(pool acaciatally.PoolName) *route.Router {
	router := f.routers[pool]
	if router == nil {
		router = route.New(f.config.Route)
		f.routers[pool] = router
	}
	return router
}

func (f *FallbackSource) release(router *route.Router, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	router.Report(time.Now(), worker, result)
	if f.busy[worker]--; f.busy[worker] <= 0 {
		delete(f.busy, worker)
	}
}
