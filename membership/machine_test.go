package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const leavingInstance acaciatally.InstanceID = "coating-1"

func entryID(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

func testEntry(i int) Entry {
	return Entry{ID: entryID(i), Incarnation: fmt.Sprintf("first-%d", i), DataCentre: "hall-a"}
}

// simulation runs state machines against each other in steps of 100 ms. Each sends Hellos and a heartbeat every second, at an offset of its
// own.
type simulation struct {
	now           time.Time
	steps         int
	machines      []*StateMachine
	rows          []EntryRow
	tableDown     bool                    // the table service is unavailable to all entries
	dropped       func(from, to int) bool // whether Hellos between these entries are lost
	frozen        map[int]bool
	noTable       map[int]bool // entries that cannot reach the table service
	delayedHellos []delayedHello
}

// delayedHello is a Hello that is buffered for a frozen entry.
type delayedHello struct {
	sentAt  time.Time
	deliver func(now time.Time)
}

func newSimulation(n int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), dropped: func(int, int) bool { return false }, frozen: map[int]bool{}, noTable: map[int]bool{}}
	for i := range n {
		s.rows = append(s.rows, EntryRow{Entry: testEntry(i), Version: 1})
	}
	for i := range n {
		machine := NewStateMachine(Limits{}, s.now, testEntry(i), nil)
		machine.RecordScan(s.now, s.rows)
		s.machines = append(s.machines, machine)
	}
	s.run(3 * time.Second)
	return s
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for i, machine := range s.machines {
			if !s.frozen[i] && s.steps%10 == i%10 {
				s.tick(i, machine)
			}
		}
		s.steps++
	}
}

func (s *simulation) tick(i int, machine *StateMachine) {
	if !s.tableDown && !s.noTable[i] {
		machine.RecordHeadRead(s.now)
		machine.RecordHeartbeat(s.now)
		s.rows[i].Version++
		s.rows[i].Entry.View, s.rows[i].Entry.Busy = machine.self.View, machine.self.Busy
		machine.RecordScan(s.now, s.rows)
	}
	for _, to := range machine.Partners() {
		for j, other := range s.machines {
			if other.self.ID != to || s.dropped(i, j) {
				continue
			}
			hello := machine.HelloFor(s.now, to)
			deliver := func(now time.Time) { other.ReceiveHello(now, machine.self.ID, hello) }
			if s.frozen[j] {
				s.delayedHellos = append(s.delayedHellos, delayedHello{sentAt: s.now, deliver: deliver})
				continue
			}
			deliver(s.now)
		}
	}
}

func (s *simulation) serving() (count int) {
	for _, machine := range s.machines {
		if machine.MayServe(s.now) {
			count++
		}
	}
	return count
}

