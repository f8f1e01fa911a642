package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

func listed(t *testing.T, machines *standin.Machines) (ids []acaciatally.InstanceID) {
	t.Helper()
	instances, err := machines.Instances(t.Context())
	require.NoError(t, err)
	for _, instance := range instances {
		ids = append(ids, instance.ID)
	}
	return ids
}

// TestListLag guards against an instance list that tells the truth without its lag.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second})
		machines.Add(standin.MachineConfig{ID: "coating-1", Rack: "hall-a-1"})
		machines.Add(standin.MachineConfig{ID: "coating-2", Rack: "hall-a-1"})
		machines.Add(standin.MachineConfig{ID: "coating-3", Since: time.Now()})
		machines.KillRack("hall-a-1")
		require.False(t, machines.Up("coating-1"))
		require.Equal(t, []acaciatally.InstanceID{"coating-1", "coating-2"}, listed(t, machines))
		time.Sleep(30 * time.Second)
		require.Equal(t, []acaciatally.InstanceID{"coating-3"}, listed(t, machines))
	})
}

// TestOperations guards against a drain that is done with requests in progress, and a reboot that is done too early or twice.
func TestOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: 10 * time.Second})
		machines := standin.NewMachines(standin.MachinesConfig{RebootTime: time.Minute})
		machines.Add(standin.MachineConfig{ID: "coating-1", Host: worker})
		go ask(t.Context(), worker)
		synctest.Wait()
		state := func(operation string) acaciatally.OperationState {
			state, err := machines.Operation(t.Context(), operation)
			require.NoError(t, err)
			return state
		}
		require.NoError(t, machines.Drain(t.Context(), "drain", "coating-1"))
		require.Equal(t, acaciatally.OperationRunning, state("drain"))
		time.Sleep(11 * time.Second)
		require.Equal(t, acaciatally.OperationDone, state("drain"))
		require.NoError(t, machines.Reboot(t.Context(), "reboot", "coating-1"))
		time.Sleep(30 * time.Second)
		require.NoError(t, machines.Reboot(t.Context(), "reboot", "coating-1"))
		require.Equal(t, acaciatally.OperationRunning, state("reboot"))
		require.False(t, machines.Up("coating-1"))
		time.Sleep(30 * time.Second)
		require.Equal(t, acaciatally.OperationDone, state("reboot"))
		require.True(t, machines.Up("coating-1"))
		require.Equal(t, acaciatally.OperationAbsent, state("never begun"))
	})
}

// TestRebootFails guards against a failed reboot that leaves the machine alive.
func TestRebootFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := standin.NewMachines(standin.MachinesConfig{RebootTime: time.Minute, RebootFails: 1})
		machines.Add(standin.MachineConfig{ID: "coating-1"})
		require.NoError(t, machines.Reboot(t.Context(), "reboot", "coating-1"))
		time.Sleep(time.Hour)
		state, err := machines.Operation(t.Context(), "reboot")
		require.NoError(t, err)
		require.Equal(t, acaciatally.OperationFailed, state)
		require.False(t, machines.Up("coating-1"))
	})
}
