package entry

import (
	"container/list"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	// failureRest is how long a worker that failed an attempt is only used when no other is free; without it the worker that
	// fails fastest would look the least loaded.
	failureRest = time.Second
	// fullRetryAfter is the advice when the queue is full.
	fullRetryAfter = time.Second
)

type localSlotsConfig struct {
	State func() *fleet.State
	// Entries returns the number of live entries, which share each worker's slots.
	Entries  func() int
	MaxQueue int // waiting requests of a pool
	Clock    acaciatally.Clock
	Random   *rand.Rand
}

// localSlots is a SlotSource that knows only this entry's own requests: it takes the less loaded of two workers, and uses at
// most slots / live entries, rounded up, of each. It stands in while no slot home answers.
type localSlots struct {
	config localSlotsConfig

	mu       sync.Mutex
	state    *fleet.State
	pools    map[acaciatally.PoolName][]fleet.Instance
	inFlight map[acaciatally.InstanceID]int
	resting  map[acaciatally.InstanceID]time.Time
	queues   map[acaciatally.PoolName]*waitQueue
}

// waitQueue holds the waiting requests of a pool by urgency, in order of arrival.
type waitQueue struct {
	classes [acaciatally.UrgencyClasses]list.List
	length  int
}

type waiter struct {
	granted chan *acaciatally.Grant // buffered for one
}

func newLocalSlots(config localSlotsConfig) *localSlots {
	return &localSlots{
		config:   config,
		inFlight: map[acaciatally.InstanceID]int{},
		resting:  map[acaciatally.InstanceID]time.Time{},
		queues:   map[acaciatally.PoolName]*waitQueue{},
	}
}

// Acquire waits in the pool's bounded queue for a slot; it fails with *acaciatally.Refusal, or with ctx's error.
func (s *localSlots) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	waiting, element, grant, err := s.start(request)
	if grant != nil || err != nil {
		return grant, err
	}
	select {
	case grant = <-waiting.granted:
		return grant, nil
	case <-ctx.Done():
		return nil, s.leave(ctx, request, waiting, element)
	}
}

// start grants a slot at once or queues the request.
func (s *localSlots) start(request acaciatally.Request) (w *waiter, e *list.Element, grant *acaciatally.Grant, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	workers := s.pools[request.Pool]
	if len(workers) == 0 {
		return nil, nil, nil, refuseSlot("no worker of pool %s is in service", request.Pool)
	}
	queue := s.queue(request.Pool)
	if queue.length == 0 {
		if worker, found := s.choose(workers); found {
			return nil, nil, s.grant(worker), nil
		}
	}
	if queue.length >= s.config.MaxQueue {
		return nil, nil, nil, refuseSlot("the queue of pool %s is full", request.Pool)
	}
	w = &waiter{granted: make(chan *acaciatally.Grant, 1)}
	queue.length++
	return w, queue.classes[request.Urgency].PushBack(w), nil, nil
}

func (s *localSlots) queue(pool acaciatally.PoolName) *waitQueue {
	queue, found := s.queues[pool]
	if !found {
		queue = &waitQueue{}
		s.queues[pool] = queue
	}
	return queue
}

// leave takes a request out of the queue, or gives back the slot that it was granted in the meantime.
func (s *localSlots) leave(ctx context.Context, request acaciatally.Request, w *waiter, e *list.Element) error {
	s.mu.Lock()
	granted := len(w.granted) > 0
	if !granted {
		queue := s.queue(request.Pool)
		queue.classes[request.Urgency].Remove(e)
		queue.length--
	}
	s.mu.Unlock()
	if granted {
		(<-w.granted).Release(acaciatally.AttemptResult{Outcome: acaciatally.NotRun, Refused: true})
	}
	return ctx.Err()
}

// refresh indexes a new state, whose workers may have room for waiting requests.
func (s *localSlots) refresh() {
	state := s.config.State()
	if state == s.state {
		return
	}
	s.state = state
	s.pools = map[acaciatally.PoolName][]fleet.Instance{}
	for _, instance := range state.Instances {
		if instance.Phase == fleet.Serving {
			s.pools[instance.Pool] = append(s.pools[instance.Pool], instance)
		}
	}
	for _, workers := range s.pools {
		slices.SortFunc(workers, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	for pool := range s.queues {
		s.serveQueue(pool)
	}
}

// Refresh takes a new state into account.
func (s *localSlots) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
}

// choose takes the less loaded of two random workers, or any with room.
func (s *localSlots) choose(workers []fleet.Instance) (worker fleet.Instance, found bool) {
	first := s.config.Random.IntN(len(workers))
	one := workers[first]
	if len(workers) > 1 {
		second := (first + 1 + s.config.Random.IntN(len(workers)-1)) % len(workers)
		if other := workers[second]; s.worse(one, other) {
			one = other
		}
	}
	if s.free(one) && !s.rests(one) {
		return one, true
	}
	for _, candidate := range workers {
		if s.free(candidate) && (!found || s.worse(worker, candidate)) {
			worker, found = candidate, true
		}
	}
	return worker, found
}

func (s *localSlots) worse(one, other fleet.Instance) bool {
	if s.rests(one) != s.rests(other) {
		return s.rests(one)
	}
	return s.inFlight[one.ID]*other.Slots > s.inFlight[other.ID]*one.Slots
}

func (s *localSlots) rests(worker fleet.Instance) bool {
	until, found := s.resting[worker.ID]
	return found && s.config.Clock.Now().Before(until)
}

func (s *localSlots) free(worker fleet.Instance) bool {
	entries := max(s.config.Entries(), 1)
	return s.inFlight[worker.ID] < (worker.Slots+entries-1)/entries
}

func (s *localSlots) grant(worker fleet.Instance) *acaciatally.Grant {
	s.inFlight[worker.ID]++
	var once sync.Once
	return &acaciatally.Grant{Worker: worker.ID, Address: worker.Address, Release: func(result acaciatally.AttemptResult) {
		once.Do(func() { s.release(worker, result) })
	}}
}

func (s *localSlots) release(worker fleet.Instance, result acaciatally.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[worker.ID]--
	if s.inFlight[worker.ID] == 0 {
		delete(s.inFlight, worker.ID)
	}
	switch {
	case result.Outcome == "":
		delete(s.resting, worker.ID)
	case !result.Refused:
		s.resting[worker.ID] = s.config.Clock.Now().Add(failureRest)
	}
	s.refresh()
	s.serveQueue(worker.Pool)
}

// serveQueue grants slots to waiting requests, the most urgent first, while there are any.
func (s *localSlots) serveQueue(pool acaciatally.PoolName) {
	queue := s.queue(pool)
	for queue.length > 0 && len(s.pools[pool]) > 0 {
		worker, found := s.choose(s.pools[pool])
		if !found {
			return
		}
		queue.pop().granted <- s.grant(worker)
	}
}

func (q *waitQueue) pop() *waiter {
	for i := range q.classes {
		if front := q.classes[i].Front(); front != nil {
			q.length--
			return q.classes[i].Remove(front).(*waiter)
		}
	}
	return nil
}

func refuseSlot(format string, pool acaciatally.PoolName) error {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable,
		Reason: fmt.Sprintf(format, pool), RetryAfter: fullRetryAfter,
	}
}
