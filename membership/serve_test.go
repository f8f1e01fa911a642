package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMayServe guards against entries that serve with an outdated view, and so may send work to an instance that has left service, and
// against entries that stop serving without need.
func TestMayServe(t *testing.T) {
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

// TestReplaced guards against a process that keeps serving after another one has taken over its entry's row.
func TestReplaced(t *testing.T) {
	s := newSimulation(3)
	s.machines[1].MarkReplaced()
	require.False(t, s.machines[1].MayServe(s.now))
}
