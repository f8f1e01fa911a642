package control

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/lifecycle"
	"github.com/acaciatally/acaciatally/settings"
)

// LeaseName is the lease under which one entry controls all pools. Moves and waves weigh all pools against each other, and a lease
// for each pool would cost a write for each pool and renewal.
const LeaseName = "Control"

// WorkerTasks tells of the tasks on workers.
type WorkerTasks interface {
	// OnWorker returns the ids of the pool's tasks that may be running on the worker.
	OnWorker(ctx context.Context, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error)
}

// Config is what the steps share.
type Config struct {
	Log        *changelog.Log
	Lease      *changelog.Lease
	Membership acaciatally.Membership
	Observer   acaciatally.Observer
	List       acaciatally.InstanceList
	Instances  acaciatally.InstanceControl
	Health     acaciatally.HealthCheck
	// Tasks tells of the tasks on a worker, which end or checkpoint before it stops or moves; nil runs none.
	Tasks      WorkerTasks
	Clock      acaciatally.Clock
	Control    settings.Control
	Weights    settings.Weights
	Limits     lifecycle.Limits
	By         string // name of this process in the log
	Logger     *log.Logger
	Forecaster *DemandForecaster // history of the demand, kept across rounds
}

// SetDefaults fills in the zero values.
func (c *Config) SetDefaults() {
	if c.Clock == nil {
		c.Clock = acaciatally.SystemClock{}
	}
	if c.Forecaster == nil {
		c.Forecaster = NewDemandForecaster()
	}
	if c.Logger == nil {
		c.Logger = &log.DefaultLogger
	}
	c.Control.Default()
	c.Weights.Default()
	c.Limits.SetDefaults()
}

// MayAct returns the right to commit, or false when this entry is not in control or its view is not fresh.
func (c *Config) MayAct() (hold changelog.Hold, may bool) {
	hold, may = c.Lease.Hold()
	return hold, may && c.Membership.Fresh()
}

// Round is one run of the pipeline.
type Round struct {
	Now        time.Time
	State      *fleet.State
	Acting     bool // this entry was in control with a fresh view when the round began
	Operations map[acaciatally.InstanceID]acaciatally.OperationState
	Healthy    map[acaciatally.InstanceID]bool
	Vacant     map[acaciatally.InstanceID]bool // instances out of service that are known to have no task to wait for
	Verdicts   []assessment.Verdict
	Actions    []approval.Action
	Calls      []lifecycle.Operation
	Results    []Result
	Called     int // operations that were ordered
}

// Result is what became of an action.
type Result struct {
	Action  approval.Action
	Version uint64
	Err     error
}

// Step is one step of the control pipeline.
type Step interface {
	// String returns a short verb phrase for logs and metrics.
	String() string
	// Run works on the round; an error ends the round, and the next one begins anew.
	Run(ctx context.Context, round *Round) (err error)
}

// Controller runs the pipeline; one goroutine owns it.
type Controller struct {
	config *Config
	steps  []Step
	failed string // step that failed last, so that only changes are logged
}

// New returns a controller with the given steps.
func New(config *Config, steps ...Step) *Controller {
	return &Controller{config: config, steps: steps}
}

// maxPasses bounds the passes of a round: drain, stop, reboot, check and serve can follow each other at once.
const maxPasses = 5

// Round runs the steps, again while they make progress, and returns the last pass.
func (c *Controller) Round(ctx context.Context) (round *Round, err error) {
	for range maxPasses {
		if round, err = c.pass(ctx); err != nil || !round.progressed() {
			break
		}
	}
	return round, err
}

func (c *Controller) pass(ctx context.Context) (round *Round, err error) {
	round = &Round{Now: c.config.Clock.Now()}
	for _, step := range c.steps {
		if err = step.Run(ctx, round); err != nil {
			c.note(step.String(), err)
			return round, err
		}
	}
	c.note("", nil)
	return round, nil
}

// progressed reports whether a change was accepted or the platform was called, after which another step may be due.
func (r *Round) progressed() bool {
	return r.Called > 0 || slices.ContainsFunc(r.Results, func(result Result) bool { return result.Err == nil })
}

func (c *Controller) note(failed string, err error) {
	if failed != "" && failed != c.failed {
		c.config.Logger.Warn().Str("step", failed).Err(err).Msg("control round ended early")
	}
	c.failed = failed
}

// Run runs a round each interval until ctx ends, then gives up the lease.
func (c *Controller) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(c.config.Control.RoundInterval)
	defer ticker.Stop()
	for {
		_, _ = c.Round(ctx)
		select {
		case <-ctx.Done():
			return c.config.Lease.Release(context.WithoutCancel(ctx))
		case <-ticker.C:
		}
	}
}
