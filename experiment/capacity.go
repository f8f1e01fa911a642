package experiment

import (
	"context"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
)

// Capacity measures the reserve, the moves and the goodput under load bursts that exceed the size of one pool after another.
type Capacity struct{}

// String returns the experiment's name.
func (Capacity) String() string { return "Capacity" }

// Run measures this system and two baselines with each load pattern on each deployment.
func (c Capacity) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range model.Deployments() {
		for _, pattern := range loadPatterns {
			for _, name := range []string{policyName, "BaselineFixedReserve", "BaselineReactive"} {
				result, err := c.run(ctx, deployment, pattern, name, seed)
				if err != nil {
					return nil, err
				}
				figures = append(figures, result.figures(deployment, pattern, name, seed)...)
			}
		}
	}
	return figures, nil
}

func (Capacity) run(
	ctx context.Context, deployment *settings.Settings, pattern loadPattern, name string, seed uint64,
) (result policyResult, err error) {
	load := newLoad(deployment, pattern, seed)
	clock := model.NewManualClock()
	var p capacityPolicy
	switch name {
	case "BaselineFixedReserve":
		p = newFixedReserve(deployment)
	case "BaselineReactive":
		p = newReactive(deployment, clock, seed)
	default:
		c, err := newControlledFleet(ctx, deployment, seed)
		if err != nil {
			return result, err
		}
		p, clock = &controlPolicy{controlledFleet: c, version: c.log.State().Version}, c.clock
	}
	return measureCapacity(ctx, p, deployment, load, clock)
}

func (r policyResult) figures(deployment *settings.Settings, pattern loadPattern, policy string, seed uint64) (figures []Figure) {
	weights := deployment.Weights
	cost := weights.Reserve*r.reserve + weights.Moves*float64(r.moves)*moveCost.Seconds()
	for _, figure := range []Figure{
		{Measure: "Reserve" + pattern.name, Value: r.reserve / measuredTime.Seconds(), Unit: "instances"},
		{Measure: "ReserveAboveBudget" + pattern.name, Value: r.aboveMinimum / measuredTime.Seconds(), Unit: "instances"},
		{Measure: "Moves" + pattern.name, Value: float64(r.moves), Unit: "moves/h"},
		{Measure: "WeightedCost" + pattern.name, Value: cost / measuredTime.Seconds(), Unit: "weightedInstances"},
		{Measure: "GoodputKept" + pattern.name, Value: 100 * (1 - r.lost/r.offered), Unit: "%"},
	} {
		figure.Deployment, figure.Policy, figure.Seed = deployment.Deployment, policy, seed
		figures = append(figures, figure)
	}
	return figures
}
