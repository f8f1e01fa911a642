package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
)

// nopEventLog discards all events.
type nopEventLog struct{ dispatch.EventLog }

func (nopEventLog) WorkerChanged(acaciatally.WorkerID, acaciatally.PoolName, string, time.Duration) {}

func (nopEventLog) InstancePlanned(acaciatally.InstanceID, acaciatally.PoolName, string) {}

func (nopEventLog) MoveCancelled(acaciatally.InstanceID, acaciatally.PoolName, string, int) {}

func (nopEventLog) InstanceOrdered(acaciatally.InstanceID, string, error) {}

func (nopEventLog) WaveChanged(int, int, bool) {}

var configuration = &acaciatally.Configuration{Pools: map[acaciatally.PoolName]acaciatally.PoolOptions{
	"intake": {Name: "intake"}, "reserve": {Name: "reserve", Standby: true},
}}

func instance(id string, worker acaciatally.WorkerID) acaciatally.FleetInstance {
	return acaciatally.FleetInstance{
		ID: acaciatally.InstanceID(id), Pool: "intake", State: acaciatally.InstanceUp, Worker: worker, Capacity: acaciatally.ResourceVector{Processors: 8000},
	}
}

// planAndSave plans and stores the progress of the waves, without which no maintenance is ordered. It returns the workers to drain.
func planAndSave(r *Roster, scheduler *dispatch.Scheduler, now time.Duration) map[acaciatally.WorkerID]string {
	toDrain := r.Plan(scheduler, configuration, now)
	for _, record := range r.UnsavedWaves() {
		r.WaveSaved(record)
	}
	return toDrain
}

// newRoster returns a roster with one instance and a wave over it, and a scheduler; if reported is true, the worker has reported to the
// scheduler.
func newRoster(t *testing.T, reported bool) (*Roster, *dispatch.Scheduler) {
	t.Helper()
	r := New(Config{Epoch: 3, Holder: "entry-1", MaintenanceTime: time.Second, Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
	scheduler := dispatch.New(dispatch.Config{EventLog: nopEventLog{}, WorkerLease: 6 * time.Second})
	w := acaciatally.Worker{
		ID: "i-1", Instance: "m-1", Pool: "intake", Address: netip.MustParseAddrPort("10.1.0.1:80"), StartTime: time.UnixMilli(1000),
		Capacity: acaciatally.ResourceVector{Processors: 8000},
	}
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	if reported {
		scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: w.StartTime}, time.Second, time.Second)
	}
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "i-1")}, time.Second)
	r.AddWave(acaciatally.MaintenanceWave{Number: 1, Instances: []acaciatally.InstanceID{"m-1"}, Duration: 4 * time.Second, MaxConcurrent: 1}, 0, WaveRecord{})
	require.NotEmpty(t, planAndSave(r, scheduler, 2*time.Second))
	return r, scheduler
}

// TestUnreportedWorker guards against an order for an instance whose worker has not reported to a new leader yet: it would end runs that
// the leader does not know.
func TestUnreportedWorker(t *testing.T) {
	r, scheduler := newRoster(t, false)
	require.Empty(t, r.Orders(scheduler, 2*time.Second))
}

// TestUnknownOutcome guards against removing the new worker of an instance when an order with unknown outcome was executed and its
// repetition succeeds.
func TestUnknownOutcome(t *testing.T) {
	r, scheduler := newRoster(t, true)
	orders := r.Orders(scheduler, 2*time.Second)
	require.Len(t, orders, 1)
	require.False(t, r.OrderFinished(scheduler, orders[0], acaciatally.ErrUnknownOutcome, 2*time.Second))
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "i-2")}, 4*time.Second)
	again := r.Orders(scheduler, 5*time.Second)
	require.Len(t, again, 1)
	require.Equal(t, orders[0].Lease, again[0].Lease, "a repeated order has the fencing token of the first one")
	r.OrderFinished(scheduler, again[0], nil, 5*time.Second)
	require.Equal(t, acaciatally.WorkerID("i-1"), again[0].operation.oldWorker)
}

