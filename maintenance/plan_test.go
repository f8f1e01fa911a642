package maintenance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/maintenance"
)

// TestNext guards against more instances out of service than allowed, a wave that misses its deadline, and needless disruption of tasks.
func TestNext(t *testing.T) {
	up := func(id string, runs int, spare bool) maintenance.Instance {
		return maintenance.Instance{ID: acaciatally.InstanceID(id), Up: true, Runs: runs, Spare: spare}
	}
	withLongRunning := func(id string, phase maintenance.Phase) maintenance.Instance {
		return maintenance.Instance{ID: acaciatally.InstanceID(id), Pool: "intake", Phase: phase, Up: true, Runs: 4, LongRunning: 2}
	}
	down := maintenance.Instance{ID: "down", Phase: maintenance.Down}
	standby := maintenance.Instance{ID: "standby", Up: true, Standby: true}
	tests := map[string]struct {
		wave   maintenance.Wave
		chosen []acaciatally.InstanceID
	}{
		"idle instances first": {
			maintenance.Wave{MaxDown: 2, Remaining: time.Minute, Instances: []maintenance.Instance{up("a", 3, true), up("b", 0, true), standby}},
			[]acaciatally.InstanceID{"standby", "b"},
		},
		"busy instances wait": {
			maintenance.Wave{MaxDown: 2, Remaining: time.Minute, Instances: []maintenance.Instance{up("a", 3, true), up("b", 0, false)}}, nil,
		},
		"as many busy instances as the deadline requires": {
			maintenance.Wave{MaxDown: 5, Remaining: 9 * time.Second, Instances: []maintenance.Instance{
				up("a", 3, false), up("b", 1, false), up("c", 2, false), up("d", 4, false),
			}},
			[]acaciatally.InstanceID{"b", "c", "a"},
		},
		"busy instances when time is short": {
			maintenance.Wave{MaxDown: 1, Remaining: 3 * time.Second, Instances: []maintenance.Instance{up("a", 3, true), up("b", 1, true)}},
			[]acaciatally.InstanceID{"b"},
		},
		"long-running tasks are drained early": {
			maintenance.Wave{MaxDown: 5, Remaining: time.Minute, Instances: []maintenance.Instance{
				withLongRunning("a", maintenance.Pending), withLongRunning("b", maintenance.Pending), up("c", 3, false),
			}},
			[]acaciatally.InstanceID{"a"},
		},
		"long-running tasks are drained one instance after another": {
			maintenance.Wave{MaxDown: 5, Remaining: time.Minute, Instances: []maintenance.Instance{
				withLongRunning("a", maintenance.Draining), withLongRunning("b", maintenance.Pending),
			}},
			nil,
		},
		"long-running tasks are drained in parallel if the deadline requires it": {
			maintenance.Wave{MaxDown: 5, Remaining: 10 * time.Second, Instances: []maintenance.Instance{
				withLongRunning("a", maintenance.Draining), withLongRunning("b", maintenance.Pending), withLongRunning("c", maintenance.Pending),
				withLongRunning("d", maintenance.Pending), withLongRunning("e", maintenance.Pending),
			}},
			[]acaciatally.InstanceID{"b"},
		},
		"never more instances than allowed": {
			maintenance.Wave{MaxDown: 1, Remaining: time.Second, Instances: []maintenance.Instance{down, up("a", 0, true)}}, nil,
		},
		"reserved instances are skipped": {
			maintenance.Wave{MaxDown: 3, Remaining: time.Second, Instances: []maintenance.Instance{{ID: "a", Up: true, Reserved: true}, {ID: "b"}}}, nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.chosen, maintenance.Config{PerInstance: 3 * time.Second}.Next(test.wave))
		})
	}
}

// TestDone guards against a wave that is reported as done while one of its instances is pending.
func TestDone(t *testing.T) {
	wave := maintenance.Wave{Instances: []maintenance.Instance{{Phase: maintenance.Finished}, {Phase: maintenance.Missing}, {Phase: maintenance.Pending}}}
	require.False(t, wave.Done())
	wave.Instances[2].Phase = maintenance.Down
	require.True(t, wave.Done())
}
