package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
)

// newLeader returns the roster of a new leader over two idle instances and a wave that may take down one of them at a time, of which the given
// progress is stored.
func newLeader(epoch uint64, stored WaveRecord, now time.Duration) (*Roster, *dispatch.Scheduler) {
	r := New(Config{Epoch: epoch, Holder: "entry", MaintenanceTime: time.Second, Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
	scheduler := dispatch.New(dispatch.Config{EventLog: nopEventLog{}, WorkerLease: 6 * time.Second})
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", ""), instance("m-2", "")}, now)
	r.AddWave(acaciatally.MaintenanceWave{
		Number: 1, Instances: []acaciatally.InstanceID{"m-1", "m-2"}, Duration: 4 * time.Second, MaxConcurrent: 1,
	}, now, stored)
	return r, scheduler
}

// TestMaintenanceRecordedBeforeOrder guards against a maintenance of which the next leader does not know: its order may be executed after the
// leader has been killed.
func TestMaintenanceRecordedBeforeOrder(t *testing.T) {
	r, scheduler := newLeader(3, WaveRecord{}, time.Second)
	r.Plan(scheduler, configuration, 2*time.Second)
	require.Empty(t, r.Orders(scheduler, 2*time.Second), "nothing is stored yet")
	records := r.UnsavedWaves()
	require.Equal(t, []WaveRecord{{Number: 1, Begun: []acaciatally.InstanceID{"m-1"}}}, records)
	r.WaveSaved(records[0])
	require.Empty(t, r.UnsavedWaves())
	orders := r.Orders(scheduler, 2*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.InstanceID("m-1"), orders[0].Instance)
}

// TestMaintenanceOfEarlierLeader guards against more instances down than a wave allows, because an order of an earlier leader is executed late: the
// next leader must order the same instance, which fences off the late order, before it orders another one.
func TestMaintenanceOfEarlierLeader(t *testing.T) {
	const epoch = 4
	next, scheduler := newLeader(epoch, WaveRecord{Number: 1, Begun: []acaciatally.InstanceID{"m-2"}}, 3*time.Second)
	for now := 3 * time.Second; now < 10*time.Second; now += 500 * time.Millisecond {
		planAndSave(next, scheduler, now)
		require.NotContains(t, next.operations, acaciatally.InstanceID("m-1"))
	}
	orders := next.Orders(scheduler, 10*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.InstanceID("m-2"), orders[0].Instance)
	require.Greater(t, orders[0].Lease.Fence, uint64(epoch)<<fenceShift, "above the tokens of earlier leaders")
	next.OrderFinished(scheduler, orders[0], nil, 10*time.Second)
	require.Empty(t, next.UnsavedWaves()[0].Begun)
	next.SetFleet([]acaciatally.FleetInstance{instance("m-1", ""), instance("m-2", "i-3")}, 12*time.Second)
	planAndSave(next, scheduler, 12*time.Second)
	orders = next.Orders(scheduler, 12*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.InstanceID("m-1"), orders[0].Instance)
}

// TestInheritedMaintenanceBeforeDrain guards against an order for an instance whose worker still gets tasks, because the leader has just learned that an
// earlier one had begun its maintenance: the answer ends runs that were started meanwhile, and they are started a second time.
func TestInheritedMaintenanceBeforeDrain(t *testing.T) {
	r, scheduler := newLeader(4, WaveRecord{Number: 1, Begun: []acaciatally.InstanceID{"m-1"}}, time.Second)
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "i-1"), instance("m-2", "")}, time.Second)
	w := acaciatally.Worker{ID: "i-1", Instance: "m-1", Pool: "intake", StartTime: time.UnixMilli(1000)}
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: w.StartTime}, time.Second, time.Second)
	require.Empty(t, r.Orders(scheduler, time.Second), "the scheduler does not know that the worker is to be drained")
	require.Contains(t, planAndSave(r, scheduler, 2*time.Second), w.ID)

	next := w
	next.ID, next.StartTime = "i-2", time.UnixMilli(2000)
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "i-2"), instance("m-2", "")}, 3*time.Second)
	scheduler.SetDirectory([]acaciatally.Worker{next}, 3*time.Second)
	scheduler.Report("i-2", acaciatally.WorkerReport{StartTime: next.StartTime}, 3*time.Second, 3*time.Second)
	require.Empty(t, r.Orders(scheduler, 3*time.Second), "another worker has come up on the instance")
	require.Contains(t, planAndSave(r, scheduler, 3*time.Second), next.ID)
	require.Len(t, r.Orders(scheduler, 3*time.Second), 1)
}

// TestInheritedMaintenanceDrains guards against an order that ends the runs of a worker that were started before the leader knew that an earlier
// one had begun the maintenance of its instance.
func TestInheritedMaintenanceDrains(t *testing.T) {
	r, scheduler := newLeader(4, WaveRecord{Number: 1, Begun: []acaciatally.InstanceID{"m-1"}}, time.Second)
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "i-1"), instance("m-2", "")}, time.Second)
	w := acaciatally.Worker{ID: "i-1", Instance: "m-1", Pool: "intake", StartTime: time.UnixMilli(1000)}
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	running := acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1}
	scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: w.StartTime, Running: []acaciatally.RunningTask{running}}, time.Second, time.Second)
	require.Contains(t, planAndSave(r, scheduler, 2*time.Second), w.ID)
	require.Empty(t, r.Orders(scheduler, 2*time.Second))
	scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: w.StartTime}, 3*time.Second, 3*time.Second)
	require.Len(t, r.Orders(scheduler, 3*time.Second), 1)
}
