package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// FailingWorker measures how much work a worker draws that answers everything with fast errors.
type FailingWorker struct{}

// failingFrom and failingTo are when the worker fails; the rhythm's first burst lies in it.
const (
	failingFrom = 500 * time.Millisecond
	failingTo   = 20 * time.Second
)

// The policies of the experiment: the parts of the router's protection.
const (
	withProbation = "SlotHome"
	breakerOnly   = "BaselineBreakerOnly"
	leastLoaded   = "BaselineLeastLoaded"
)

// String returns the experiment's name.
func (FailingWorker) String() string { return "FailingWorker" }

// Run measures the faulty worker's share of its pool's attempts and the ordinary requests that fail.
func (FailingWorker) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		recorded, err := trace.Read(deployment + "-rhythm")
		if err != nil {
			return nil, err
		}
		for _, policy := range []string{withProbation, breakerOnly, leastLoaded} {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			config := recorded.Config(model.SlotHome, seed)
			config.Duration = failingTo
			config.Faults = []model.Fault{{Pool: config.Pools[0].Name, Kind: model.FailsFast, From: failingFrom, To: failingTo}}
			config.Route.WithoutProbation = policy != withProbation
			config.Route.WithoutBreaker = policy == leastLoaded
			result, err := run(config)
			if err != nil {
				return nil, err
			}
			s := newSeries(recorded, model.Policy(policy), seed)
			figures = append(figures, failingFigures(s, config.Pools[0], result)...)
		}
	}
	return figures, nil
}

func failingFigures(s *series, pool model.Pool, result model.Result) []Figure {
	attempts, failing, failed, offered := 0, 0, 0, 0
	for _, worker := range result.Workers {
		if worker.Pool == pool.Name {
			attempts += worker.Attempts
			failing += worker.Failed
		}
	}
	for _, tally := range result.Whole.Other {
		failed += tally.Failed
		offered += tally.Offered
	}
	s.addRatio("FailingWorkerShare", failing, attempts, unitShare)
	s.add("EqualShare", 1/float64(pool.Workers), unitShare)
	s.addRatio("FailedRequests", failed, offered, unitShare)
	return s.figures
}
