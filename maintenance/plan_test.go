package maintenance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/maintenance"
)

// TestNext guards against more instances down than allowed, a wave that is late, and work that is disturbed without need.
func TestNext(t *testing.T) {
	up := func(id string, runs int, spare bool) maintenance.Instance {
		return maintenance.Instance{ID: acaciatally.InstanceID(id), Up: true, Runs: runs, Spare: spare}
	}
	lasting := func(id string, phase maintenance.Phase) maintenance.Instance {
		return maintenance.Instance{ID: acaciatally.InstanceID(id), Pool: "intake", Phase: phase, Up: true, Runs: 4, Lasting: 2}
	}
	down := maintenance.Instance{ID: "down", Phase: maintenance.Down}
	standby := maintenance.Instance{ID: "standby", Up: true, Standby: true}
	tests := map[string]struct {
		wave   maintenance.Wave
		chosen []acaciatally.InstanceID
	}{
		"idle ones first": {
			maintenance.Wave{AtOnce: 2, Left: time.Minute, Instances: []maintenance.Instance{up("a", 3, true), up("b", 0, true), standby}},
			[]acaciatally.InstanceID{"standby", "b"},
		},
		"busy ones wait": {
			maintenance.Wave{AtOnce: 2, Left: time.Minute, Instances: []maintenance.Instance{up("a", 3, true), up("b", 0, false)}}, nil,
		},
		"as many busy ones as the time needs": {
			maintenance.Wave{AtOnce: 5, Left: 9 * time.Second, Instances: []maintenance.Instance{
				up("a", 3, false), up("b", 1, false), up("c", 2, false), up("d", 4, false),
			}},
			[]acaciatally.InstanceID{"b", "c", "a"},
		},
		"busy ones when time is short": {
			maintenance.Wave{AtOnce: 1, Left: 3 * time.Second, Instances: []maintenance.Instance{up("a", 3, true), up("b", 1, true)}},
			[]acaciatally.InstanceID{"b"},
		},
		"lasting work begins early": {
			maintenance.Wave{AtOnce: 5, Left: time.Minute, Instances: []maintenance.Instance{
				lasting("a", maintenance.Pending), lasting("b", maintenance.Pending), up("c", 3, false),
			}},
			[]acaciatally.InstanceID{"a"},
		},
		"lasting work leaves one instance after another": {
			maintenance.Wave{AtOnce: 5, Left: time.Minute, Instances: []maintenance.Instance{
				lasting("a", maintenance.Emptying), lasting("b", maintenance.Pending),
			}},
			nil,
		},
		"lasting work leaves several instances where time needs it": {
			maintenance.Wave{AtOnce: 5, Left: 10 * time.Second, Instances: []maintenance.Instance{
				lasting("a", maintenance.Emptying), lasting("b", maintenance.Pending), lasting("c", maintenance.Pending),
				lasting("d", maintenance.Pending), lasting("e", maintenance.Pending),
			}},
			[]acaciatally.InstanceID{"b"},
		},
		"never more than allowed": {
			maintenance.Wave{AtOnce: 1, Left: time.Second, Instances: []maintenance.Instance{down, up("a", 0, true)}}, nil,
		},
		"reserved ones are left": {
			maintenance.Wave{AtOnce: 3, Left: time.Second, Instances: []maintenance.Instance{{ID: "a", Up: true, Reserved: true}, {ID: "b"}}}, nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.chosen, maintenance.Config{Each: 3 * time.Second}.Next(test.wave))
		})
	}
}

// TestDone guards against a wave that is said to be done while an instance of it waits.
func TestDone(t *testing.T) {
	wave := maintenance.Wave{Instances: []maintenance.Instance{{Phase: maintenance.Finished}, {Phase: maintenance.Missing}, {Phase: maintenance.Pending}}}
	require.False(t, wave.Done())
	wave.Instances[2].Phase = maintenance.Down
	require.True(t, wave.Done())
}
