package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/route"
)

// The backoff of entries that retry refused attempts, with full jitter.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
	maxDoublings = 7
)

// alone is the policy in which each entry chooses workers by what it alone knows.
type alone struct {
	simulation *simulation
	entries    [][]*aloneView // by entry and pool
}

// aloneView is what one entry knows of one pool.
type aloneView struct {
	pool   *pool
	router *route.Router
	view   []route.Worker
	next   int
}

func newAlone(s *simulation) *alone {
	created := &alone{simulation: s}
	for range s.entries {
		var views []*aloneView
		for _, pool := range s.pools {
			views = append(views, newAloneView(s, pool))
		}
		created.entries = append(created.entries, views)
	}
	return created
}

func newAloneView(s *simulation, pool *pool) *aloneView {
	config := s.config.Route
	config.WithoutBreaker, config.WithoutProbation = true, true
	created := &aloneView{pool: pool, router: route.New(config)}
	for _, worker := range pool.workers {
		created.view = append(created.view, route.Worker{ID: worker.id, DataCentre: worker.dataCentre, Slots: worker.slots})
	}
	return created
}

func (a *alone) submit(request *request) {
	view := a.view(request)
	index, found := a.pick(view)
	if !found {
		a.retry(request, 0)
		return
	}
	view.view[index].Busy++
	a.simulation.attempt(request, request.entry, view.pool.workers[index], func(result acaciatally.AttemptResult) {
		view.view[index].Busy--
		view.router.Report(a.simulation.clock.time(), view.view[index].ID, result)
		if a.simulation.answer(request, result) {
			a.retry(request, request.attempts)
		}
	})
}

func (a *alone) view(request *request) *aloneView {
	for _, view := range a.entries[request.entry.index] {
		if view.pool == request.pool {
			return view
		}
	}
	return nil
}

func (a *alone) pick(view *aloneView) (index int, found bool) {
	if a.simulation.config.Policy == BaselineRoundRobin {
		view.next = (view.next + 1) % len(view.view)
		return view.next, true
	}
	id, found := view.router.PickTwo(a.simulation.clock.time(), a.simulation.random, route.Request{}, view.view)
	for i := range view.view {
		if view.view[i].ID == id {
			index = i
		}
	}
	return index, found
}

// retry submits the request again after a backoff, or refuses it when its deadline comes first.
func (a *alone) retry(request *request, attempts int) {
	s := a.simulation
	limit := min(maxBackoff, firstBackoff<<min(attempts, maxDoublings))
	delay := time.Duration(s.random.Int64N(int64(limit)))
	if s.clock.now+delay >= request.deadline {
		s.end(request, func(t *Tally) { t.Expired++ })
		return
	}
	s.clock.after(delay, func() { a.submit(request) })
}
