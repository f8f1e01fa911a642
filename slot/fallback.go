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
	// choicePause is the first wait before a full pool is looked at again; it doubles up to maxChoicePause, so that thousands of
	// waiting requests do not use up the processor.
	choicePause    = 10 * time.Millisecond
	maxChoicePause = 80 * time.Millisecond
	// choiceRetryAfter is the advice when too many requests wait already.
	choiceRetryAfter = time.Second
)

// Choice grants slots without a slot home: it chooses the less loaded of two random workers and uses at most this entry's share of
// each worker's slots. It implements acaciatally.SlotSource and is safe for concurrent use.
type Choice struct {
	config Config

	mu      sync.Mutex
	routers map[acaciatally.PoolName]*route.Router
	busy    map[acaciatally.InstanceID]int
	waiting int
}

// NewChoice returns a Choice for the pools of the configuration's State.
func NewChoice(config Config) *Choice {
	config.Default()
	return &Choice{config: config, routers: map[acaciatally.PoolName]*route.Router{}, busy: map[acaciatally.InstanceID]int{}}
}

// Acquire waits for a slot until ctx ends; it fails with *acaciatally.Refusal when no worker serves the pool or too many wait.
func (c *Choice) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	if !c.enter() {
		return nil, admission.Full("too many requests wait without a slot home", choiceRetryAfter)
	}
	defer c.leave()
	for pause := choicePause; ; pause = min(2*pause, maxChoicePause) {
		if !c.config.Membership.MayServe() {
			return nil, isolated()
		}
		grant, serving := c.try(request)
		if grant != nil {
			return grant, nil
		}
		if serving == 0 {
			return nil, &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "no worker serves the pool"}
		}
		if !sleep(ctx, pause) {
			return nil, ctx.Err()
		}
	}
}

func (c *Choice) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Queue.MaxLength > 0 && c.waiting >= c.config.Queue.MaxLength {
		return false
	}
	c.waiting++
	return true
}

func (c *Choice) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
}

func (c *Choice) try(request acaciatally.Request) (grant *acaciatally.Grant, serving int) {
	state, leaving := c.config.State(), c.config.Membership.Leaving()
	live := len(c.config.Membership.Live()) + 1
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []route.Worker
	for _, member := range state.Members(request.Pool) {
		if serves(member, request.Pool, leaving) {
			share := route.FallbackSlots(member.Slots, live)
			workers = append(workers, route.Worker{ID: member.ID, DataCentre: member.DataCentre, Slots: share, Busy: c.busy[member.ID]})
		}
	}
	router := c.router(request.Pool)
	chosen := route.Request{DataCentre: c.config.DataCentre, Exclude: request.Tried}
	worker, found := router.PickTwo(time.Now(), c.config.Random, chosen, workers)
	if !found {
		return nil, len(workers)
	}
	c.busy[worker]++
	var once sync.Once
	release := func(result acaciatally.AttemptResult) {
		once.Do(func() { c.release(router, worker, result) })
	}
	return &acaciatally.Grant{Worker: worker, Address: state.Instances[worker].Address, Release: release}, len(workers)
}

func (c *Choice) router(pool acaciatally.PoolName) *route.Router {
	known := c.routers[pool]
	if known == nil {
		known = route.New(c.config.Route)
		c.routers[pool] = known
	}
	return known
}

func (c *Choice) release(router *route.Router, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	router.Report(time.Now(), worker, result)
	if c.busy[worker]--; c.busy[worker] <= 0 {
		delete(c.busy, worker)
	}
}
