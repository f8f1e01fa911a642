package roster

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
)

const (
	// drainTimeout is how long a worker may take to drain before its move is cancelled; maintenance has no such limit.
	drainTimeout = 5 * time.Second
	// keepTime is how long an instance whose move was cancelled serves its pool before it may be drained for a move again.
	keepTime = 5 * time.Second
	// downTimeout is how long after its expected time an ordered instance may be down before it no longer counts as on its way.
	downTimeout = 5 * time.Second
	// drainTime is how long a worker usually takes to drain, including long-running tasks.
	drainTime = 2 * time.Second
	// listDelay is how long it takes until a change shows in the list of instances.
	listDelay = 500 * time.Millisecond
	// orderRetryDelay is the delay before an order that failed or has no known outcome is repeated.
	orderRetryDelay = 250 * time.Millisecond
	// maxOrdersInFlight bounds the orders in flight, since the instance control processes them one after another.
	maxOrdersInFlight = 8
	// maxWaitingOrders bounds the operations that are not done although their workers are drained; these workers are idle meanwhile.
	maxWaitingOrders = 24
	// rateShare is the part of the platform's order rate limit that a leader uses; the rest is left for repeated orders of earlier leaders.
	rateShare = 0.9
	// burstInterval is the interval whose orders may be sent in one burst.
	burstInterval = 100 * time.Millisecond
	// fenceShift is the number of low bits of a fencing token that count the operations of a term of leadership; the epoch is above them.
	fenceShift = 20
)

// Config is the configuration of a Roster.
type Config struct {
	Epoch           uint64        // fencing epoch of the leader's lease
	Holder          string        // name of this entry in the orders
	MoveTime        time.Duration // expected time from the order until a moved instance is up again
	MaintenanceTime time.Duration // expected time from the order until a maintained instance is up again
	Capacity        capacity.Config
	OrdersPerSecond float64 // order rate limit of the platform for all entries; 0 is unlimited
	EventLog        EventLog
}

// EventLog logs the decisions on instances and the progress of waves.
type EventLog interface {
	// InstancePlanned logs that an instance is to be drained for a purpose.
	InstancePlanned(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string)
	// MoveCancelled logs that a move is given up whose order could not be sent; runs is the number of runs left on the instance.
	MoveCancelled(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string, runs int)
	// InstanceOrdered logs the result of an order.
	InstanceOrdered(id acaciatally.InstanceID, purpose string, err error)
	// WaveChanged logs the progress of a wave; left is the number of instances still to be maintained.
	WaveChanged(number, left int, completed bool)
}

// purpose is why an instance is taken out of service.
type purpose int

const (
	purposeMove purpose = iota
	purposeMaintenance
)

// operation is a planned move or maintenance of an instance.
type operation struct {
	purpose        purpose
	to             acaciatally.PoolName // target pool of a move
	wave           int
	plannedAt      time.Duration
	fence          uint64 // fencing token of all orders of the operation
	inFlight       bool   // an order was sent and has no result yet
	recorded       bool   // the stored progress of its wave names the instance as begun
	draining       bool   // a plan has asked to drain the instance, with drainedWorker on it
	inherited      bool   // an earlier leader may have sent an order; this one has sent none
	outcomeUnknown bool   // an order may have been executed, or may be executed later
	retryAt        time.Duration
	done           bool // the order was executed
	doneAt         time.Duration
	ordered        bool                 // the first order was sent
	drainedWorker  acaciatally.WorkerID // worker that gets no new tasks because of the operation
	oldWorker      acaciatally.WorkerID // worker on the instance when the first order was sent, which the order ends
}

// Roster is the state of all instances, with their planned operations and maintenance waves.
type Roster struct {
	config         Config
	instances      map[acaciatally.InstanceID]acaciatally.FleetInstance
	listed         bool // instances was set
	listedAt       time.Duration
	operations     map[acaciatally.InstanceID]*operation
	waves          map[int]*wave
	keptUntil      map[acaciatally.InstanceID]time.Duration // until when an instance is not drained for a move, because one was cancelled
	operationCount uint64                                   // operations planned in this term of leadership
	limiter        *rate.Limiter
}

