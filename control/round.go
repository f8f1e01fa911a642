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

// LeaseName names the lease under which one entry controls all pools. Moves and waves compare all pools, and a lease per pool would
// cost one write per pool and renewal.
const LeaseName = "Control"

// WorkerTasks looks up the tasks on workers.
type WorkerTasks interface {
	// TasksOnWorker returns the ids of the pool's tasks that may be running on the worker.
	TasksOnWorker(ctx context.Context, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error)
}

// Config holds what the steps share.
type Config struct {
	Log        *changelog.Log
	Lease      *changelog.Lease
	Membership acaciatally.Membership
	Observer   acaciatally.Observer
	List       acaciatally.InstanceList
	Instances  acaciatally.InstanceControl
	Health     acaciatally.HealthCheck
	// Tasks looks up the tasks on a worker, which must end or write a checkpoint before it stops or moves; nil means that workers run
	// no tasks.
	Tasks      WorkerTasks
	Clock      acaciatally.Clock
	Control    settings.Control
	Weights    settings.Weights
	Limits     lifecycle.Limits
	By         string // name of this process in the change log
	Logger     *log.Logger
	Forecaster *DemandForecaster // keeps the history of the demand across rounds
}

// SetDefaults replaces zero values by the defaults.
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

// MayAct returns the permission to commit, or false when this entry does not hold the lease or its view is not fresh.
func (c *Config) MayAct() (heldLease changelog.HeldLease, may bool) {
	heldLease, may = c.Lease.Held()
	return heldLease, may && c.Membership.MayChange()
}

// Round is the data of one pass through the steps.
type Round struct {
	Now   time.Time
	State *fleet.State
	// MayAct reports whether this entry held the lease and its view was fresh once the lease was renewed and the log read.
	MayAct            bool
	OperationStates   map[acaciatally.InstanceID]acaciatally.OperationState // empty state: unknown or no operation
	Healthy           map[acaciatally.InstanceID]bool
	TasksEnded        map[acaciatally.InstanceID]bool // instances out of service that are known to run no task that has to end first
	Findings          []assessment.Finding
	Actions           []approval.Action
	PlannedOperations []lifecycle.Operation
	Results           []Result
	StartedOperations int // operations that were started in this pass
}

// Result is the outcome of committing an action: the version of its record, or an error.
type Result struct {
	Action  approval.Action
	Version uint64
	Err     error
}

// Step is one step of the control loop.
type Step interface {
	// String returns a short verb phrase for logs and metrics.
	String() string
	// Run reads and extends the round; an error ends it, and the next round starts from fresh observations.
	Run(ctx context.Context, round *Round) (err error)
}

// Controller runs the control loop; it is not safe for concurrent use.
type Controller struct {
	config     *Config
	steps      []Step
	failedStep string // step at which the last pass failed, so that repeated failures are logged once
}

// New returns a controller with the given steps.
func New(config *Config, steps ...Step) *Controller {
	return &Controller{config: config, steps: steps}
}

// maxPasses bounds the passes of a round; five, since drain, stop, reboot, check and serve can follow each other at once.
const maxPasses = 5

// Round runs passes until one fails or makes no progress, or maxPasses is reached, and returns the data and the error of the last.
func (c *Controller) Round(ctx context.Context) (round *Round, err error) {
	for range maxPasses {
		if round, err = c.pass(ctx); err != nil || !round.madeProgress() {
			break
		}
	}
	return round, err
}

func (c *Controller) pass(ctx context.Context) (round *Round, err error) {
	round = &Round{Now: c.config.Clock.Now()}
	for _, step := range c.steps {
		if err = step.Run(ctx, round); err != nil {
			c.recordFailure(step.String(), err)
			return round, err
		}
	}
	c.recordFailure("", nil)
	return round, nil
}

// madeProgress reports whether a change was accepted or an operation started, after which another step may be due.
func (r *Round) madeProgress() bool {
	return r.StartedOperations > 0 || slices.ContainsFunc(r.Results, func(result Result) bool { return result.Err == nil })
}

func (c *Controller) recordFailure(failedStep string, err error) {
	if failedStep != "" && failedStep != c.failedStep {
		c.config.Logger.Warn().Str("step", failedStep).Err(err).Msg("control round ended early")
	}
	c.failedStep = failedStep
}

// Run runs a round at each RoundInterval until ctx ends, then releases the lease; it returns the error of the release.
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
