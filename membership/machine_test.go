package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const leavingInstance acaciatally.InstanceID = "coating-1"

func id(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

func self(i int) Entry {
	return Entry{ID: id(i), Incarnation: fmt.Sprintf("first-%d", i), DataCentre: "hall-a"}
}

// group runs machines against each other in steps of 100 ms, with Hellos each second at a phase of their own.
type group struct {
	now      time.Time
	steps    int
	machines []*Machine
	rows     []Row
	down     bool                    // the table service
	cut      func(from, to int) bool // Hellos that are lost
	frozen   map[int]bool
	noTable  map[int]bool // entries without the table service
	delayed  []delivery
}

// delivery is a Hello that waits for a frozen entry.
type delivery struct {
	made    time.Time
	deliver func(now time.Time)
}

func newGroup(n int) *group {
	g := &group{now: time.Unix(1000, 0), cut: func(int, int) bool { return false }, frozen: map[int]bool{}, noTable: map[int]bool{}}
	for i := range n {
		g.rows = append(g.rows, Row{Entry: self(i), Version: 1})
	}
	for i := range n {
		machine := NewMachine(Rules{}, g.now, self(i), nil)
		machine.Scanned(g.now, g.rows)
		g.machines = append(g.machines, machine)
	}
	g.run(3 * time.Second)
	return g
}

func (g *group) run(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		for i, machine := range g.machines {
			if !g.frozen[i] && g.steps%10 == i%10 {
				g.beat(i, machine)
			}
		}
		g.steps++
	}
}

func (g *group) beat(i int, machine *Machine) {
	if !g.down && !g.noTable[i] {
		machine.HeadRead(g.now)
		machine.Heartbeat(g.now)
		g.rows[i].Version++
		g.rows[i].Entry.View, g.rows[i].Entry.Busy = machine.self.View, machine.self.Busy
		machine.Scanned(g.now, g.rows)
	}
	for _, to := range machine.Partners() {
		for j, other := range g.machines {
			if other.self.ID != to || g.cut(i, j) {
				continue
			}
			hello := machine.HelloTo(g.now, to)
			deliver := func(now time.Time) { other.Hear(now, machine.self.ID, hello) }
			if g.frozen[j] {
				g.delayed = append(g.delayed, delivery{made: g.now, deliver: deliver})
				continue
			}
			deliver(g.now)
		}
	}
}

func (g *group) serving() (count int) {
	for _, machine := range g.machines {
		if machine.MayServe(g.now) {
			count++
		}
	}
	return count
}

// TestServe guards against entries that serve with an outdated view, and against groups that stop serving without need (P6).
func TestServe(t *testing.T) {
	sides := func(size int) func(int, int) bool {
		return func(from, to int) bool { return (from < size) != (to < size) }
	}
	region := func(cut func(int, int) bool, first, end int) func(g *group) {
		return func(g *group) {
			g.cut = cut
			for i := first; i < end; i++ {
				g.noTable[i] = true
			}
		}
	}
	tests := map[string]struct {
		entries int
		fault   func(g *group)
		serving int
	}{
		"no fault":                           {entries: 9, fault: func(*group) {}, serving: 9},
		"platform is down for all":           {entries: 9, fault: func(g *group) { g.down = true }, serving: 9},
		"one entry, platform down":           {entries: 1, fault: func(g *group) { g.down = true }, serving: 1},
		"one entry loses the platform":       {entries: 9, fault: func(g *group) { g.noTable[4] = true }, serving: 9},
		"one entry loses platform and peers": {entries: 9, fault: func(g *group) { g.noTable[0] = true; g.cut = sides(1) }, serving: 8},
		"entries cut from each other":        {entries: 9, fault: func(g *group) { g.cut = func(int, int) bool { return true } }, serving: 9},
		"platform down, four cut from five":  {entries: 9, fault: func(g *group) { g.down = true; g.cut = sides(4) }, serving: 5},
		"platform down, halves of two":       {entries: 2, fault: func(g *group) { g.down = true; g.cut = sides(1) }, serving: 0},
		"platform down, all apart":           {entries: 3, fault: func(g *group) { g.down = true; g.cut = func(int, int) bool { return true } }, serving: 0},
		"sixty entries, platform down":       {entries: 60, fault: func(g *group) { g.down = true }, serving: 60},
		"sixty entries, twenty cut off entirely": {entries: 60, fault: func(g *group) {
			g.cut = sides(20)
			for i := range 20 {
				g.noTable[i] = true
			}
		}, serving: 40},
		"regions of thirty cut, one without the platform": {entries: 60, fault: region(sides(30), 0, 30), serving: 30},
		"region of twenty alone has the platform":         {entries: 60, fault: region(sides(20), 20, 60), serving: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(test.entries)
			require.Equal(t, test.entries, g.serving())
			g.run(5 * time.Second)
			test.fault(g)
			g.run(2600 * time.Millisecond) // ViewLimit and one step
			require.Equal(t, test.serving, g.serving())
			for range 20 {
				g.run(500 * time.Millisecond)
				require.Equal(t, test.serving, g.serving())
			}
		})
	}
}

