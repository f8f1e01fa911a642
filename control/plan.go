package control

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/lifecycle"
	"github.com/acaciatally/acaciatally/move"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/wave"
)

// Plan plans the handling of failures, the next steps of instances out of service, moves and waves, in this order and on one draft of
// the state.
type Plan struct {
	config  *Config
	options map[string]fleet.Option // options that the planners are configured with
	moves   *move.Planner
	waves   *wave.Planner
}

// NewPlan returns the plan step.
func NewPlan(config *Config) *Plan {
	p := &Plan{config: config}
	p.configurePlanners(nil)
	return p
}

// configurePlanners creates the planners for the options in force.
func (p *Plan) configurePlanners(options map[string]fleet.Option) {
	limits, weights := settings.WithOptions(p.config.Control, p.config.Weights, options)
	p.options = options
	p.moves = move.New(move.Config{
		Reserve: weights.Reserve, Moves: weights.Moves, HoldTime: limits.MoveHold,
		Margin: move.Margin(weights.Protection, weights.Reserve),
	})
	p.waves = wave.New(wave.Config{QuietPeriod: limits.WaveCalm, MaintainInSparePool: weights.RollOut >= weights.Moves})
}

// String returns the step's name.
func (p *Plan) String() string { return "plan" }

// Run plans when this entry holds the lease and its view is fresh.
func (p *Plan) Run(_ context.Context, round *Round) (err error) {
	if !round.MayAct {
		return nil
	}
	if !maps.Equal(p.options, round.State.Options) {
		p.configurePlanners(round.State.Options)
	}
	draft := round.State.Draft(round.Now)
	p.planFailures(round, draft)
	p.planNextSteps(round, draft)
	round.Actions = append(round.Actions, p.moves.Plan(move.Input{
		Now: round.Now, Draft: draft, Forecaster: p.config.Forecaster, RequiredInstances: wave.RequiredInstances(draft.State()),
	})...)
	round.Actions = append(round.Actions, p.waves.Plan(round.Now, draft)...)
	return nil
}

// planFailures marks instances as failed and quarantines those whose attempts all fail. A failure is a fact and recorded always; a
// quarantine is a decision and must fit the pool's availability budget.
func (p *Plan) planFailures(round *Round, draft *fleet.Draft) {
	for _, finding := range round.Findings {
		instance := round.State.Instances[finding.Instance]
		phase := fleet.Failed
		switch finding.Kind {
		case assessment.Failed:
		case assessment.FailsEvery:
			if instance.Phase != fleet.Serving || draft.State().CheckBudget(instance, fleet.CauseMove) != nil {
				continue
			}
			phase = fleet.Quarantined
		default:
			continue
		}
		reasons := finding.Signals
		if finding.Domain != "" {
			reasons = append(reasons, finding.Domain)
		}
		change := fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: phase}}
		action := approval.NewInstanceAction(string(phase), instance, strings.Join(reasons, "; "), change)
		if phase == fleet.Quarantined {
			action.Check = func(state *fleet.State) error {
				return state.CheckBudget(state.Instances[instance.ID], fleet.CauseMove)
			}
		}
		p.planIfAllowed(round, draft, action)
	}
}

// planNextSteps plans the next step of each instance out of service.
func (p *Plan) planNextSteps(round *Round, draft *fleet.Draft) {
	for _, instance := range outOfService(round.State) {
		if draft.Planned(draft.State().Instances[instance.ID]) {
			continue
		}
		step := lifecycle.Next(instance, p.facts(round, instance), p.config.Limits)
		if step.Operation != nil {
			round.PlannedOperations = append(round.PlannedOperations, *step.Operation)
		}
		if step.Action != nil {
			p.planIfAllowed(round, draft, *step.Action)
		}
	}
}

func (p *Plan) facts(round *Round, instance fleet.Instance) lifecycle.Facts {
	_, target := round.State.Pools[instance.Target]
	return lifecycle.Facts{
		Now:          round.Now,
		Acknowledged: p.config.Membership.Acknowledged(instance.ID, instance.Version) && round.TasksEnded[instance.ID],
		Operation:    round.OperationStates[instance.ID],
		Healthy:      round.Healthy[instance.ID],
		TargetExists: target,
		Correlated:   correlated(round.State, instance),
	}
}

// correlated reports whether another instance of the rack or data centre failed within ten minutes of this one.
func correlated(state *fleet.State, instance fleet.Instance) bool {
	const window = 10 * time.Minute
	for _, other := range state.Instances {
		sameDomain := other.Rack == instance.Rack || other.DataCentre == instance.DataCentre
		if other.ID != instance.ID && sameDomain && other.Phase == fleet.Failed && other.FailedAt.Sub(instance.FailedAt).Abs() < window {
			return true
		}
	}
	return false
}

func (p *Plan) planIfAllowed(round *Round, draft *fleet.Draft, action approval.Action) {
	for _, change := range action.Changes {
		if draft.Try(change) != nil {
			return
		}
	}
	round.Actions = append(round.Actions, action)
}

var _ move.Forecaster = (*DemandForecaster)(nil)

// noObservations is the observer of a process without a traffic path.
type noObservations struct{}

// NoObserver returns an observer without demand and reports, for a process without a traffic path.
func NoObserver() acaciatally.Observer { return noObservations{} }

func (noObservations) Demand() []acaciatally.PoolDemand      { return nil }
func (noObservations) Reports() []acaciatally.InstanceReport { return nil }
