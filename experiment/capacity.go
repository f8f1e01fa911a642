package experiment

import (
	"context"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
)

// Capacity measures the reserve, the moves and the work kept while each pool in its turn demands more than it holds.
type Capacity struct{}

// String returns the experiment's name.
func (Capacity) String() string { return "Capacity" }

// Run measures the policy and two baselines on each rhythm for each deployment.
func (c Capacity) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range model.Deployments() {
		for _, trace := range traces {
			for _, name := range []string{policyName, "BaselineFixedReserve", "BaselineReactive"} {
				t, err := c.run(ctx, deployment, trace, name, seed)
				if err != nil {
					return nil, err
				}
				figures = append(figures, t.figures(deployment, trace, name, seed)...)
			}
		}
	}
	return figures, nil
}

func (Capacity) run(ctx context.Context, deployment *settings.Settings, trace traceConfig, name string, seed uint64) (t tally, err error) {
	load := loadOf(deployment, trace, seed)
	clock := model.NewClock()
	var p policy
	switch name {
	case "BaselineFixedReserve":
		p = newFixedReserve(deployment)
	case "BaselineReactive":
		p = newReactive(deployment, clock, seed)
	default:
		c, err := newControlled(ctx, deployment, seed)
		if err != nil {
			return t, err
		}
		p, clock = &system{controlled: c, version: c.log.State().Version}, c.clock
	}
	return measure(ctx, p, deployment, load, clock)
}

func (t tally) figures(deployment *settings.Settings, trace traceConfig, policy string, seed uint64) (figures []Figure) {
	weights := deployment.Weights
	cost := weights.Reserve*t.reserve + weights.Moves*float64(t.moves)*moveCost.Seconds()
	for _, one := range []Figure{
		{Measure: "Reserve" + trace.name, Value: t.reserve / measured.Seconds(), Unit: "instances"},
		{Measure: "ReserveAboveBudget" + trace.name, Value: t.above / measured.Seconds(), Unit: "instances"},
		{Measure: "Moves" + trace.name, Value: float64(t.moves), Unit: "moves/h"},
		{Measure: "WeightedCost" + trace.name, Value: cost / measured.Seconds(), Unit: "weightedInstances"},
		{Measure: "GoodputKept" + trace.name, Value: 100 * (1 - t.lost/t.offered), Unit: "%"},
	} {
		one.Deployment, one.Policy, one.Seed = deployment.Deployment, policy, seed
		figures = append(figures, one)
	}
	return figures
}