// TestMayServe guards against entries that serve with an outdated view, and so may send work to an instance that has left service, and
// against entries that stop serving without need.
func TestMayServe(t *testing.T) {
	splitAt := func(size int) func(int, int) bool {
		return func(from, to int) bool { return (from < size) != (to < size) }
	}
	splitWithoutTable := func(dropped func(int, int) bool, first, end int) func(s *simulation) {
		return func(s *simulation) {
			s.dropped = dropped
			for i := first; i < end; i++ {
				s.noTable[i] = true
			}
		}
	}
	tests := map[string]struct {
		entries int
		fault   func(s *simulation)
		serving int
	}{
		"no fault":                          {entries: 9, fault: func(*simulation) {}, serving: 9},
		"table service down for all":        {entries: 9, fault: func(s *simulation) { s.tableDown = true }, serving: 9},
		"one entry, table service down":     {entries: 1, fault: func(s *simulation) { s.tableDown = true }, serving: 1},
		"one entry loses the table service": {entries: 9, fault: func(s *simulation) { s.noTable[4] = true }, serving: 9},
		"one entry loses table and peers":   {entries: 9, fault: func(s *simulation) { s.noTable[0] = true; s.dropped = splitAt(1) }, serving: 8},
		"no Hellos between entries":         {entries: 9, fault: func(s *simulation) { s.dropped = func(int, int) bool { return true } }, serving: 9},
		"table down, four split from five":  {entries: 9, fault: func(s *simulation) { s.tableDown = true; s.dropped = splitAt(4) }, serving: 5},
		"table down, two entries split":     {entries: 2, fault: func(s *simulation) { s.tableDown = true; s.dropped = splitAt(1) }, serving: 0},
		"table down, no Hellos":             {entries: 3, fault: func(s *simulation) { s.tableDown = true; s.dropped = func(int, int) bool { return true } }, serving: 0},
		"sixty entries, table service down": {entries: 60, fault: func(s *simulation) { s.tableDown = true }, serving: 60},
		"sixty entries, twenty lose table and peers": {entries: 60, fault: func(s *simulation) {
			s.dropped = splitAt(20)
			for i := range 20 {
				s.noTable[i] = true
			}
		}, serving: 40},
		"halves of sixty split, one without the table":    {entries: 60, fault: splitWithoutTable(splitAt(30), 0, 30), serving: 30},
		"twenty of sixty split, only they have the table": {entries: 60, fault: splitWithoutTable(splitAt(20), 20, 60), serving: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(test.entries)
			require.Equal(t, test.entries, s.serving())
			s.run(5 * time.Second)
			test.fault(s)
			s.run(2600 * time.Millisecond) // ViewLimit and one step
			require.Equal(t, test.serving, s.serving())
			for range 20 {
				s.run(500 * time.Millisecond)
				require.Equal(t, test.serving, s.serving())
			}
		})
	}
}

// TestMayChange guards against changes that are put into force while entries that keep serving without the table service cannot learn of
// them.
func TestMayChange(t *testing.T) {
	splitAt := func(size int) func(int, int) bool {
		return func(from, to int) bool { return (from < size) != (to < size) }
	}
	tests := map[string]struct {
		entries  int
		fault    func(s *simulation)
		changing int
	}{
		"no fault":                   {entries: 9, fault: func(*simulation) {}, changing: 9},
		"one entry":                  {entries: 1, fault: func(*simulation) {}, changing: 1},
		"table service down for all": {entries: 9, fault: func(s *simulation) { s.tableDown = true }},
		"one entry loses the table":  {entries: 9, fault: func(s *simulation) { s.noTable[4] = true }, changing: 9},
		"four split from five":       {entries: 9, fault: func(s *simulation) { s.dropped = splitAt(4) }, changing: 5},
		"four split, only they reach the table": {entries: 9, fault: func(s *simulation) {
			s.dropped = splitAt(4)
			for i := 4; i < 9; i++ {
				s.noTable[i] = true
			}
		}},
		"five split, only they reach the table": {entries: 9, fault: func(s *simulation) {
			s.dropped = splitAt(4)
			for i := range 4 {
				s.noTable[i] = true
			}
		}, changing: 5},
		"no Hellos": {entries: 9, fault: func(s *simulation) { s.dropped = func(int, int) bool { return true } }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(test.entries)
			s.run(5 * time.Second)
			test.fault(s)
			s.run(3 * time.Second)
			changing := 0
			for _, machine := range s.machines {
				if machine.MayChange(s.now) {
					changing++
				}
			}
			require.Equal(t, test.changing, changing)
		})
	}
}

// TestFrozenEntryResumes guards against an entry that takes Hellos buffered while it was frozen for recent ones, and serves with an outdated
// view.
func TestFrozenEntryResumes(t *testing.T) {
	s := newSimulation(9)
	s.frozen[3] = true
	s.run(time.Minute)
	frozen := s.machines[3]
	require.False(t, frozen.MayServe(s.now))
	for _, delayed := range s.delayedHellos {
		if s.now.Sub(delayed.sentAt) > 3*time.Second {
			delayed.deliver(s.now)
		}
	}
	require.False(t, frozen.MayServe(s.now), "buffered Hellos must not count as recent")
	require.Empty(t, frozen.Live(s.now))
	s.frozen[3] = false
	s.run(2 * time.Second)
	require.True(t, frozen.MayServe(s.now))
}

