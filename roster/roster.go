package roster

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/maintenance"
)

const (
	// emptyLimit is how long a worker may take to become empty before its move is given up; maintenance has no such limit.
	emptyLimit = 5 * time.Second
	// emptyTime is how long a worker usually takes to become empty, lasting tasks included.
	emptyTime = 2 * time.Second
	// listLag is how long it takes until the list of instances shows what has happened.
	listLag = 500 * time.Millisecond
	// orderRetry is the pause after an order without a definite result.
	orderRetry = 250 * time.Millisecond
	// ordersAtOnce bounds the orders without an answer; the instance control works them off one after another.
	ordersAtOnce = 8
	// mostWaitingOrders bounds the planned moves whose order was not sent; their workers do nothing meanwhile.
	mostWaitingOrders = 24
	// ownShare is the part of the platform's rate of orders that one leader uses.
	ownShare = 0.9
	// burstTime is the time whose orders may be sent at once.
	burstTime = 100 * time.Millisecond
	// fenceShift leaves room for a fencing token of its own for each decision of a tenure.
	fenceShift = 20
)

// Config is what a Roster needs.
type Config struct {
	Epoch           uint64
	Holder          string
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	Capacity        capacity.Config
	OrdersPerSecond float64 // that the platform takes from all entries; 0 is without bound
	Journal         Journal
}

// Journal takes a line for each decision on an instance.
type Journal interface {
	// InstancePlanned notes that an instance is to be emptied for a purpose.
	InstancePlanned(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string)
	// InstanceOrdered notes the result of an order.
	InstanceOrdered(id acaciatally.InstanceID, purpose string, err error)
	// WaveChanged notes the progress of a wave.
	WaveChanged(number, left int, completed bool)
}

// purpose is why an instance is taken out of service.
type purpose int

const (
	toMove purpose = iota
	toMaintain
)

// intent is what is to be done with an instance.
type intent struct {
	purpose  purpose
	to       acaciatally.PoolName
	wave     int
	since    time.Duration
	fence    uint64
	sending  bool
	unsure   bool // an order may have been carried out
	retryAt  time.Duration
	done     bool // the order was carried out
	doneAt   time.Duration
	sent     bool
	lastLife acaciatally.WorkerID // the worker whose life the order ends, as it was when the first order was sent
}

// wave is the progress of one wave.
type wave struct {
	request  acaciatally.MaintenanceWave
	began    time.Duration
	finished map[acaciatally.InstanceID]bool
	saved    bool // the finished instances are recorded
	told     bool // its completion is recorded
}

// Roster is the state of all instances.
type Roster struct {
	config    Config
	instances map[acaciatally.InstanceID]acaciatally.FleetInstance
	listed    bool
	listedAt  time.Duration
	intents   map[acaciatally.InstanceID]*intent
	waves     map[int]*wave
	orders    uint64
	pace      *rate.Limiter
}

// New returns a roster that knows no instances yet.
func New(config Config) *Roster {
	return &Roster{
		config: config, instances: map[acaciatally.InstanceID]acaciatally.FleetInstance{},
		intents: map[acaciatally.InstanceID]*intent{}, waves: map[int]*wave{}, pace: newPace(config.OrdersPerSecond),
	}
}

// SetFleet replaces the list of instances, which was asked for at the time sent.
func (r *Roster) SetFleet(list []acaciatally.FleetInstance, sent time.Duration) {
	r.listed, r.listedAt = true, sent
	clear(r.instances)
	for _, instance := range list {
		r.instances[instance.ID] = instance
	}
	for id, todo := range r.intents {
		instance, exists := r.instances[id]
		if !exists || todo.over(instance, sent) {
			delete(r.intents, id)
		}
	}
}

// over reports whether the ordered instance serves again; one on standby has no worker to tell its lives apart.
func (i *intent) over(instance acaciatally.FleetInstance, listed time.Duration) bool {
	newLife := i.lastLife == "" || instance.Worker != i.lastLife
	return i.done && i.doneAt < listed && instance.State == acaciatally.InstanceUp && newLife
}

