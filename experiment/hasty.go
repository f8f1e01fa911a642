package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// Hasty measures what other work loses when one team sends requests with deadlines that most of them cannot meet.
type Hasty struct{}

// The load of the hasty team in each pool.
const (
	hastyTeam     acaciatally.TeamName = "hasty"
	hastyQuota                         = 16
	hastyDemand                        = 0.8
	hastyDuration                      = 16 * time.Second
	// hastyPart is the part of the mean service time that the team's deadlines leave.
	hastyPart = 0.4
)

// String returns the experiment's name.
func (Hasty) String() string { return "hasty" }

// Run measures the share of the other work's goodput that is kept.
func (Hasty) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		recorded, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		config := hastyConfig(recorded, seed)
		with, err := run(config)
		if err != nil {
			return nil, err
		}
		without, err := run(trace.WithoutFlood(config))
		if err != nil {
			return nil, err
		}
		s := newSeries(recorded, model.SlotHome, seed)
		s.addRatio("KeptBesideShortDeadlines", model.Goodput(with.Whole.Other), model.Goodput(without.Whole.Other), unitShare)
		s.addTime("UrgentStartP99BesideShortDeadlines", with.Whole.Other[acaciatally.Urgent].Wait(0.99))
		figures = append(figures, s.figures...)
	}
	return figures, nil
}

// hastyConfig replaces the floods of a trace by the hasty team's requests.
func hastyConfig(recorded *trace.Trace, seed uint64) model.Config {
	config := recorded.Config(model.SlotHome, seed)
	config.Duration, config.Windows = hastyDuration, nil
	config.Teams = append(config.Teams, model.Team{Name: hastyTeam, Quota: hastyQuota})
	for i, source := range config.Load {
		if !source.Flood {
			continue
		}
		source.Teams, source.Urgency, source.Demand = []acaciatally.TeamName{hastyTeam}, acaciatally.Normal, hastyDemand
		source.Deadline = time.Duration(hastyPart * float64(source.Service))
		source.Phases, source.Otherwise = nil, 0.5
		config.Load[i] = source
	}
	return config
}
