package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/route"
)

// Exponential backoff with full jitter for the retry of refused attempts.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	maxDoublings   = 7
)

// localChoice is the policy in which each entry chooses workers from its own data, without a slot home.
type localChoice struct {
	simulation *simulation
	entries    [][]*poolView // by entry and pool
}

// poolView is the data that one entry has on one pool.
type poolView struct {
	pool       *pool
	router     *route.Router
	candidates []route.Worker // the workers with the load caused by this entry
	next       int            // index of the worker chosen last by round-robin
}

func newLocalChoice(s *simulation) *localChoice {
	created := &localChoice{simulation: s}
	for range s.entries {
		var views []*poolView
		for _, pool := range s.pools {
			views = append(views, newPoolView(s, pool))
		}
		created.entries = append(created.entries, views)
	}
	return created
}

func newPoolView(s *simulation, pool *pool) *poolView {
	config := s.config.Route
	config.DisableBreaker, config.DisableProbation = true, true
	created := &poolView{pool: pool, router: route.New(config)}
	for _, worker := range pool.workers {
		created.candidates = append(created.candidates, route.Worker{ID: worker.id, DataCentre: worker.dataCentre, Slots: worker.slots})
	}
	return created
}

func (a *localChoice) submit(request *request) {
	view := a.viewOf(request)
	index, found := a.pick(view)
	if !found {
		a.retry(request, 0)
		return
	}
	view.candidates[index].BusySlots++
	a.simulation.attempt(request, request.entry, view.pool.workers[index], func(result acaciatally.AttemptResult) {
		view.candidates[index].BusySlots--
		view.router.Report(a.simulation.clock.time(), view.candidates[index].ID, result)
		if a.simulation.handleResult(request, result) {
			a.retry(request, request.attempts)
		}
	})
}

func (a *localChoice) viewOf(request *request) *poolView {
	for _, view := range a.entries[request.entry.index] {
		if view.pool == request.pool {
			return view
		}
	}
	return nil
}

func (a *localChoice) pick(view *poolView) (index int, found bool) {
	if a.simulation.config.Policy == BaselineRoundRobin {
		view.next = (view.next + 1) % len(view.candidates)
		return view.next, true
	}
	id, found := view.router.PickTwo(a.simulation.clock.time(), a.simulation.random, route.Request{}, view.candidates)
	for i := range view.candidates {
		if view.candidates[i].ID == id {
			index = i
		}
	}
	return index, found
}

// retry submits the request again after a backoff, or counts it as expired if its deadline comes first.
func (a *localChoice) retry(request *request, attempts int) {
	s := a.simulation
	limit := min(maxBackoff, initialBackoff<<min(attempts, maxDoublings))
	delay := time.Duration(s.random.Int64N(int64(limit)))
	if s.clock.now+delay >= request.deadline {
		s.finish(request, func(t *Tally) { t.Expired++ })
		return
	}
	s.clock.after(delay, func() { a.submit(request) })
}
