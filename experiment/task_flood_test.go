package experiment

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/task"
)

// TestFloodLoad guards against a flood that does not overload the pool, or differs between two runs with one seed.
func TestFloodLoad(t *testing.T) {
	load := floodLoad(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, load, floodLoad(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1))))
	demanded := 0.0
	for _, one := range load {
		require.NoError(t, one.spec.Validate())
		if one.spec.Urgency == acaciatally.Background {
			demanded += one.profile.Uses.Processors * one.profile.Work.Seconds()
		}
	}
	capacity := taskDeployments[0].worker.Processors * floodWorkers * floodTime.Seconds()
	require.Greater(t, demanded, 9*capacity)
}

// TestFloodModel guards against a model in which a task runs without having been accepted, placed and started.
func TestFloodModel(t *testing.T) {
	model := newFloodModel(taskDeployments[0], task.NoBaseline)
	load := floodLoad(taskDeployments[0].worker, rand.New(rand.NewPCG(1, 1)))[:50]
	for _, one := range load {
		require.NoError(t, model.accept(one))
	}
	require.Empty(t, model.tasks.Trace(load[0].spec.ID))
	model.step(t.Context(), 0)
	started := 0
	for _, one := range load {
		started += len(model.tasks.Trace(one.spec.ID))
	}
	// Nothing is known of the tasks' sizes, so each worker gets one of them.
	require.Equal(t, floodWorkers, started)
	result := model.measure(load, taskDeployments[0])
	require.Zero(t, result.lost)
}
