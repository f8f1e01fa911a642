package model

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// homeTick is the time between two rounds of a home with work queued, for deadlines and workers that return.
const homeTick = 20 * time.Millisecond

// scheduler orders the requests that wait for slots.
type scheduler interface {
	Push(now time.Time, item queue.Item) (err error)
	Next(now time.Time, slots int) (item queue.Item, found bool)
	Done(now time.Time, item queue.Item, serviceTime time.Duration)
	Expire(now time.Time) (expired []queue.Item)
}

func (s *simulation) scheduler() scheduler {
	switch s.config.Policy {
	case BaselineArrivalOrder:
		return &arrivalOrder{max: baselineQueueLength}
	case BaselineStrictPriority:
		return newStrictPriority()
	}
	created := queue.New(s.config.Queue)
	for _, team := range s.config.Teams {
		created.SetQuota(team.Name, team.Quota)
	}
	return created
}

// homes is the policy in which one entry grants the slots of a set of workers.
type homes struct {
	simulation *simulation
	homes      []*home
}

func newHomes(s *simulation) *homes {
	created := &homes{simulation: s}
	for _, pool := range s.pools {
		created.homes = append(created.homes, newHome(s, pool.home, pool.workers))
	}
	return created
}

func (h *homes) submit(request *request) {
	for i, pool := range h.simulation.pools {
		if pool == request.pool {
			h.homes[i].ask(request)
		}
	}
}

// home queues requests and grants the slots of its workers.
type home struct {
	simulation *simulation
	entry      *entry
	scheduler  scheduler
	router     *route.Router
	workers    []*worker
	view       []route.Worker
	waiting    map[string]*request
	ticking    bool
	lent       int            // slots on their way to this entry, when slots are lent
	again      func(*request) // submits a request whose attempt may be repeated
	forwards   bool           // the home sends the requests itself
}

func newHome(s *simulation, at *entry, workers []*worker) *home {
	created := &home{
		simulation: s, entry: at, scheduler: s.scheduler(), router: route.New(s.config.Route),
		workers: workers, waiting: map[string]*request{},
	}
	created.again = created.ask
	for _, worker := range workers {
		created.view = append(created.view, route.Worker{ID: worker.id, DataCentre: worker.dataCentre, Slots: worker.slots})
	}
	return created
}

// ask sends the request for a slot to the home.
func (h *home) ask(request *request) {
	h.simulation.between(request.entry, h.entry, func() { h.push(request) })
}

func (h *home) push(request *request) {
	s := h.simulation
	err := h.scheduler.Push(s.clock.time(), request.item())
	var refusal *acaciatally.Refusal
	if errors.As(err, &refusal) {
		s.between(h.entry, request.entry, func() {
			s.end(request, func(t *Tally) {
				t.Refused++
				t.Retries += refusal.RetryAfter
			})
		})
		return
	}
	h.waiting[request.id] = request
	h.grant()
}

// grant hands out free slots and refuses what has expired.
func (h *home) grant() {
	s := h.simulation
	for {
		now := s.clock.time()
		item, found := h.scheduler.Next(now, h.router.Usable(now, h.view))
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
		s.end(request, func(t *Tally) { t.Expired++ })
	}
	h.tick()
}

// tick repeats the grants while work is queued.
func (h *home) tick() {
	if h.ticking || len(h.waiting) == 0 {
		return
	}
	h.ticking = true
	h.simulation.clock.after(homeTick, func() {
		h.ticking = false
		h.grant()
	})
}

func (h *home) send(request *request, item queue.Item) {
	s := h.simulation
	asked := route.Request{DataCentre: item.DataCentre, Exclude: request.tried}
	id, found := h.router.Pick(s.clock.time(), asked, h.view)
	if !found {
		panic("model: the queue granted a slot that the router does not have")
	}
	index := h.index(id)
	h.view[index].Busy++
	if h.forwards {
		h.forward(request, item, index)
		return
	}
	s.between(h.entry, request.entry, func() {
		s.attempt(request, request.entry, h.workers[index], func(result acaciatally.AttemptResult) {
			s.between(request.entry, h.entry, func() { h.release(item, index, result) })
			h.finish(request, index, result)
		})
	})
}

// forward sends the request from the home and the answer back to the caller's entry.
func (h *home) forward(request *request, item queue.Item, index int) {
	s := h.simulation
	s.attempt(request, h.entry, h.workers[index], func(result acaciatally.AttemptResult) {
		h.release(item, index, result)
		s.between(h.entry, request.entry, func() { h.finish(request, index, result) })
	})
}

// finish answers the caller or asks again.
func (h *home) finish(request *request, index int, result acaciatally.AttemptResult) {
	request.tried = append(request.tried, h.workers[index].id)
	if h.simulation.answer(request, result) {
		h.again(request)
	}
}

func (h *home) release(item queue.Item, index int, result acaciatally.AttemptResult) {
	now := h.simulation.clock.time()
	h.view[index].Busy--
	h.router.Report(now, h.workers[index].id, result)
	h.scheduler.Done(now, item, learned(result))
	h.grant()
}

// learned returns the service time of an attempt that ran, and 0 otherwise.
func learned(result acaciatally.AttemptResult) time.Duration {
	if result.Refused || result.Outcome == acaciatally.NotRun {
		return 0
	}
	return result.ServiceTime
}

func (h *home) index(id acaciatally.InstanceID) int {
	for i := range h.view {
		if h.view[i].ID == id {
			return i
		}
	}
	return -1
}
