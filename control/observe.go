package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/lifecycle"
)

const (
	// listInterval adds little to the 30 s by which the list itself lags.
	listInterval = 5 * time.Second
	// maxConcurrentRequests bounds the instances queried at once, so that a wave does not overload the platform.
	maxConcurrentRequests = 8
	healthCheckTimeout    = time.Second
)

// Observe renews the lease, reads the log, and collects the demand, the entries' reports, the instance list, the states of operations
// and the health of instances.
type Observe struct {
	config     *Config
	assessor   *assessment.Assessor
	listReadAt time.Time
}

// NewObserve returns the observe step; it passes its observations to the assessor that the assess step uses.
func NewObserve(config *Config, assessor *assessment.Assessor) *Observe {
	return &Observe{config: config, assessor: assessor}
}

// String returns the step's name.
func (o *Observe) String() string { return "observe" }

// Run collects the observations. Only the lease holder with a fresh view reads the list and queries the instances out of service.
func (o *Observe) Run(ctx context.Context, round *Round) (err error) {
	o.config.Forecaster.Observe(round.Now, o.config.Observer.Demand())
	o.assessor.AddReports(o.config.Observer.Reports()...)
	leaseErr := o.config.Lease.AcquireOrRenew(ctx)
	if leaseErr != nil {
		return leaseErr
	}
	// Only the lease holder needs the latest log at once; for the others the entry's own poll each second is enough.
	if _, held := o.config.Lease.Held(); held {
		if err = o.config.Log.Poll(ctx); err != nil {
			return err
		}
	}
	round.State = o.config.Log.State()
	_, round.MayAct = o.config.MayAct()
	if !round.MayAct {
		return nil
	}
	o.readList(ctx, round.Now)
	o.observeOutOfService(ctx, round)
	return nil
}

// readList reads the platform's instance list; when that fails, the assessment relies on the entries' reports alone.
func (o *Observe) readList(ctx context.Context, now time.Time) {
	if now.Sub(o.listReadAt) < listInterval {
		return
	}
	if instances, err := o.config.List.Instances(ctx); err == nil {
		o.assessor.SetList(now, instances)
		o.listReadAt = now
	}
}

// observeOutOfService queries the operation, the health and the tasks of each instance out of service. A failed query leaves the
// operation's state empty and counts as unhealthy or as having tasks.
func (o *Observe) observeOutOfService(ctx context.Context, round *Round) {
	instances := outOfService(round.State)
	states, healthy := make([]acaciatally.OperationState, len(instances)), make([]bool, len(instances))
	tasksEnded := make([]bool, len(instances))
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentRequests)
	for i, instance := range instances {
		needsTaskCheck := o.config.Tasks != nil && instance.Phase == fleet.Draining
		// Tasks are queried only after the entries have acknowledged the drain, since each query scans the pool's tasks.
		acknowledged := needsTaskCheck && o.config.Membership.Acknowledged(instance.ID, instance.Version)
		tasksEnded[i] = !needsTaskCheck
		group.Go(func() error {
			states[i] = o.operationState(ctx, instance)
			healthy[i] = o.healthy(ctx, instance)
			if acknowledged {
				tasksEnded[i] = o.noTasks(ctx, instance)
			}
			return nil
		})
	}
	_ = group.Wait()
	round.OperationStates = map[acaciatally.InstanceID]acaciatally.OperationState{}
	round.Healthy = map[acaciatally.InstanceID]bool{}
	round.TasksEnded = map[acaciatally.InstanceID]bool{}
	for i, instance := range instances {
		round.OperationStates[instance.ID], round.Healthy[instance.ID] = states[i], healthy[i]
		round.TasksEnded[instance.ID] = tasksEnded[i]
	}
}

func (o *Observe) operationState(ctx context.Context, instance fleet.Instance) acaciatally.OperationState {
	operation := lifecycle.OperationOf(instance)
	if operation.Kind == lifecycle.NoOperation {
		return ""
	}
	state, err := o.config.Instances.Operation(ctx, operation.ID)
	if err != nil {
		return ""
	}
	return state
}

func (o *Observe) healthy(ctx context.Context, instance fleet.Instance) bool {
	if instance.Phase != fleet.Checking && instance.Phase != fleet.Failed {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	return o.config.Health.Check(ctx, instance.ID, instance.Address) == nil
}

// noTasks reports whether it is known that no task runs on the instance; an error counts as unknown.
func (o *Observe) noTasks(ctx context.Context, instance fleet.Instance) bool {
	ids, err := o.config.Tasks.TasksOnWorker(ctx, instance.Pool, instance.ID)
	return err == nil && len(ids) == 0
}

// outOfService returns the instances that are not serving, in order of pool and id.
func outOfService(state *fleet.State) (instances []fleet.Instance) {
	for _, pool := range state.PoolNames() {
		for _, instance := range state.Members(pool) {
			if instance.Phase != fleet.Serving {
				instances = append(instances, instance)
			}
		}
	}
	return instances
}
