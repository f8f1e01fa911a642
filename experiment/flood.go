package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// Flood compares schedulers under an overload of the least urgent requests and then of the most urgent requests.
type Flood struct{}

var floodPolicies = []model.Policy{model.SlotHome, model.BaselineArrivalOrder, model.BaselineStrictPriority}

// floodVariant changes other conditions of the floods, such as quotas or faulty workers.
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

// withFaults makes one worker of each pool fail fast and another one slow, from before the first flood to the end of the run.
func withFaults(config *model.Config) {
	for _, pool := range config.Pools {
		for i, kind := range []model.FaultKind{model.FailsFast, model.Slow} {
			config.Faults = append(config.Faults, model.Fault{
				Pool: pool.Name, Worker: i, Kind: kind, From: faultStart, To: config.Duration,
			})
		}
	}
}

// faultStart is the time at which workers become faulty, before the first flood.
const faultStart = 2 * time.Second

// String returns the experiment's name.
func (Flood) String() string { return "Flood" }

// Run measures the share of the goodput of ordinary requests that is kept, and the start delay of ordinary urgent requests.
func (Flood) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		loadTrace, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		for _, variant := range floodVariants {
			for _, policy := range variant.policies {
				if err := ctx.Err(); err != nil {
					return nil, err
				}
				measured, err := floodFigures(loadTrace, policy, variant, seed)
				if err != nil {
					return nil, err
				}
				figures = append(figures, measured...)
			}
		}
	}
	return figures, nil
}

// floodWindows are the names of the time windows of a trace with floods, in the trace's order.
var floodWindows = []string{"LeastUrgentFlood", "MostUrgentFlood"}

func floodFigures(loadTrace *trace.Trace, policy model.Policy, variant floodVariant, seed uint64) (figures []Figure, err error) {
	config := loadTrace.Config(policy, seed)
	variant.change(&config)
	with, err := simulate(config)
	if err != nil {
		return nil, err
	}
	without, err := simulate(trace.WithoutFlood(config))
	if err != nil {
		return nil, err
	}
	s := newFigureSet(loadTrace, policy, seed)
	for i, name := range floodWindows {
		windowFigures(s, name+variant.suffix, with.Windows[i], without.Windows[i])
	}
	s.add("TeamFairness"+variant.suffix, model.Jain(answeredShares(with.Teams, loadTrace)), unitIndex)
	return s.figures, nil
}

func windowFigures(s *figureSet, name string, with, without model.Window) {
	s.addRatio("Kept"+name, model.Goodput(with.Ordinary), model.Goodput(without.Ordinary), unitShare)
	for urgency := range with.Ordinary {
		class := acaciatally.Urgency(urgency)
		s.addRatio("Kept"+class.String()+name, with.Ordinary[class].Answered, without.Ordinary[class].Answered, unitShare)
	}
	s.addTime("UrgentStartP99"+name, with.Ordinary[acaciatally.Urgent].Wait(0.99))
	expired, accepted := 0, 0
	for _, classes := range [][acaciatally.UrgencyClasses]model.Tally{with.Ordinary, with.Flood} {
		for _, tally := range classes {
			expired += tally.Expired + tally.Late
			accepted += tally.Offered - tally.Refused
		}
	}
	s.addRatio("AcceptedInVain"+name, expired, accepted, unitShare)
}

// answeredShares returns the answered share of the requests of each team that sends no flood.
func answeredShares(teams []model.TeamTally, loadTrace *trace.Trace) (shares []float64) {
	for _, team := range teams {
		if loadTrace.SendsFlood(team.Team) || team.Offered == 0 {
			continue
		}
		shares = append(shares, float64(team.Answered)/float64(team.Offered))
	}
	return shares
}