// TestMayChange guards P8: where entries serve on without the table service, no others may put a change in force unless one of the
// former hears of it.
func TestMayChange(t *testing.T) {
	sides := func(size int) func(int, int) bool {
		return func(from, to int) bool { return (from < size) != (to < size) }
	}
	tests := map[string]struct {
		entries  int
		fault    func(g *group)
		changing int
	}{
		"no fault":                     {entries: 9, fault: func(*group) {}, changing: 9},
		"one entry":                    {entries: 1, fault: func(*group) {}, changing: 1},
		"platform is down for all":     {entries: 9, fault: func(g *group) { g.down = true }},
		"one entry loses the platform": {entries: 9, fault: func(g *group) { g.noTable[4] = true }, changing: 9},
		"four cut from five":           {entries: 9, fault: func(g *group) { g.cut = sides(4) }, changing: 5},
		"four cut, they alone reach the table": {entries: 9, fault: func(g *group) {
			g.cut = sides(4)
			for i := 4; i < 9; i++ {
				g.noTable[i] = true
			}
		}},
		"five cut, they alone reach the table": {entries: 9, fault: func(g *group) {
			g.cut = sides(4)
			for i := range 4 {
				g.noTable[i] = true
			}
		}, changing: 5},
		"all apart": {entries: 9, fault: func(g *group) { g.cut = func(int, int) bool { return true } }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(test.entries)
			g.run(5 * time.Second)
			test.fault(g)
			g.run(3 * time.Second)
			changing := 0
			for _, machine := range g.machines {
				if machine.MayChange(g.now) {
					changing++
				}
			}
			require.Equal(t, test.changing, changing)
		})
	}
}

// TestWoken guards against an entry that wakes from a freeze and takes the Hellos that waited for it as fresh (P6).
func TestWoken(t *testing.T) {
	g := newGroup(9)
	g.frozen[3] = true
	g.run(time.Minute)
	woken := g.machines[3]
	require.False(t, woken.MayServe(g.now))
	for _, waiting := range g.delayed {
		if g.now.Sub(waiting.made) > 3*time.Second {
			waiting.deliver(g.now)
		}
	}
	require.False(t, woken.MayServe(g.now), "old Hellos prove nothing")
	require.Empty(t, woken.Live(g.now))
	g.frozen[3] = false
	g.run(2 * time.Second)
	require.True(t, woken.MayServe(g.now))
}

// TestNewerView guards against a view that counts as fresh because a peer has read a newer head than this entry knows (P6, P8).
func TestNewerView(t *testing.T) {
	g := newGroup(2)
	g.noTable[1] = true
	g.machines[0].SetView(7, nil)
	g.run(3 * time.Second)
	require.True(t, g.machines[0].Fresh(g.now))
	require.False(t, g.machines[1].Fresh(g.now))
	g.machines[1].SetView(7, nil)
	require.True(t, g.machines[1].Fresh(g.now))
}