// AddWave takes in a wave that was first seen at a time, and what earlier leaders have recorded of it.
func (r *Roster) AddWave(request acaciatally.MaintenanceWave, seen time.Duration, finished []acaciatally.InstanceID, told bool) {
	if r.waves[request.Number] != nil {
		return
	}
	w := &wave{request: request, began: seen, finished: map[acaciatally.InstanceID]bool{}, saved: true, told: told}
	for _, id := range finished {
		w.finished[id] = true
	}
	r.waves[request.Number] = w
}

// Knows reports whether the wave was taken in.
func (r *Roster) Knows(number int) bool { return r.waves[number] != nil }

// Plan decides on moves and maintenance and returns which workers are to be emptied, and why.
func (r *Roster) Plan(m *dispatch.Machine, configuration *acaciatally.Configuration, now time.Duration) (withheld map[acaciatally.WorkerID]string) {
	if !r.listed || configuration == nil {
		return map[acaciatally.WorkerID]string{}
	}
	workers, demand := m.Workers(now), m.Pools(now)
	r.expire(workers, now)
	pools := r.pools(configuration, demand)
	r.planWaves(pools, workers, now)
	m.SetDue(r.dueWorkers())
	if r.waitingOrders(workers) >= mostWaitingOrders {
		return r.withheld()
	}
	for _, move := range capacity.Plan(r.config.Capacity, pools, r.capacityView(workers)) {
		r.intend(move.Instance, &intent{purpose: toMove, to: move.To, since: now})
	}
	return r.withheld()
}

// waitingOrders counts the empty workers whose order was not carried out.
func (r *Roster) waitingOrders(workers map[acaciatally.WorkerID]dispatch.WorkerView) (count int) {
	for id, todo := range r.intents {
		if !todo.done && workers[r.instances[id].Worker].Runs == 0 {
			count++
		}
	}
	return count
}

func (r *Roster) intend(id acaciatally.InstanceID, todo *intent) {
	r.orders++
	todo.fence = r.config.Epoch<<fenceShift + r.orders
	r.intents[id] = todo
	r.config.Journal.InstancePlanned(id, r.instances[id].Pool, todo.String())
}

// String returns the purpose for logs.
func (i *intent) String() string {
	if i.purpose == toMove {
		return "move to " + string(i.to)
	}
	return "maintenance"
}

// expire gives up moves whose worker does not become empty, and those to pools that are gone.
func (r *Roster) expire(workers map[acaciatally.WorkerID]dispatch.WorkerView, now time.Duration) {
	for id, todo := range r.intents {
		if todo.done || todo.sending || todo.unsure || todo.purpose != toMove {
			continue
		}
		if w, found := workers[r.instances[id].Worker]; found && (w.Lasting > 0 || now-todo.since > emptyLimit) {
			delete(r.intents, id)
		}
	}
}

func (r *Roster) withheld() map[acaciatally.WorkerID]string {
	list := map[acaciatally.WorkerID]string{}
	for id, todo := range r.intents {
		if worker := r.instances[id].Worker; worker != "" && !todo.done {
			list[worker] = todo.String()
		}
	}
	return list
}

// pools returns the demand on each configured pool.
func (r *Roster) pools(
	configuration *acaciatally.Configuration, demand map[acaciatally.PoolName]dispatch.PoolView,
) (pools []capacity.Pool) {
	units := map[acaciatally.PoolName]int{}
	most := 0
	for _, instance := range r.instances {
		units[instance.Pool] = max(units[instance.Pool], instance.Capacity.Processors)
		most = max(most, instance.Capacity.Processors)
	}
	incoming := map[acaciatally.PoolName]int{}
	for id, todo := range r.intents {
		if todo.purpose == toMove {
			incoming[todo.to]++
		} else if todo.done {
			incoming[r.instances[id].Pool]++
		}
	}
	for name, options := range configuration.Pools {
		unit := units[name]
		if unit == 0 {
			unit = most
		}
		pools = append(pools, capacity.Pool{
			Name: name, Standby: options.Standby, Used: demand[name].Used, Waiting: demand[name].Waiting,
			Expected: demand[name].Expected, Spread: demand[name].Spread, Incoming: incoming[name], PerUnit: unit,
		})
	}
	return pools
}

