package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestAcknowledged guards against an instance that is stopped while an entry may still send it work or has work in progress on it.
func TestAcknowledged(t *testing.T) {
	tests := map[string]struct {
		fault func(s *simulation)
		after time.Duration
		want  bool
	}{
		"all have the version":     {fault: func(s *simulation) { leaveAt5(s) }, after: 3 * time.Second, want: true},
		"one has an older view":    {fault: func(s *simulation) { leaveAt5(s, 2) }, after: time.Minute},
		"one is busy on it":        {fault: func(s *simulation) { leaveAt5(s); s.machines[2].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"one is busy on another":   {fault: func(s *simulation) { leaveAt5(s); s.machines[2].SetView(5, []acaciatally.InstanceID{"other"}) }, after: 3 * time.Second, want: true},
		"this entry is busy on it": {fault: func(s *simulation) { leaveAt5(s); s.machines[0].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"one frozen, briefly":      {fault: func(s *simulation) { leaveAt5(s, 2); s.frozen[2] = true }, after: 4 * time.Second},
		"one frozen, longer":       {fault: func(s *simulation) { leaveAt5(s, 2); s.frozen[2] = true }, after: 10 * time.Second, want: true},
		"no heartbeat but Hellos":  {fault: func(s *simulation) { leaveAt5(s, 2); s.noTable[2] = true }, after: time.Minute},
		"majority is frozen":       {fault: func(s *simulation) { leaveAt5(s); freeze(s, 1, 2, 3, 4, 5) }, after: 20 * time.Second},
		"table service down":       {fault: func(s *simulation) { leaveAt5(s); s.tableDown = true }, after: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(9)
			test.fault(s)
			s.run(test.after)
			require.Equal(t, test.want, s.machines[0].Acknowledged(s.now, leavingInstance, 5))
		})
	}
}

// TestEntryWithoutRow guards against an instance that is stopped although an entry that has no row, but is in contact, has an older view.
func TestEntryWithoutRow(t *testing.T) {
	s := newSimulation(9)
	leaveAt5(s, 2)
	s.noTable[2] = true
	s.run(3 * time.Second) // the other entries acknowledge
	s.machines[0].RecordScan(s.now, append(s.rows[:2:2], s.rows[3:]...))
	require.False(t, s.machines[0].Acknowledged(s.now, leavingInstance, 5))
	s.machines[2].SetView(5, nil)
	s.machines[0].ReceiveHello(s.now, entryID(2), s.machines[2].HelloFor(s.now, entryID(0)))
	require.True(t, s.machines[0].Acknowledged(s.now, leavingInstance, 5), "the entry has the version")
}

// leaveAt5 puts version 5, in which the leaving instance is out of service, into force at all entries but the excepted ones.
func leaveAt5(s *simulation, except ...int) {
	for i, machine := range s.machines {
		machine.SetView(5, nil)
		if slices.Contains(except, i) {
			machine.self.View = 4
		}
	}
}
