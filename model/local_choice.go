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
	lastChosen int            // index of the worker chosen last by round-robin
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

func (l *localChoice) submit(request *request) {
	view := l.viewOf(request)
	index, found := l.pick(view)
	if !found {
		l.retry(request, 0)
		return
	}
	view.candidates[index].BusySlots++
	l.simulation.attempt(request, request.entry, view.pool.workers[index], func(result acaciatally.AttemptResult) {
		view.candidates[index].BusySlots--
		view.router.Report(l.simulation.clock.time(), view.candidates[index].ID, result)
		if l.simulation.handleResult(request, result) {
			l.retry(request, request.attempts)
		}
	})
}

func (l *localChoice) viewOf(request *request) *poolView {
	for _, view := range l.entries[request.entry.index] {
		if view.pool == request.pool {
			return view
		}
	}
	return nil
}

func (l *localChoice) pick(view *poolView) (index int, found bool) {
	if l.simulation.config.Policy == BaselineRoundRobin {
		view.lastChosen = (view.lastChosen + 1) % len(view.candidates)
		return view.lastChosen, true
	}
	id, found := view.router.PickTwo(l.simulation.clock.time(), l.simulation.random, route.Request{}, view.candidates)
	for i := range view.candidates {
		if view.candidates[i].ID == id {
			index = i
		}
	}
	return index, found
}

// retry submits the request again after a backoff, or counts it as expired if its deadline comes first.
func (l *localChoice) retry(request *request, attempts int) {
	s := l.simulation
	limit := min(maxBackoff, initialBackoff<<min(attempts, maxDoublings))
	delay := time.Duration(s.random.Int64N(int64(limit)))
	if s.clock.now+delay >= request.deadline {
		s.finish(request, func(t *Tally) { t.Expired++ })
		return
	}
	s.clock.after(delay, func() { l.submit(request) })
}
