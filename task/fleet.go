package task

import (
	"slices"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// WorkerState is what a worker may do with tasks.
type WorkerState int

// The states of a worker.
const (
	Serving WorkerState = iota // starts and runs tasks
	Leaving                    // finishes or checkpoints its tasks and starts none
	Gone                       // starts none; what it still runs is not known
)

// Worker is a worker of the pool.
type Worker struct {
	ID       acaciatally.InstanceID
	Capacity acaciatally.Resources
	State    WorkerState
}

// Quota is the number of cores that a team may hold before it waits behind teams below theirs.
type Quota struct {
	Team       acaciatally.TeamName
	Processors float64
}

// Fleet is what the machine needs to know of the pool and of the rest of the fleet.
type Fleet struct {
	Workers []Worker
	// Elsewhere holds the capacities of the other pools' instances, which may be moved here.
	Elsewhere []acaciatally.Resources
	Quotas    []Quota
}

var workerStates = map[fleet.Phase]WorkerState{
	fleet.Serving: Serving, fleet.Draining: Leaving, fleet.Quarantined: Leaving,
	fleet.Stopping: Gone, fleet.Rebooting: Gone, fleet.Checking: Gone, fleet.Failed: Gone,
}

// FleetOf returns the view of a pool in the control state. A team's quota of slots counts as the processors behind as many slots.
func FleetOf(state *fleet.State, pool acaciatally.PoolName) (view Fleet) {
	processors, slots := 0.0, 0
	for _, instance := range state.Instances {
		if instance.Pool != pool {
			if !slices.Contains(view.Elsewhere, instance.Resources) {
				view.Elsewhere = append(view.Elsewhere, instance.Resources)
			}
			continue
		}
		view.Workers = append(view.Workers, Worker{ID: instance.ID, Capacity: instance.Resources, State: workerStates[instance.Phase]})
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
