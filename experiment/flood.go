package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// Flood compares schedulers in a flood of the least urgent work and then of the most urgent work.
type Flood struct{}

var floodPolicies = []model.Policy{model.SlotHome, model.BaselineArrivalOrder, model.BaselineStrictPriority}

// floodVariant changes what else the floods meet.
type floodVariant struct {
	suffix   string // of the measures' names
	policies []model.Policy
	change   func(config *model.Config)
}

var floodVariants = []floodVariant{
	{suffix: "", policies: floodPolicies, change: func(*model.Config) {}},
	{suffix: "WithoutQuotas", policies: floodPolicies, change: withoutQuotas},
	{suffix: "WithFaults", policies: floodPolicies[:1], change: withFaults},
}

func withoutQuotas(config *model.Config) {
	for i := range config.Teams {
		config.Teams[i].Quota = 0
	}
}

// withFaults makes one worker of each pool fail fast and another one slow, from before the floods to their end.
func withFaults(config *model.Config) {
	for _, pool := range config.Pools {
		for i, kind := range []model.FaultKind{model.FailsFast, model.Slow} {
			config.Faults = append(config.Faults, model.Fault{
				Pool: pool.Name, Worker: i, Kind: kind, From: faultsFrom, To: config.Duration,
			})
		}
	}
}

// faultsFrom is when workers become faulty in the floods.
const faultsFrom = 2 * time.Second

// String returns the experiment's name.
func (Flood) String() string { return "Flood" }

// Run measures the share of the other work's goodput that is kept and the start delay of other urgent work.
func (Flood) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		recorded, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		for _, variant := range floodVariants {
			for _, policy := range variant.policies {
				if err := ctx.Err(); err != nil {
					return nil, err
				}
				measured, err := floodFigures(recorded, policy, variant, seed)
				if err != nil {
					return nil, err
				}
				figures = append(figures, measured...)
			}
		}
	}
	return figures, nil
}

// floodNames names the windows of the recorded floods in their order.
var floodNames = []string{"LeastUrgentFlood", "MostUrgentFlood"}

func floodFigures(recorded *trace.Trace, policy model.Policy, variant floodVariant, seed uint64) (figures []Figure, err error) {
	config := recorded.Config(policy, seed)
	variant.change(&config)
	with, err := run(config)
	if err != nil {
		return nil, err
	}
	without, err := run(trace.WithoutFlood(config))
	if err != nil {
		return nil, err
	}
	s := newSeries(recorded, policy, seed)
	for i, name := range floodNames {
		windowFigures(s, name+variant.suffix, with.Windows[i], without.Windows[i])
	}
	s.add("TeamFairness"+variant.suffix, model.Jain(answeredShares(with.Teams, recorded)), unitIndex)
	return s.figures, nil
}

func windowFigures(s *series, name string, with, without model.Window) {
	s.addRatio("Kept"+name, model.Goodput(with.Other), model.Goodput(without.Other), unitShare)
	for urgency := range with.Other {
		class := acaciatally.Urgency(urgency)
		s.addRatio("Kept"+class.String()+name, with.Other[class].Answered, without.Other[class].Answered, unitShare)
	}
	s.addTime("UrgentStartP99"+name, with.Other[acaciatally.Urgent].Wait(0.99))
	expired, accepted := 0, 0
	for _, classes := range [][acaciatally.UrgencyClasses]model.Tally{with.Other, with.Flood} {
		for _, tally := range classes {
			expired += tally.Expired + tally.Late
			accepted += tally.Offered - tally.Refused
		}
	}
	s.addRatio("AcceptedInVain"+name, expired, accepted, unitShare)
}

// answeredShares returns the answered part of each ordinary team's requests.
func answeredShares(teams []model.TeamTally, recorded *trace.Trace) (shares []float64) {
	for _, team := range teams {
		if recorded.Floods(team.Team) || team.Offered == 0 {
			continue
		}
		shares = append(shares, float64(team.Answered)/float64(team.Offered))
	}
	return shares
}
