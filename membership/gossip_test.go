package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestHints guards against hints that do not reach every entry in time, and against hints that never expire because entries relay them to
// each other.
func TestHints(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSimulation(n)
			s.tableDown = true
			s.machines[0].AddHint(s.now, leavingInstance)
			s.run(map[bool]time.Duration{true: 1100 * time.Millisecond, false: 5 * time.Second}[n <= fullMeshLimit])
			for _, machine := range s.machines {
				require.Equal(t, []acaciatally.InstanceID{leavingInstance}, machine.LeavingInstances(s.now))
			}
			s.run(time.Minute)
			for _, machine := range s.machines {
				require.Empty(t, machine.LeavingInstances(s.now))
			}
		})
	}
}

// TestPartners guards against entries that receive no Hellos, and against a number of partners per entry that grows with the number of
// entries.
func TestPartners(t *testing.T) {
	for _, n := range []int{3, 9, 12, 13, 60, 100} {
		machines := newMachines(n)
		total := 0
		reached := map[acaciatally.EntryID]bool{entryID(0): true}
		for range 6 {
			for _, machine := range machines {
				if !reached[machine.self.ID] {
					continue
				}
				for _, partner := range machine.Partners() {
					reached[partner] = true
				}
			}
		}
		for _, machine := range machines {
			total += len(machine.Partners())
		}
		require.Len(t, reached, n, "Hellos must reach all entries")
		if n > fullMeshLimit {
			require.LessOrEqual(t, total, 2*pickedPartners*n)
		}
	}
}

func newMachines(n int) (machines []*StateMachine) {
	var rows []EntryRow
	for i := range n {
		rows = append(rows, EntryRow{Entry: testEntry(i), Version: 1})
	}
	for i := range n {
		machine := NewStateMachine(Limits{}, time.Unix(1000, 0), testEntry(i), nil)
		machine.RecordScan(time.Unix(1000, 0), rows)
		machines = append(machines, machine)
	}
	return machines
}