// New returns a roster without instances.
func New(config Config) *Roster {
	return &Roster{
		config: config, instances: map[acaciatally.InstanceID]acaciatally.FleetInstance{},
		operations: map[acaciatally.InstanceID]*operation{}, waves: map[int]*wave{},
		keptUntil: map[acaciatally.InstanceID]time.Duration{}, limiter: newLimiter(config.OrdersPerSecond),
	}
}

// SetFleet replaces the list of instances; sent is when the list was requested.
func (r *Roster) SetFleet(list []acaciatally.FleetInstance, sent time.Duration) {
	r.listed, r.listedAt = true, sent
	clear(r.instances)
	for _, instance := range list {
		r.instances[instance.ID] = instance
	}
	for id, op := range r.operations {
		instance, exists := r.instances[id]
		if !exists || op.completed(instance, sent, r.duration(op)) {
			delete(r.operations, id)
		}
	}
}

// completed reports whether the instance is up again after the order: with another worker, on standby, where it has none, or, if the order
// had been executed before and had no effect, with the same worker once it must have been replaced. One that stays down for downTimeout
// has failed.
func (o *operation) completed(instance acaciatally.FleetInstance, listed, takes time.Duration) bool {
	if !o.done || o.doneAt >= listed {
		return false
	}
	if instance.State != acaciatally.InstanceUp {
		return instance.State == acaciatally.InstanceDown && listed > o.doneAt+takes+downTimeout
	}
	replaced := o.oldWorker == "" || instance.Worker != o.oldWorker
	return replaced || listed > o.doneAt+takes+listDelay
}

// duration returns the expected time from the order of an operation until its instance is up again.
func (r *Roster) duration(op *operation) time.Duration {
	if op.purpose == purposeMove {
		return r.config.MoveTime
	}
	return r.config.MaintenanceTime
}

// Plan plans moves and maintenance, and returns the workers that get no new tasks because they are to be drained, with the reasons.
func (r *Roster) Plan(scheduler *dispatch.Scheduler, configuration *acaciatally.Configuration, now time.Duration) (workersToDrain map[acaciatally.WorkerID]string) {
	if !r.listed || configuration == nil {
		return map[acaciatally.WorkerID]string{}
	}
	workers, demand := scheduler.Workers(now), scheduler.Pools(now)
	r.cancelStaleMoves(workers, now)
	maps.DeleteFunc(r.keptUntil, func(_ acaciatally.InstanceID, until time.Duration) bool { return now >= until })
	pools := r.pools(configuration, demand)
	r.planWaves(pools, workers, now)
	scheduler.SetWorkersToDrainSoon(r.dueWorkers())
	if r.waitingOrders(workers) >= maxWaitingOrders {
		return r.workersToDrain()
	}
	for _, move := range capacity.Plan(r.config.Capacity, pools, r.capacityView(workers)) {
		r.addOperation(move.Instance, &operation{purpose: purposeMove, to: move.To, plannedAt: now})
	}
	return r.workersToDrain()
}

// waitingOrders counts the operations that are not done although their workers are drained.
func (r *Roster) waitingOrders(workers map[acaciatally.WorkerID]dispatch.WorkerView) (count int) {
	for id, op := range r.operations {
		if !op.done && workers[r.instances[id].Worker].Runs == 0 {
			count++
		}
	}
	return count
}

func (r *Roster) addOperation(id acaciatally.InstanceID, op *operation) {
	r.operationCount++
	op.fence = r.config.Epoch<<fenceShift + r.operationCount
	r.operations[id] = op
	r.config.EventLog.InstancePlanned(id, r.instances[id].Pool, op.String())
}

