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
	// listInterval is far below the list's own lag of 30 s.
	listInterval = 5 * time.Second
	// observeLimit bounds the calls in progress, so that a wave does not flood the platform.
	observeLimit = 8
	checkTimeout = time.Second
)

// Observe tends the lease, reads the log, and collects demand, reports, the list, operations and health.
type Observe struct {
	config   *Config
	assessor *assessment.Assessor
	listAt   time.Time
}

// NewObserve returns the step; it feeds the assessor that the step Assess reads.
func NewObserve(config *Config, assessor *assessment.Assessor) *Observe {
	return &Observe{config: config, assessor: assessor}
}

// String returns the step's name.
func (o *Observe) String() string { return "observe" }

// Run observes; only the entry in control asks the platform about single instances.
func (o *Observe) Run(ctx context.Context, round *Round) (err error) {
	o.config.Forecaster.Observe(round.Now, o.config.Observer.Demand())
	o.assessor.AddReports(o.config.Observer.Reports()...)
	leaseErr := o.config.Lease.Tend(ctx)
	if leaseErr != nil {
		return leaseErr
	}
	// Only a holder needs the newest log at once; the others have the entry's own poll each second.
	if _, held := o.config.Lease.Hold(); held {
		if err = o.config.Log.Poll(ctx); err != nil {
			return err
		}
	}
	round.State = o.config.Log.State()
	_, round.Acting = o.config.MayAct()
	if !round.Acting {
		return nil
	}
	o.list(ctx, round.Now)
	o.instances(ctx, round)
	return nil
}

// list reads the platform's list; without it the assessment relies on attempts.
func (o *Observe) list(ctx context.Context, now time.Time) {
	if now.Sub(o.listAt) < listInterval {
		return
	}
	if instances, err := o.config.List.Instances(ctx); err == nil {
		o.assessor.SetList(now, instances)
		o.listAt = now
	}
}

// instances asks for the operation and the health of each instance that is out of service; what cannot be learned stays unknown.
func (o *Observe) instances(ctx context.Context, round *Round) {
	out := outOfService(round.State)
	operations, healthy := make([]acaciatally.OperationState, len(out)), make([]bool, len(out))
	vacant := make([]bool, len(out))
	group := errgroup.Group{}
	group.SetLimit(observeLimit)
	for i, instance := range out {
		ask := o.config.Tasks != nil && instance.Phase == fleet.Draining
		// Tasks are asked for once the entries have acknowledged the drain, since each answer costs a scan of the pool's tasks.
		acknowledged := ask && o.config.Membership.Acknowledged(instance.ID, instance.Version)
		vacant[i] = !ask
		group.Go(func() error {
			operations[i] = o.operation(ctx, instance)
			healthy[i] = o.healthy(ctx, instance)
			if acknowledged {
				vacant[i] = o.vacant(ctx, instance)
			}
			return nil
		})
	}
	_ = group.Wait()
	round.Operations = map[acaciatally.InstanceID]acaciatally.OperationState{}
	round.Healthy = map[acaciatally.InstanceID]bool{}
	round.Vacant = map[acaciatally.InstanceID]bool{}
	for i, instance := range out {
		round.Operations[instance.ID], round.Healthy[instance.ID] = operations[i], healthy[i]
		round.Vacant[instance.ID] = vacant[i]
	}
}

func (o *Observe) operation(ctx context.Context, instance fleet.Instance) acaciatally.OperationState {
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
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return o.config.Health.Check(ctx, instance.ID, instance.Address) == nil
}

// vacant reports whether it is known that no task runs on the instance.
func (o *Observe) vacant(ctx context.Context, instance fleet.Instance) bool {
	ids, err := o.config.Tasks.OnWorker(ctx, instance.Pool, instance.ID)
	return err == nil && len(ids) == 0
}

// outOfService returns the instances that do not serve, in order of pool and id.
func outOfService(state *fleet.State) (out []fleet.Instance) {
	for _, pool := range state.PoolNames() {
		for _, instance := range state.Members(pool) {
			if instance.Phase != fleet.Serving {
				out = append(out, instance)
			}
		}
	}
	return out
}
