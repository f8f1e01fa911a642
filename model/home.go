package model

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// grantInterval is how often a home with queued requests looks for expired requests and for workers that have become usable again.
const grantInterval = 20 * time.Millisecond

// scheduler queues the requests that wait for slots and chooses the next one; queue.Queue is one.
type scheduler interface {
	Push(now time.Time, item queue.Item) (err error)
	Next(now time.Time, slots int) (item queue.Item, found bool)
	Release(now time.Time, item queue.Item, serviceTime time.Duration)
	Expire(now time.Time) (expired []queue.Item)
}

func (s *simulation) newScheduler() scheduler {
	switch s.config.Policy {
	case BaselineArrivalOrder:
		return &fifoQueue{maxLength: baselineQueueLength}
	case BaselineStrictPriority:
		return newStrictPriorityQueue()
	}
	created := queue.New(s.config.Queue)
	for _, team := range s.config.Teams {
		created.SetQuota(team.Name, team.Quota)
	}
	return created
}

// slotHomes is the policy in which one entry per pool, its slot home, queues the requests and grants the slots of the pool's workers.
type slotHomes struct {
	simulation *simulation
	homes      []*home
}

func newSlotHomes(s *simulation) *slotHomes {
	created := &slotHomes{simulation: s}
	for _, pool := range s.pools {
		created.homes = append(created.homes, newHome(s, pool.home, pool.workers))
	}
	return created
}

func (h *slotHomes) submit(request *request) {
	for i, pool := range h.simulation.pools {
		if pool == request.pool {
			h.homes[i].requestSlot(request)
		}
	}
}

// home queues requests at an entry and grants the slots of its workers.
type home struct {
	simulation     *simulation
	entry          *entry // where the home runs
	scheduler      scheduler
	router         *route.Router
	workers        []*worker
	candidates     []route.Worker // the workers with their slots and load as known to the home
	waiting        map[string]*request
	grantScheduled bool
	slotsInTransit int            // slots being moved to this entry, used by slotCredits only
	retry          func(*request) // submits a request again after an attempt that did not run
	forwards       bool           // whether the home, not the caller's entry, sends requests to the workers
}

func newHome(s *simulation, at *entry, workers []*worker) *home {
	created := &home{
		simulation: s, entry: at, scheduler: s.newScheduler(), router: route.New(s.config.Route),
		workers: workers, waiting: map[string]*request{},
	}
	created.retry = created.requestSlot
	for _, worker := range workers {
		created.candidates = append(created.candidates, route.Worker{ID: worker.id, DataCentre: worker.dataCentre, Slots: worker.slots})
	}
	return created
}

// requestSlot sends the request for a slot to the home.
func (h *home) requestSlot(request *request) {
	h.simulation.sendBetween(request.entry, h.entry, func() { h.push(request) })
}

func (h *home) push(request *request) {
	s := h.simulation
	err := h.scheduler.Push(s.clock.time(), request.item())
	var refusal *acaciatally.Refusal
	if errors.As(err, &refusal) {
		s.sendBetween(h.entry, request.entry, func() {
			s.finish(request, func(t *Tally) { t.Refused++ })
		})
		return
	}
	h.waiting[request.id] = request
	h.grant()
}

// grant grants the free slots and counts the expired requests.
func (h *home) grant() {
	s := h.simulation
	for {
		now := s.clock.time()
		item, found := h.scheduler.Next(now, h.router.Usable(now, h.candidates))
		if !found {
			break
		}
		request := h.waiting[item.ID]
		delete(h.waiting, item.ID)
		h.send(request, item)
	}
	for _, item := range h.scheduler.Expire(s.clock.time()) {
		request := h.waiting[item.ID]
		delete(h.waiting, item.ID)
		s.finish(request, func(t *Tally) { t.Expired++ })
	}
	h.scheduleGrant()
}

// scheduleGrant repeats grant while requests are queued.
func (h *home) scheduleGrant() {
	if h.grantScheduled || len(h.waiting) == 0 {
		return
	}
	h.grantScheduled = true
	h.simulation.clock.after(grantInterval, func() {
		h.grantScheduled = false
		h.grant()
	})
}

func (h *home) send(request *request, item queue.Item) {
	s := h.simulation
	criteria := route.Request{DataCentre: item.DataCentre, Exclude: request.triedWorkers}
	id, found := h.router.Pick(s.clock.time(), criteria, h.candidates)
	if !found {
		panic("model: the queue granted a slot that the router does not have")
	}
	index := h.index(id)
	h.candidates[index].BusySlots++
	if h.forwards {
		h.forward(request, item, index)
		return
	}
	s.sendBetween(h.entry, request.entry, func() {
		s.attempt(request, request.entry, h.workers[index], func(result acaciatally.AttemptResult) {
			s.sendBetween(request.entry, h.entry, func() { h.release(item, index, result) })
			h.finish(request, index, result)
		})
	})
}

// forward sends the request from the home to the worker and the response back to the caller's entry.
func (h *home) forward(request *request, item queue.Item, index int) {
	s := h.simulation
	s.attempt(request, h.entry, h.workers[index], func(result acaciatally.AttemptResult) {
		h.release(item, index, result)
		s.sendBetween(h.entry, request.entry, func() { h.finish(request, index, result) })
	})
}

// finish finishes the request at the caller's entry or retries it.
func (h *home) finish(request *request, index int, result acaciatally.AttemptResult) {
	request.triedWorkers = append(request.triedWorkers, h.workers[index].id)
	if h.simulation.handleResult(request, result) {
		h.retry(request)
	}
}

func (h *home) release(item queue.Item, index int, result acaciatally.AttemptResult) {
	now := h.simulation.clock.time()
	h.candidates[index].BusySlots--
	h.router.Report(now, h.workers[index].id, result)
	h.scheduler.Release(now, item, measuredServiceTime(result))
	h.grant()
}

// measuredServiceTime returns the service time of an attempt that ran, and 0 otherwise.
func measuredServiceTime(result acaciatally.AttemptResult) time.Duration {
	if result.Refused || result.Outcome == acaciatally.NotRun {
		return 0
	}
	return result.ServiceTime
}

// index returns the index of the candidate with the ID, or -1 if there is none.
func (h *home) index(id acaciatally.InstanceID) int {
	for i := range h.candidates {
		if h.candidates[i].ID == id {
			return i
		}
	}
	return -1
}
