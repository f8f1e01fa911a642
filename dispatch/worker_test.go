package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestRebornWorker guards against a run that is started elsewhere while it goes on in the worker's new life, where its order has arrived,
// and against one that ended with the earlier life and is waited for.
func TestRebornWorker(t *testing.T) {
	reborn := workerOf(1)
	reborn.Born = reborn.Born.Add(time.Second)
	tests := map[string]struct {
		directory bool // tells of the new life before the worker reports
		running   bool // in the new life
	}{
		"runs": {false, true}, "ended": {false, false}, "runs, directory first": {true, true}, "ended, directory first": {true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := newMachine()
			ready(m, workerOf(1), workerOf(2))
			submit(m, "aa", 0, oneStep(1, 1000))
			order := started(m, time.Second)[0]
			other := workerOf(2)
			if order.Worker.ID == other.ID {
				other = workerOf(1)
			}
			again := order.Worker
			again.Born = reborn.Born
			now := time.Second + 50*time.Millisecond
			if test.directory {
				m.SetDirectory([]acaciatally.Worker{again, other}, now)
				require.Empty(t, started(m, now), "the run may go on")
			}
			report := acaciatally.WorkerReport{Clock: time.Second, Born: again.Born}
			if test.running {
				report.Running = []acaciatally.RunningTask{{Task: order.Start.Task, Attempt: 1, Percent: 10}}
			}
			m.Report(again.ID, report, now, now)
			require.Equal(t, test.running, len(started(m, now)) == 0)
		})
	}
}

// TestEarlierLife guards against a report that was on its way while its worker started again.
func TestEarlierLife(t *testing.T) {
	m, _ := newMachine()
	old, again := workerOf(1), workerOf(1)
	again.Born = old.Born.Add(time.Second)
	ready(m, old)
	m.SetDirectory([]acaciatally.Worker{again}, time.Second)
	m.Report(old.ID, acaciatally.WorkerReport{Clock: time.Hour, Born: old.Born}, time.Second, time.Second)
	require.False(t, m.workers[old.ID].known)
}

// TestAcknowledgedInOneLife guards against a worker that has started again, counts its ends anew, and is told to forget those that nobody has
// seen: the number of an earlier life is sent only while the worker lists the ends that it is about.
func TestAcknowledgedInOneLife(t *testing.T) {
	none := acaciatally.WorkerReport{Clock: 3 * time.Second, Born: time.UnixMilli(1000)}
	tests := map[string]func(m *Machine){
		"nothing is listed any more": func(m *Machine) { m.Report("i-1", none, 3*time.Second, 3*time.Second) },
		"no answer":                  func(m *Machine) { m.RenewalFailed("i-1", acaciatally.ErrNoAnswer, 3*time.Second) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := newMachine()
			ready(m, workerOf(1))
			submit(m, "aa", 0, oneStep(1, 1000))
			order := started(m, 0)[0]
			m.Report("i-1", acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
				{Number: 7, Task: order.Start.Task, Attempt: 1, End: acaciatally.EndDone},
			}}, time.Second, time.Second)
			record(m, time.Second)
			require.EqualValues(t, 7, m.Renewals(2 * time.Second)[0].Order.Acknowledged)
			change(m)
			require.Zero(t, m.Renewals(4 * time.Second)[0].Order.Acknowledged)
		})
	}
}

// TestSupersededWorker guards against a worker that is taken for alive and given up again at each change of the directory, which cost
// a line and a renewal each time.
func TestSupersededWorker(t *testing.T) {
	m, journal := newMachine()
	older, younger := workerOf(1), workerOf(2)
	younger.Instance, younger.Born = older.Instance, older.Born.Add(time.Second)
	for i := range 20 {
		m.SetDirectory([]acaciatally.Worker{older, younger}, time.Duration(i)*time.Second)
	}
	require.Equal(t, 1, journal.counts["WorkerChanged a younger worker runs on its instance"])
	renewals := m.Renewals(time.Minute)
	require.Len(t, renewals, 1)
	require.Equal(t, younger.ID, renewals[0].Worker.ID)
}
