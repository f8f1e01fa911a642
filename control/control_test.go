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

// desk is one controller on a modelled platform.
type desk struct {
	*model.Machines
	clock      *model.Clock
	log        *changelog.Log
	controller *control.Controller
	stale      bool
	reports    []acaciatally.InstanceReport
}

func (d *desk) Fresh() bool                           { return !d.stale }
func (d *desk) Reports() []acaciatally.InstanceReport { return d.reports }

func newDesk(t testing.TB, deployment *settings.Settings, options ...func(config *control.Config)) *desk {
	t.Helper()
	clock, table := model.NewClock(), standin.NewTable()
	d := &desk{clock: clock, log: changelog.New(changelog.Config{Table: table, Clock: clock})}
	d.Machines = model.NewMachines(model.MachinesConfig{Clock: clock, Reboot: 20 * time.Second, Drain: time.Second})
	config := control.Config{
		Log: d.log, Lease: changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: control.LeaseName, Holder: "a"}),
		Membership: d, Observer: d, List: d, Instances: d, Health: d, Clock: clock, By: "a",
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	for _, option := range options {
		option(&config)
	}
	d.controller = entry.NewControl(config)
	changes := append(deployment.Changes(), fleet.Change{PutWave: &fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: clock.Now()}})
	_, err := d.log.Commit(t.Context(), changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) { return changes, nil }})
	require.NoError(t, err)
	return d
}

func (d *desk) rounds(ctx context.Context, count int) {
	for range count {
		d.clock.Advance(time.Second)
		_, _ = d.controller.Round(ctx)
	}
}

// TestStaleViewBeginsNothing guards against control actions on a view that is not fresh, and against a wave that does not go on after.
func TestStaleViewBeginsNothing(t *testing.T) {
	d := newDesk(t, model.Authority())
	d.stale = true
	d.rounds(t.Context(), 60)
	require.Equal(t, uint64(1), d.log.State().Version)
	d.stale = false
	d.rounds(t.Context(), 5)
	version := d.log.State().Version
	require.Greater(t, version, uint64(1))
	d.stale = true
	d.rounds(t.Context(), 60)
	require.Equal(t, version, d.log.State().Version)
	d.stale = false
	d.rounds(t.Context(), 600)
	require.Equal(t, fleet.WaveDone, d.log.State().Waves["wave"].State)
}

// occupied says that a task runs on every worker until it is told otherwise.
type occupied struct{ ended bool }

func (o *occupied) OnWorker(context.Context, acaciatally.PoolName, acaciatally.InstanceID) (ids []string, err error) {
	if o.ended {
		return nil, nil
	}
	return []string{"inspection"}, nil
}

// TestTasksEndBeforeStop guards P7 for tasks: an instance is not stopped while its rows say that a task runs there.
func TestTasksEndBeforeStop(t *testing.T) {
	tasks := &occupied{}
	d := newDesk(t, model.Authority(), func(config *control.Config) { config.Tasks = tasks })
	d.rounds(t.Context(), 60)
	drained := 0
	for _, instance := range d.log.State().Instances {
		require.Contains(t, []fleet.Phase{fleet.Serving, fleet.Draining}, instance.Phase, "%s", instance.ID)
		if instance.Phase == fleet.Draining {
			drained++
		}
	}
	require.Positive(t, drained)
	tasks.ended = true
	d.rounds(t.Context(), 600)
	require.Equal(t, fleet.WaveDone, d.log.State().Waves["wave"].State)
}

// TestQuarantine guards against a worker that fails all that it starts and stays in service, against one quarantined beyond the
// budget, and against a change without its reason.
func TestQuarantine(t *testing.T) {
	d := newDesk(t, model.Authority())
	d.stale = true
	d.rounds(t.Context(), 2)
	report := func(n, succeeded, failed int) acaciatally.InstanceReport {
		id := acaciatally.InstanceID(fmt.Sprintf("intake-%02d", n))
		return acaciatally.InstanceReport{Entry: "a", Instance: id, At: d.clock.Now().Add(time.Second), Connected: succeeded + failed, Succeeded: succeeded, Failed: failed}
	}
	for n := range 5 {
		d.reports = append(d.reports, report(n+1, 0, 20))
	}
	d.reports = append(d.reports, report(6, 20, 0))
	d.stale = false
	d.rounds(t.Context(), 1)
	quarantined := 0
	for _, member := range d.log.State().Members("intake") {
		if member.Phase == fleet.Quarantined {
			quarantined++
			require.Contains(t, member.Reason, "all attempts fail")
		}
	}
	require.Equal(t, 2, quarantined, "the budget of the pool is two")
	d.reports = nil
	d.rounds(t.Context(), 120)
	for _, member := range d.log.State().Members("intake") {
		require.NotEqual(t, fleet.Quarantined, member.Phase, "a quarantined instance is repaired")
	}
}

// BenchmarkRound measures a control round without anything to do at three fleet sizes.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			d := newDesk(b, model.Sized(workers))
			_, err := d.log.Commit(b.Context(), changelog.Proposal{CommandID: "stop", Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{PutWave: &fleet.Wave{ID: "wave", State: fleet.WaveStopped}}}, nil
			}})
			require.NoError(b, err)
			var demand []acaciatally.PoolDemand
			for _, pool := range d.log.State().PoolNames() {
				demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: 8 * float64(len(d.log.State().Listed(pool)))})
			}
			d.SetDemand(demand)
			for b.Loop() {
				d.rounds(b.Context(), 1)
			}
		})
	}
}