// TestAcknowledged guards against an instance that is stopped while an entry may still send it work or has work on it (P6, P7).
func TestAcknowledged(t *testing.T) {
	leave := func(g *group, except ...int) {
		for i, machine := range g.machines {
			machine.SetView(5, nil)
			for _, other := range except {
				if i == other {
					machine.self.View = 4
				}
			}
		}
	}
	tests := map[string]struct {
		fault func(g *group)
		after time.Duration
		want  bool
	}{
		"all know":                 {fault: func(g *group) { leave(g) }, after: 3 * time.Second, want: true},
		"one has an older view":    {fault: func(g *group) { leave(g, 2) }, after: time.Minute},
		"one is busy on it":        {fault: func(g *group) { leave(g); g.machines[2].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"one is busy on another":   {fault: func(g *group) { leave(g); g.machines[2].SetView(5, []acaciatally.InstanceID{"other"}) }, after: 3 * time.Second, want: true},
		"own entry is busy on it":  {fault: func(g *group) { leave(g); g.machines[0].SetView(5, []acaciatally.InstanceID{leavingInstance}) }, after: time.Minute},
		"silent one, at once":      {fault: func(g *group) { leave(g, 2); g.frozen[2] = true }, after: 4 * time.Second},
		"silent one, later":        {fault: func(g *group) { leave(g, 2); g.frozen[2] = true }, after: 10 * time.Second, want: true},
		"silent in the table only": {fault: func(g *group) { leave(g, 2); g.noTable[2] = true }, after: time.Minute},
		"most are silent":          {fault: func(g *group) { leave(g); freeze(g, 1, 2, 3, 4, 5) }, after: 20 * time.Second},
		"platform down":            {fault: func(g *group) { leave(g); g.down = true }, after: 10 * time.Second},
		"heard but not registered": {fault: func(g *group) { leave(g, 2); g.rows = append(g.rows[:2:2], g.rows[3:]...); g.noTable[2] = true }, after: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(9)
			test.fault(g)
			if name == "heard but not registered" {
				g.machines[0].Scanned(g.now, g.rows)
				require.False(t, g.machines[0].Acknowledged(g.now, leavingInstance, 5))
				return
			}
			g.run(test.after)
			require.Equal(t, test.want, g.machines[0].Acknowledged(g.now, leavingInstance, 5))
		})
	}
}

func freeze(g *group, indices ...int) {
	for _, i := range indices {
		g.frozen[i] = true
	}
}

// TestForget guards against rows of dead entries that count against the majority for ever, and rows deleted too early.
func TestForget(t *testing.T) {
	g := newGroup(9)
	g.frozen[8] = true
	g.run(20 * time.Second)
	require.Empty(t, g.machines[0].Forgettable(g.now))
	g.run(15 * time.Second)
	require.Empty(t, g.machines[1].Forgettable(g.now), "one entry deletes")
	forgettable := g.machines[0].Forgettable(g.now)
	require.Len(t, forgettable, 1)
	require.Equal(t, id(8), forgettable[0].Entry.ID)
}

// TestHints guards against hints that do not reach every entry in time, never end, or live for ever by being passed around (P6).
func TestHints(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newGroup(n)
			g.down = true
			g.machines[0].Hint(g.now, leavingInstance)
			g.run(map[bool]time.Duration{true: 1100 * time.Millisecond, false: 5 * time.Second}[n <= meshLimit])
			for _, machine := range g.machines {
				require.Equal(t, []acaciatally.InstanceID{leavingInstance}, machine.Leaving(g.now))
			}
			g.run(time.Minute)
			for _, machine := range g.machines {
				require.Empty(t, machine.Leaving(g.now))
			}
		})
	}
}

// TestPartners guards against entries that nobody says hello to, and against Hellos whose number grows with the entries.
func TestPartners(t *testing.T) {
	for _, n := range []int{3, 9, 12, 13, 60, 100} {
		g := newGroupWithout(n)
		total := 0
		reached := map[acaciatally.EntryID]bool{id(0): true}
		for range 6 {
			for _, machine := range g {
				if !reached[machine.self.ID] {
					continue
				}
				for _, partner := range machine.Partners() {
					reached[partner] = true
				}
			}
		}
		for _, machine := range g {
			total += len(machine.Partners())
		}
		require.Len(t, reached, n, "the Hellos connect all entries")
		if n > meshLimit {
			require.LessOrEqual(t, total, 2*picks*n)
		}
	}
}

func newGroupWithout(n int) (machines []*Machine) {
	var rows []Row
	for i := range n {
		rows = append(rows, Row{Entry: self(i), Version: 1})
	}
	for i := range n {
		machine := NewMachine(Rules{}, time.Unix(1000, 0), self(i), nil)
		machine.Scanned(time.Unix(1000, 0), rows)
		machines = append(machines, machine)
	}
	return machines
}

// TestReplaced guards against a process that goes on serving although another one has taken over its entry.
func TestReplaced(t *testing.T) {
	g := newGroup(3)
	g.machines[1].Replaced()
	require.False(t, g.machines[1].MayServe(g.now))
}
