package task

import (
	"slices"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// WorkerState says whether a worker accepts and runs tasks.
type WorkerState int

// The states of a worker.
const (
	Serving     WorkerState = iota // accepts and runs tasks
	Draining                       // finishes or checkpoints its tasks and accepts no new ones
	Unavailable                    // accepts no tasks; what still runs on it is not known
)

// Worker is a worker of the pool.
type Worker struct {
	ID       acaciatally.InstanceID
	Capacity acaciatally.Resources
	State    WorkerState
}

// Quota is the number of cores that a team may use before its tasks are placed after those of teams below their quotas.
type Quota struct {
	Team       acaciatally.TeamName
	Processors float64
}

// PoolView is the state that a Scheduler needs: the workers and quotas of its pool, and the sizes of the instances in other pools.
type PoolView struct {
	Workers []Worker
	// OtherPoolCapacities holds the distinct capacities of instances in other pools, which may be moved to this pool.
	OtherPoolCapacities []acaciatally.Resources
	Quotas              []Quota
}

var workerStateByPhase = map[fleet.Phase]WorkerState{
	fleet.Serving: Serving, fleet.Draining: Draining, fleet.Quarantined: Draining,
	fleet.Stopping: Unavailable, fleet.Rebooting: Unavailable, fleet.Checking: Unavailable, fleet.Failed: Unavailable,
}

// NewPoolView returns the state of a pool from the control state. A team's quota of slots is converted to cores at the pool's average
// number of cores per slot.
func NewPoolView(state *fleet.State, pool acaciatally.PoolName) (view PoolView) {
	processors, slots := 0.0, 0
	for _, instance := range state.Instances {
		if instance.Pool != pool {
			if !slices.Contains(view.OtherPoolCapacities, instance.Resources) {
				view.OtherPoolCapacities = append(view.OtherPoolCapacities, instance.Resources)
			}
			continue
		}
		view.Workers = append(view.Workers, Worker{ID: instance.ID, Capacity: instance.Resources, State: workerStateByPhase[instance.Phase]})
		processors += instance.Resources.Processors
		slots += instance.Slots
	}
	slices.SortFunc(view.Workers, func(a, b Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slots == 0 {
		return view
	}
	for _, team := range state.Teams {
		view.Quotas = append(view.Quotas, Quota{Team: team.Name, Processors: float64(team.Quota) * processors / float64(slots)})
	}
	return view
}
