package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// FailingWorker measures the share of requests that a worker receives while it answers every request with a fast error.
type FailingWorker struct{}

// faultFrom and faultTo bound the time in which the worker fails; it includes the first burst of the pool's load.
const (
	faultFrom = 500 * time.Millisecond
	faultTo   = 20 * time.Second
)

// The policies of the experiment: with all of the router's protection, with circuit breakers only, and without protection.
const (
	fullProtection = "SlotHome"
	breakerOnly    = "BaselineBreakerOnly"
	leastLoaded    = "BaselineLeastLoaded"
)

// String returns the experiment's name.
func (FailingWorker) String() string { return "FailingWorker" }

// Run measures the faulty worker's share of its pool's attempts and the share of requests that fail.
func (FailingWorker) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		loadTrace, err := trace.Read(deployment + "-rhythm")
		if err != nil {
			return nil, err
		}
		for _, policy := range []string{fullProtection, breakerOnly, leastLoaded} {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			config := loadTrace.Config(model.SlotHome, seed)
			config.Duration = faultTo
			config.Faults = []model.Fault{{Pool: config.Pools[0].Name, Kind: model.FailsFast, From: faultFrom, To: faultTo}}
			config.Route.DisableProbation = policy != fullProtection
			config.Route.DisableBreaker = policy == leastLoaded
			result, err := simulate(config)
			if err != nil {
				return nil, err
			}
			s := newFigureSet(loadTrace, model.Policy(policy), seed)
			figures = append(figures, failingFigures(s, config.Pools[0], result)...)
		}
	}
	return figures, nil
}

func failingFigures(s *figureSet, pool model.Pool, result model.Result) []Figure {
	attempts, failing, failed, offered := 0, 0, 0, 0
	for _, worker := range result.Workers {
		if worker.Pool == pool.Name {
			attempts += worker.Attempts
			failing += worker.Failed
		}
	}
	for _, tally := range result.Whole.Ordinary {
		failed += tally.Failed
		offered += tally.Offered
	}
	s.addRatio("FailingWorkerShare", failing, attempts, unitShare)
	s.add("EqualShare", 1/float64(pool.Workers), unitShare)
	s.addRatio("FailedRequests", failed, offered, unitShare)
	return s.figures
}
