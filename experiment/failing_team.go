package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// FailingTeam measures what other work loses when one team sends requests that fail through no fault of the workers.
type FailingTeam struct{}

// The load of the failing team in each pool.
const (
	failingTeam         acaciatally.TeamName = "failing"
	failingTeamQuota                         = 16
	failingTeamDemand                        = 0.4
	failingTeamDuration                      = 16 * time.Second
	// shortDeadline is the part of the mean service time that short deadlines leave.
	shortDeadline = 0.4
	// failingDemand is the demand that each of the failing team's two streams would have if its requests ran; more than a third of
	// all requests fail so, which is the worst case: with more, more than half of the workers look faulty and none is withheld.
	failingDemand = 0.2
)

// variant is a way in which the failing team's requests fail.
type variant struct {
	measure string
	change  func(source *model.Source)
}

var variants = []variant{
	{measure: "KeptBesideShortDeadlines", change: func(source *model.Source) {
		source.Demand = failingTeamDemand
		source.Deadline = time.Duration(shortDeadline * float64(source.Service))
	}},
	{measure: "KeptBesideFailingRequests", change: func(source *model.Source) {
		source.Demand = failingDemand
		source.Fails = true
	}},
}

// String returns the experiment's name.
func (FailingTeam) String() string { return "FailingTeam" }

// Run measures the share of the other work's goodput that is kept.
func (FailingTeam) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		recorded, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		s := newSeries(recorded, model.SlotHome, seed)
		for _, variant := range variants {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			if err = s.addCulprit(variant, failingTeamConfig(recorded, variant, seed)); err != nil {
				return nil, err
			}
		}
		figures = append(figures, s.figures...)
	}
	return figures, nil
}

func (s *series) addCulprit(variant variant, config model.Config) (err error) {
	with, err := run(config)
	if err != nil {
		return err
	}
	without, err := run(trace.WithoutFlood(config))
	if err != nil {
		return err
	}
	s.addRatio(variant.measure, model.Goodput(with.Whole.Other), model.Goodput(without.Whole.Other), unitShare)
	return nil
}

// failingTeamConfig replaces the floods of a trace by one stream of the failing team's requests to each pool.
func failingTeamConfig(recorded *trace.Trace, variant variant, seed uint64) model.Config {
	config := recorded.Config(model.SlotHome, seed)
	config.Duration, config.Windows = failingTeamDuration, nil
	config.Teams = append(config.Teams, model.Team{Name: failingTeam, Quota: failingTeamQuota})
	for i := range config.Load {
		source := &config.Load[i]
		if !source.Flood {
			continue
		}
		source.Teams, source.Urgency = []acaciatally.TeamName{failingTeam}, acaciatally.Normal
		source.Phases, source.Otherwise = nil, 1
		variant.change(source)
	}
	return config
}
