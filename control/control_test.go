package control_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/control"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

// testController is a controller on a simulated platform, which also serves as its membership and observer.
type testController struct {
	*model.Machines
	clock      *model.ManualClock
	log        *changelog.Log
	controller *control.Controller
	stale      bool
	reports    []acaciatally.InstanceReport
}

func (c *testController) MayChange() bool                       { return !c.stale }
func (c *testController) Reports() []acaciatally.InstanceReport { return c.reports }

func newTestController(t testing.TB, deployment *settings.Settings, options ...func(config *control.Config)) *testController {
	t.Helper()
	clock, table := model.NewManualClock(), standin.NewTable()
	c := &testController{clock: clock, log: changelog.New(changelog.Config{Table: table, Clock: clock})}
	c.Machines = model.NewMachines(model.MachinesConfig{Clock: clock, MeanRebootTime: 20 * time.Second, MaxDrainTime: time.Second})
	config := control.Config{
		Log: c.log, Lease: changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: control.LeaseName, Holder: "a"}),
		Membership: c, Observer: c, List: c, Instances: c, Health: c, Clock: clock, By: "a",
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	for _, option := range options {
		option(&config)
	}
	c.controller = entry.NewControl(config)
	changes := append(deployment.FleetChanges(), fleet.Change{PutWave: &fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: clock.Now()}})
	_, err := c.log.Commit(t.Context(), changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) { return changes, nil }})
	require.NoError(t, err)
	return c
}

func (c *testController) rounds(ctx context.Context, count int) {
	for range count {
		c.clock.Advance(time.Second)
		_, _ = c.controller.Round(ctx)
	}
}

// TestStaleViewPlansNothing guards against actions that a controller commits while its view of the entries is not fresh, and against
// a wave that does not continue once the view is fresh again.
func TestStaleViewPlansNothing(t *testing.T) {
	c := newTestController(t, model.Authority())
	c.stale = true
	c.rounds(t.Context(), 60)
	require.Equal(t, uint64(1), c.log.State().Version)
	c.stale = false
	c.rounds(t.Context(), 5)
	version := c.log.State().Version
	require.Greater(t, version, uint64(1))
	c.stale = true
	c.rounds(t.Context(), 60)
	require.Equal(t, version, c.log.State().Version)
	c.stale = false
	c.rounds(t.Context(), 600)
	require.Equal(t, fleet.WaveDone, c.log.State().Waves["wave"].State)
}

// runningTasks reports a running task on every worker until ended is set.
type runningTasks struct{ ended bool }

func (r *runningTasks) TasksOnWorker(context.Context, acaciatally.PoolName, acaciatally.InstanceID) (ids []string, err error) {
	if r.ended {
		return nil, nil
	}
	return []string{"inspection"}, nil
}

// TestTasksEndBeforeStop guards against an instance that is stopped while the stored rows show a task running on it.
func TestTasksEndBeforeStop(t *testing.T) {
	tasks := &runningTasks{}
	c := newTestController(t, model.Authority(), func(config *control.Config) { config.Tasks = tasks })
	c.rounds(t.Context(), 60)
	drained := 0
	for _, instance := range c.log.State().Instances {
		require.Contains(t, []fleet.Phase{fleet.Serving, fleet.Draining}, instance.Phase, "%s", instance.ID)
		if instance.Phase == fleet.Draining {
			drained++
		}
	}
	require.Positive(t, drained)
	tasks.ended = true
	c.rounds(t.Context(), 600)
	require.Equal(t, fleet.WaveDone, c.log.State().Waves["wave"].State)
}

// TestQuarantineWithinBudget guards against a worker that stays in service although all its attempts fail, against quarantines beyond
// the pool's availability budget, and against changes recorded without their reason.
func TestQuarantineWithinBudget(t *testing.T) {
	c := newTestController(t, model.Authority())
	c.stale = true
	c.rounds(t.Context(), 2)
	report := func(n, succeeded, failed int) acaciatally.InstanceReport {
		id := acaciatally.InstanceID(fmt.Sprintf("intake-%02d", n))
		return acaciatally.InstanceReport{Entry: "a", Instance: id, At: c.clock.Now().Add(time.Second), Connected: succeeded + failed, Succeeded: succeeded, Failed: failed}
	}
	for n := range 5 {
		c.reports = append(c.reports, report(n+1, 0, 20))
	}
	c.reports = append(c.reports, report(6, 20, 0))
	c.stale = false
	c.rounds(t.Context(), 1)
	quarantined := 0
	for _, member := range c.log.State().Members("intake") {
		if member.Phase == fleet.Quarantined {
			quarantined++
			require.Contains(t, member.Reason, "all attempts fail")
		}
	}
	require.Equal(t, 2, quarantined, "the availability budget of the pool is two")
	c.reports = nil
	c.rounds(t.Context(), 120)
	for _, member := range c.log.State().Members("intake") {
		require.NotEqual(t, fleet.Quarantined, member.Phase, "a quarantined instance is repaired")
	}
}

// BenchmarkRound measures a control round with nothing to do at three fleet sizes.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := newTestController(b, model.NewSizedDeployment(workers))
			_, err := c.log.Commit(b.Context(), changelog.Proposal{CommandID: "stop", Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{PutWave: &fleet.Wave{ID: "wave", State: fleet.WaveStopped}}}, nil
			}})
			require.NoError(b, err)
			var demand []acaciatally.PoolDemand
			for _, pool := range c.log.State().PoolNames() {
				demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: 8 * float64(len(c.log.State().SharedMembers(pool)))})
			}
			c.SetDemand(demand)
			for b.Loop() {
				c.rounds(b.Context(), 1)
			}
		})
	}
}