// TestFencedOrder guards against a leader that continues after a newer one has ordered an instance.
func TestFencedOrder(t *testing.T) {
	r, scheduler := newRoster(t, true)
	order := r.Orders(scheduler, 2*time.Second)[0]
	require.True(t, r.OrderFinished(scheduler, order, &acaciatally.OrderRejectedError{Reason: acaciatally.RejectFence}, 2*time.Second))
}

// TestWaveRecord guards against a wave that is recorded as completed before its last instance was taken down, and against one that the
// next leader repeats.
func TestWaveRecord(t *testing.T) {
	r, scheduler := newRoster(t, true)
	for _, record := range r.UnsavedWaves() {
		require.False(t, record.Completed)
	}
	r.OrderFinished(scheduler, r.Orders(scheduler, 2*time.Second)[0], nil, 2*time.Second)
	records := r.UnsavedWaves()
	require.Equal(t, []WaveRecord{{Number: 1, Finished: []acaciatally.InstanceID{"m-1"}, Completed: true}}, records)
	r.WaveSaved(records[0])
	require.Empty(t, r.UnsavedWaves())
}

// addWave adds idle instances and a wave that may take all of them down at the same time.
func addWave(r *Roster, count int) {
	var fleet []acaciatally.FleetInstance
	var wave []acaciatally.InstanceID
	for i := range count {
		id := fmt.Sprintf("m-%03d", i)
		fleet = append(fleet, instance(id, ""))
		wave = append(wave, acaciatally.InstanceID(id))
	}
	r.SetFleet(fleet, time.Second)
	r.AddWave(acaciatally.MaintenanceWave{Number: 1, Instances: wave, Duration: 4 * time.Second, MaxConcurrent: count}, 0, WaveRecord{})
}