// TestPeerWithNewerView guards against an outdated view that counts as fresh because a peer with a newer version has read the head.
func TestPeerWithNewerView(t *testing.T) {
	s := newSimulation(2)
	s.noTable[1] = true
	s.machines[0].SetView(7, nil)
	s.run(3 * time.Second)
	require.True(t, s.machines[0].Fresh(s.now))
	require.False(t, s.machines[1].Fresh(s.now))
	s.machines[1].SetView(7, nil)
	require.True(t, s.machines[1].Fresh(s.now))
}

// TestAcknowledged guards against an instance that is stopped while an entry may still send it work or has work in progress on it.
func TestAcknowledged(t *testing.T) {
	leave := func(s *simulation, except ...int) {
		for i, machine := range s.machines {
			machine.SetView(5, nil)
			for _, other := range except {
				if i == other {
					machine.self.View = 4
				}
			}
		}
	}
	tests := map[string]struct {
		fault func(s *simulation)
		after time.Duration
		want  bool
	}{
		"all have the version":     {fault: func(s *simulation) { leave(s) }, after: 3 * time.Second, want: true},
		"one has an older view":    {fault: func(s *simulation) { leave(s, 2) }, after: time.Minute},
		"one is busy on it":        {fault: func(s *simulation) { leave(s); s.machines[2].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"one is busy on another":   {fault: func(s *simulation) { leave(s); s.machines[2].SetView(5, []acaciatally.InstanceID{"other"}) }, after: 3 * time.Second, want: true},
		"this entry is busy on it": {fault: func(s *simulation) { leave(s); s.machines[0].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"one frozen, briefly":      {fault: func(s *simulation) { leave(s, 2); s.frozen[2] = true }, after: 4 * time.Second},
		"one frozen, longer":       {fault: func(s *simulation) { leave(s, 2); s.frozen[2] = true }, after: 10 * time.Second, want: true},
		"no heartbeat but Hellos":  {fault: func(s *simulation) { leave(s, 2); s.noTable[2] = true }, after: time.Minute},
		"majority is frozen":       {fault: func(s *simulation) { leave(s); freeze(s, 1, 2, 3, 4, 5) }, after: 20 * time.Second},
		"table service down":       {fault: func(s *simulation) { leave(s); s.tableDown = true }, after: 10 * time.Second},
		"Hellos but no row":        {fault: func(s *simulation) { leave(s, 2); s.rows = append(s.rows[:2:2], s.rows[3:]...); s.noTable[2] = true }, after: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(9)
			test.fault(s)
			if name == "Hellos but no row" {
				s.machines[0].RecordScan(s.now, s.rows)
				require.False(t, s.machines[0].Acknowledged(s.now, leavingInstance, 5))
				return
			}
			s.run(test.after)
			require.Equal(t, test.want, s.machines[0].Acknowledged(s.now, leavingInstance, 5))
		})
	}
}

func freeze(s *simulation, indices ...int) {
	for _, i := range indices {
		s.frozen[i] = true
	}
}

// TestExpiredRows guards against rows of dead entries that count towards the majority forever, and against rows that are deleted too early.
func TestExpiredRows(t *testing.T) {
	s := newSimulation(9)
	s.frozen[8] = true
	s.run(20 * time.Second)
	require.Empty(t, s.machines[0].ExpiredRows(s.now))
	s.run(15 * time.Second)
	require.Empty(t, s.machines[1].ExpiredRows(s.now), "only the entry with the lowest id deletes rows")
	expired := s.machines[0].ExpiredRows(s.now)
	require.Len(t, expired, 1)
	require.Equal(t, entryID(8), expired[0].Entry.ID)
}

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

// TestReplaced guards against a process that keeps serving after another one has taken over its entry's row.
func TestReplaced(t *testing.T) {
	s := newSimulation(3)
	s.machines[1].MarkReplaced()
	require.False(t, s.machines[1].MayServe(s.now))
}
