package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

func listedIDs(t *testing.T, machines *standin.Machines) (ids []acaciatally.InstanceID) {
	t.Helper()
	instances, err := machines.Instances(t.Context())
	require.NoError(t, err)
	for _, instance := range instances {
		ids = append(ids, instance.ID)
	}
	return ids
}

// TestListLag checks that the instance list shows failures and new machines only after ListLag.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second})
		machines.Add(standin.MachineConfig{ID: "coating-1", Rack: "hall-a-1"})
		machines.Add(standin.MachineConfig{ID: "coating-2", Rack: "hall-a-1"})
		machines.Add(standin.MachineConfig{ID: "coating-3", StartedAt: time.Now()})
		machines.KillRack("hall-a-1")
		require.False(t, machines.Up("coating-1"))
		require.Equal(t, []acaciatally.InstanceID{"coating-1", "coating-2"}, listedIDs(t, machines))
		time.Sleep(30 * time.Second)
		require.Equal(t, []acaciatally.InstanceID{"coating-3"}, listedIDs(t, machines))
	})
}

// TestOperations checks that a drain is not done while a request is in progress, and that a reboot takes RebootTime and is not restarted
// by a repeated call.
func TestOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: 10 * time.Second})
		machines := standin.NewMachines(standin.MachinesConfig{RebootTime: time.Minute})
		machines.Add(standin.MachineConfig{ID: "coating-1", Host: worker})
		go sendRequest(t.Context(), worker)
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

// TestRebootFails checks that a machine is down after a failed reboot.
func TestRebootFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := standin.NewMachines(standin.MachinesConfig{RebootTime: time.Minute, RebootFailureRate: 1})
		machines.Add(standin.MachineConfig{ID: "coating-1"})
		require.NoError(t, machines.Reboot(t.Context(), "reboot", "coating-1"))
		time.Sleep(time.Hour)
		state, err := machines.Operation(t.Context(), "reboot")
		require.NoError(t, err)
		require.Equal(t, acaciatally.OperationFailed, state)
		require.False(t, machines.Up("coating-1"))
	})
}
