package membership

import (
	"fmt"
	"time"

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

// splitAt drops the Hellos between the entries below an index and those from it on.
func splitAt(index int) (dropped func(from, to int) bool) {
	return func(from, to int) bool { return (from < index) != (to < index) }
}

func freeze(s *simulation, indices ...int) {
	for _, i := range indices {
		s.frozen[i] = true
	}
}
