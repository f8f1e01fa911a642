package experiment

import (
	"context"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// Routing compares ways to assign requests to slots while each pool in turn has a load of five times its mean.
type Routing struct{}

var routingPolicies = []model.Policy{
	model.SlotHome, model.WorkerHome, model.SlotCredits, model.BaselineAlone, model.BaselineRoundRobin,
}

// String returns the experiment's name.
func (Routing) String() string { return "Routing" }

// Run measures refused attempts, goodput, waiting times and hops on both deployments.
func (Routing) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		loadTrace, err := trace.Read(deployment + "-rhythm")
		if err != nil {
			return nil, err
		}
		for _, policy := range routingPolicies {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			result, err := simulate(loadTrace.Config(policy, seed))
			if err != nil {
				return nil, err
			}
			figures = append(figures, routingFigures(newFigureSet(loadTrace, policy, seed), result)...)
		}
	}
	return figures, nil
}

func routingFigures(s *figureSet, result model.Result) []Figure {
	offered := model.Offered(result.Whole.Ordinary)
	waits := model.AllWaits(result.Whole.Ordinary)
	s.addRatio("RefusedAttempts", result.RefusedAttempts, result.Attempts, unitShare)
	s.addRatio("Goodput", model.Goodput(result.Whole.Ordinary), offered, unitShare)
	s.addTime("WaitP50", waits.Wait(0.5))
	s.addTime("WaitP99", waits.Wait(0.99))
	s.addTime("UrgentWaitP99", result.Whole.Ordinary[acaciatally.Urgent].Wait(0.99))
	s.addRatio("Hops", result.Hops, offered, unitPerRequest)
	return s.figures
}