// TestOrdersInFlight guards against so many concurrent orders that they queue at the instance control until all time out: no order had
// a known outcome then, and each was repeated.
func TestOrdersInFlight(t *testing.T) {
	r := New(Config{Epoch: 3, Holder: "entry-1", MaintenanceTime: time.Second, Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
	scheduler := dispatch.New(dispatch.Config{EventLog: nopEventLog{}, WorkerLease: 6 * time.Second})
	addWave(r, 100)
	planAndSave(r, scheduler, 2*time.Second)
	first := r.Orders(scheduler, 2*time.Second)
	require.Len(t, first, maxOrdersInFlight)
	require.Empty(t, r.Orders(scheduler, 2*time.Second), "no order has a result yet")
	r.OrderFinished(scheduler, first[0], nil, 2*time.Second)
	require.Len(t, r.Orders(scheduler, 2*time.Second), 1)
}

// TestOrdersPerSecond guards against orders that wait for the next plan although the rate limit of the instance control allows them, and
// against exceeding that limit.
func TestOrdersPerSecond(t *testing.T) {
	const perSecond = 200
	r := New(Config{Epoch: 3, Holder: "entry-1", MaintenanceTime: time.Second, Capacity: capacity.Defaults(), OrdersPerSecond: perSecond, EventLog: nopEventLog{}})
	scheduler := dispatch.New(dispatch.Config{EventLog: nopEventLog{}, WorkerLease: 6 * time.Second})
	addWave(r, 400)
	planAndSave(r, scheduler, 2*time.Second)
	sent := 0
	for now := 2 * time.Second; now < 3*time.Second; now += 10 * time.Millisecond {
		for _, order := range r.Orders(scheduler, now) {
			sent++
			r.OrderFinished(scheduler, order, nil, now)
		}
	}
	require.LessOrEqual(t, sent, perSecond+1)
	require.Greater(t, sent, perSecond*3/4)
}

// TestUnrecordedMaintenance guards against more instances down than a wave allows, after an earlier leader ordered some but lost the
// store before it could record them.
func TestUnrecordedMaintenance(t *testing.T) {
	r := New(Config{Epoch: 4, Holder: "entry-2", MaintenanceTime: time.Second, Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
	scheduler := dispatch.New(dispatch.Config{EventLog: nopEventLog{}, WorkerLease: 6 * time.Second})
	maintained, idle := instance("m-1", ""), instance("m-2", "")
	maintained.State = acaciatally.InstanceMaintenance
	r.SetFleet([]acaciatally.FleetInstance{maintained, idle}, time.Second)
	r.AddWave(acaciatally.MaintenanceWave{
		Number: 1, Instances: []acaciatally.InstanceID{"m-1", "m-2"}, Duration: 4 * time.Second, MaxConcurrent: 1,
	}, 0, WaveRecord{})
	planAndSave(r, scheduler, 2*time.Second)
	require.Empty(t, r.Orders(scheduler, 2*time.Second))
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", ""), idle}, 3*time.Second)
	planAndSave(r, scheduler, 3*time.Second)
	require.Len(t, r.Orders(scheduler, 3*time.Second), 1)
}

// TestMaintenanceWithoutEffect guards against a wave that stands still because an order that an earlier leader had already had executed was
// accepted: the instance stays up with the same worker, and counted as down for the rest of the leader's term.
func TestMaintenanceWithoutEffect(t *testing.T) {
	tests := map[string]struct {
		worker    acaciatally.WorkerID
		listed    time.Duration
		completed bool
	}{
		"same worker at once":           {"i-1", 2100 * time.Millisecond, false},
		"same worker after maintenance": {"i-1", 4 * time.Second, true},
		"new worker at once":            {"i-2", 2100 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, scheduler := newRoster(t, true)
			r.OrderFinished(scheduler, r.Orders(scheduler, 2*time.Second)[0], nil, 2*time.Second)
			r.SetFleet([]acaciatally.FleetInstance{instance("m-1", test.worker)}, test.listed)
			require.Equal(t, test.completed, len(r.operations) == 0)
		})
	}
}

// TestMoveThatCanNotBeOrdered guards against a move that counts as an instance on its way to a pool for good, so that the pool gets no other one,
// although its order can't be sent: the instance is down, or its worker is not known.
func TestMoveThatCanNotBeOrdered(t *testing.T) {
	down := instance("m-1", "")
	down.State = acaciatally.InstanceDown
	tests := map[string]struct {
		instance acaciatally.FleetInstance
		kept     bool
	}{
		"instance is down":    {down, false},
		"worker is not known": {instance("m-1", "i-unknown"), false},
		"waits for its turn":  {instance("m-1", ""), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Epoch: 3, Holder: "entry-1", Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
			r.SetFleet([]acaciatally.FleetInstance{test.instance}, 0)
			r.addOperation("m-1", &operation{purpose: purposeMove, to: "intake"})
			r.cancelStaleMoves(nil, drainTimeout)
			require.Contains(t, r.operations, acaciatally.InstanceID("m-1"))
			r.cancelStaleMoves(nil, drainTimeout+time.Millisecond)
			_, kept := r.operations["m-1"]
			require.Equal(t, test.kept, kept)
		})
	}
}

// TestInstanceStaysDown guards against an instance that counts as on its way to a pool for good because it does not come up after its order.
func TestInstanceStaysDown(t *testing.T) {
	const takes = time.Second
	down := instance("m-1", "")
	down.State = acaciatally.InstanceDown
	r := New(Config{Epoch: 3, Holder: "entry-1", MoveTime: takes, Capacity: capacity.Defaults(), EventLog: nopEventLog{}})
	r.SetFleet([]acaciatally.FleetInstance{instance("m-1", "")}, 0)
	r.addOperation("m-1", &operation{purpose: purposeMove, to: "intake", done: true, doneAt: time.Second})
	r.SetFleet([]acaciatally.FleetInstance{down}, time.Second+takes+downTimeout)
	require.Contains(t, r.operations, acaciatally.InstanceID("m-1"), "it may still come up")
	r.SetFleet([]acaciatally.FleetInstance{down}, time.Second+takes+downTimeout+time.Millisecond)
	require.Empty(t, r.operations)
}