// String returns the purpose for logs, with the target pool of a move.
func (o *operation) String() string {
	if o.purpose == purposeMove {
		return "move to " + string(o.to)
	}
	return "maintenance"
}

// cancelStaleMoves removes moves whose worker has long-running tasks, and those that could not be ordered for drainTimeout, because the worker
// took longer to drain or is not known, or because the instance is not up.
func (r *Roster) cancelStaleMoves(workers map[acaciatally.WorkerID]dispatch.WorkerView, now time.Duration) {
	for id, op := range r.operations {
		if op.done || op.inFlight || op.outcomeUnknown || op.purpose != purposeMove {
			continue
		}
		instance := r.instances[id]
		w, found := workers[instance.Worker]
		waitsForTurn := instance.State == acaciatally.InstanceUp && instance.Worker == ""
		if found && w.LongRunning > 0 || !waitsForTurn && now-op.plannedAt > drainTimeout {
			delete(r.operations, id)
			r.keptUntil[id] = now + keepTime
			r.config.EventLog.MoveCancelled(id, instance.Pool, op.String(), w.Runs)
		}
	}
}

func (r *Roster) workersToDrain() map[acaciatally.WorkerID]string {
	list := map[acaciatally.WorkerID]string{}
	for id, op := range r.operations {
		if op.done {
			continue
		}
		op.draining, op.drainedWorker = true, r.instances[id].Worker
		if op.drainedWorker != "" {
			list[op.drainedWorker] = op.String()
		}
	}
	return list
}

// pools returns the demand on each configured pool.
func (r *Roster) pools(
	configuration *acaciatally.Configuration, demand map[acaciatally.PoolName]dispatch.PoolView,
) (pools []capacity.Pool) {
	perInstance := map[acaciatally.PoolName]acaciatally.ResourceVector{}
	largest := acaciatally.ResourceVector{}
	for _, instance := range r.instances {
		perInstance[instance.Pool] = perInstance[instance.Pool].Max(instance.Capacity)
		largest = largest.Max(instance.Capacity)
	}
	incoming := map[acaciatally.PoolName]int{}
	for id, op := range r.operations {
		if op.purpose == purposeMove {
			incoming[op.to]++
		} else if op.done {
			incoming[r.instances[id].Pool]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Pools)) {
		options := configuration.Pools[name]
		instanceCapacity := perInstance[name]
		if instanceCapacity.IsZero() {
			instanceCapacity = largest
		}
		pools = append(pools, capacity.Pool{
			Name: name, Standby: options.Standby, Used: demand[name].Used, Waiting: demand[name].Waiting, Overdue: demand[name].Overdue,
			LongRunning: demand[name].LongRunning, Expected: demand[name].Expected, MinWorkers: demand[name].MinWorkers,
			Unplaced: demand[name].Unplaced, Incoming: incoming[name], PerInstance: instanceCapacity,
		})
	}
	return pools
}

func (r *Roster) capacityView(workers map[acaciatally.WorkerID]dispatch.WorkerView) (view []capacity.Instance) {
	for id, instance := range r.instances {
		w, serves := workers[instance.Worker]
		_, reserved := r.operations[id]
		_, kept := r.keptUntil[id]
		up := instance.State == acaciatally.InstanceUp
		view = append(view, capacity.Instance{
			ID: id, Pool: instance.Pool, Up: up, Runs: w.Runs, LongRunning: w.LongRunning, Reserved: reserved, Idle: w.IdleTime,
			Unhealthy: serves && !w.Schedulable, Kept: kept,
		})
	}
	return view
}

// spare returns how many instances each pool has above its target.
func (r *Roster) spare(pools []capacity.Pool) map[acaciatally.PoolName]int {
	up := map[acaciatally.PoolName]int{}
	for id, instance := range r.instances {
		if _, reserved := r.operations[id]; !reserved && instance.State == acaciatally.InstanceUp {
			up[instance.Pool]++
		}
	}
	return r.config.Capacity.Spares(pools, up)
}
