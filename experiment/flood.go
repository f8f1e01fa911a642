package experiment

import (
	"context"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// Flood compares schedulers in a flood of the least urgent work and then of the most urgent work.
type Flood struct{}

var floodPolicies = []model.Policy{model.SlotHome, model.BaselineArrivalOrder, model.BaselineStrictPriority}

// quotaVariant says how the quotas of the teams are set.
type quotaVariant struct {
	suffix string // of the measures' names
	apply  func(teams []model.Team)
}

var quotaVariants = []quotaVariant{
	{suffix: "", apply: func([]model.Team) {}},
	{suffix: "WithoutQuotas", apply: func(teams []model.Team) {
		for i := range teams {
			teams[i].Quota = 0
		}
	}},
}

// String returns the experiment's name.
func (Flood) String() string { return "flood" }

// Run measures the share of the other work's goodput that is kept and the start delay of other urgent work.
func (Flood) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		recorded, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		for _, variant := range quotaVariants {
			for _, policy := range floodPolicies {
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

func floodFigures(recorded *trace.Trace, policy model.Policy, variant quotaVariant, seed uint64) (figures []Figure, err error) {
	config := recorded.Config(policy, seed)
	variant.apply(config.Teams)
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
