package experiment

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// FailingTeam measures the goodput that other teams lose when one team sends requests that fail although the workers are healthy.
type FailingTeam struct{}

// The load of the failing team in each pool.
const (
	failingTeam         acaciatally.TeamName = "failing"
	failingTeamQuota                         = 16
	shortDeadlineDemand                      = 0.4
	failingTeamDuration                      = 16 * time.Second
	// shortDeadlineFactor is the short deadline as a share of the mean service time.
	shortDeadlineFactor = 0.4
	// failingRequestDemand is the demand that each of the failing team's two streams would have if its requests ran. It makes more than
	// a third of all requests fail, which is the worst case: with more, over half of the workers look faulty and the router withholds
	// none of them.
	failingRequestDemand = 0.2
)

// failureVariant is a reason why the failing team's requests fail.
type failureVariant struct {
	measure string
	change  func(source *model.Source)
}

var failureVariants = []failureVariant{
	{measure: "KeptBesideShortDeadlines", change: func(source *model.Source) {
		source.Demand = shortDeadlineDemand
		source.Deadline = time.Duration(shortDeadlineFactor * float64(source.ServiceTime))
	}},
	{measure: "KeptBesideFailingRequests", change: func(source *model.Source) {
		source.Demand = failingRequestDemand
		source.AlwaysFails = true
	}},
}

// String returns the experiment's name.
func (FailingTeam) String() string { return "FailingTeam" }

// Run measures the share of the goodput of the other teams that is kept.
func (FailingTeam) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range deployments {
		loadTrace, err := trace.Read(deployment + "-floods")
		if err != nil {
			return nil, err
		}
		s := newFigureSet(loadTrace, model.SlotHome, seed)
		for _, variant := range failureVariants {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			if err = s.addKeptGoodput(variant, failingTeamConfig(loadTrace, variant, seed)); err != nil {
				return nil, err
			}
		}
		figures = append(figures, s.figures...)
	}
	return figures, nil
}

func (s *figureSet) addKeptGoodput(variant failureVariant, config model.Config) (err error) {
	with, err := simulate(config)
	if err != nil {
		return err
	}
	without, err := simulate(trace.WithoutFlood(config))
	if err != nil {
		return err
	}
	s.addRatio(variant.measure, model.Goodput(with.Whole.Ordinary), model.Goodput(without.Whole.Ordinary), unitShare)
	return nil
}

// failingTeamConfig replaces the floods of a trace by streams of the failing team's requests to each pool.
func failingTeamConfig(loadTrace *trace.Trace, variant failureVariant, seed uint64) model.Config {
	config := loadTrace.Config(model.SlotHome, seed)
	config.Duration, config.Windows = failingTeamDuration, nil
	config.Teams = append(config.Teams, model.Team{Name: failingTeam, Quota: failingTeamQuota})
	for i := range config.Load {
		source := &config.Load[i]
		if !source.Flood {
			continue
		}
		source.Teams, source.Urgency = []acaciatally.TeamName{failingTeam}, acaciatally.Normal
		source.Phases, source.BaseFactor = nil, 1
		variant.change(source)
	}
	return config
}