func (r *Roster) capacityView(workers map[acaciatally.WorkerID]dispatch.WorkerView) (view []capacity.Instance) {
	for id, instance := range r.instances {
		w, serves := workers[instance.Worker]
		_, reserved := r.intents[id]
		up := instance.State == acaciatally.InstanceUp
		view = append(view, capacity.Instance{
			ID: id, Pool: instance.Pool, Up: up, Runs: w.Runs, Lasting: w.Lasting, Reserved: reserved, Idle: w.Idle,
			Unhealthy: serves && !w.Usable,
		})
	}
	return view
}

// planWaves chooses the next instances of each wave.
func (r *Roster) planWaves(pools []capacity.Pool, workers map[acaciatally.WorkerID]dispatch.WorkerView, now time.Duration) {
	spare := r.spare(pools)
	planner := maintenance.Config{Each: emptyTime + r.config.MaintenanceTime + listLag}
	for number, w := range r.waves {
		if w.told {
			continue
		}
		view := r.waveView(w, pools, workers, spare, now)
		for _, id := range planner.Next(view) {
			r.intend(id, &intent{purpose: toMaintain, wave: number, since: now})
		}
	}
}

// dueWorkers returns the workers whose instances still have to be maintained in a wave.
func (r *Roster) dueWorkers() map[acaciatally.WorkerID]bool {
	due := map[acaciatally.WorkerID]bool{}
	for _, w := range r.waves {
		if w.told {
			continue
		}
		for _, id := range w.request.Instances {
			if worker := r.instances[id].Worker; worker != "" && !w.finished[id] {
				due[worker] = true
			}
		}
	}
	return due
}

// spare returns how many instances each pool has above its need.
func (r *Roster) spare(pools []capacity.Pool) map[acaciatally.PoolName]int {
	up := map[acaciatally.PoolName]int{}
	for id, instance := range r.instances {
		if _, reserved := r.intents[id]; !reserved && instance.State == acaciatally.InstanceUp {
			up[instance.Pool]++
		}
	}
	return r.config.Capacity.Spares(pools, up)
}

func (r *Roster) waveView(
	w *wave, pools []capacity.Pool, workers map[acaciatally.WorkerID]dispatch.WorkerView,
	spare map[acaciatally.PoolName]int, now time.Duration,
) maintenance.Wave {
	standby := map[acaciatally.PoolName]bool{}
	for _, pool := range pools {
		standby[pool.Name] = pool.Standby
	}
	view := maintenance.Wave{Number: w.request.Number, AtOnce: w.request.AtOnce, Left: w.began + w.request.Within - now}
	for _, id := range w.request.Instances {
		instance, exists := r.instances[id]
		todo, reserved := r.intents[id]
		member := maintenance.Instance{
			ID: id, Pool: instance.Pool, Up: instance.State == acaciatally.InstanceUp, Standby: standby[instance.Pool],
			Runs: workers[instance.Worker].Runs, Lasting: workers[instance.Worker].Lasting, Spare: spare[instance.Pool] > 0,
		}
		switch {
		case reserved && todo.purpose == toMaintain && (todo.done || todo.unsure):
			member.Phase = maintenance.Down
		case reserved && todo.purpose == toMaintain:
			member.Phase = maintenance.Emptying
		case instance.State == acaciatally.InstanceMaintenance: // an earlier leader may not have recorded its order
			member.Phase = maintenance.Down
		case w.finished[id]:
			member.Phase = maintenance.Finished
		case !exists:
			member.Phase = maintenance.Missing
		default:
			member.Reserved = reserved
		}
		view.Instances = append(view.Instances, member)
	}
	return view
}
