package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/task"
)

// TestFloodArrivals guards against a flood that does not overload the pool, or that differs between two runs with the same seed.
func TestFloodArrivals(t *testing.T) {
	arrivals := newFloodArrivals(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, arrivals, newFloodArrivals(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1))))
	demand := 0.0
	for _, arrival := range arrivals {
		require.NoError(t, arrival.spec.Validate())
		if arrival.spec.Urgency == acaciatally.Background {
			demand += arrival.profile.Uses.Processors * arrival.profile.Work.Seconds()
		}
	}
	capacity := taskDeployments[0].worker.Processors * floodWorkers * floodDuration.Seconds()
	require.Greater(t, demand, 9*capacity)
}

// TestFloodSimulation guards against a simulation in which a task runs without having been accepted, placed and started.
func TestFloodSimulation(t *testing.T) {
	simulation := newFloodSimulation(taskDeployments[0], task.FullPolicy)
	arrivals := newFloodArrivals(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1)))[:50]
	for _, arrival := range arrivals {
		require.NoError(t, simulation.accept(arrival))
	}
	require.Empty(t, simulation.tasks.Trace(arrivals[0].spec.ID))
	simulation.step(t.Context(), 0)
	started := 0
	for _, arrival := range arrivals {
		started += len(simulation.tasks.Trace(arrival.spec.ID))
	}
	// The actual sizes of the tasks are not known yet, so each worker gets only one task.
	require.Equal(t, floodWorkers, started)
	result := simulation.measure(arrivals, taskDeployments[0])
	require.Zero(t, result.lost)
}
