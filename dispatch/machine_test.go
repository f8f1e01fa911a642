package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// lines counts the journal's lines by kind.
type lines struct{ counts map[string]int }

func (l *lines) note(kind string) { l.counts[kind]++ }

func (l *lines) JobTaken(acaciatally.JobID, acaciatally.QueueName, acaciatally.JobState) {
	l.note("JobTaken")
}

func (l *lines) JobEnded(_ acaciatally.JobID, _ acaciatally.QueueName, state acaciatally.JobState) {
	l.note("JobEnded " + string(state))
}

func (l *lines) RunPlanned(acaciatally.TaskRef, int, acaciatally.WorkerID, int) { l.note("RunPlanned") }

func (l *lines) RunDropped(_ acaciatally.TaskRef, _ int, _ acaciatally.WorkerID, reason string) {
	l.note("RunDropped " + reason)
}

func (l *lines) RunOrdered(string, acaciatally.TaskRef, int, acaciatally.WorkerID, error) {}

func (l *lines) RunEnded(acaciatally.EndedTask, acaciatally.WorkerID, bool) { l.note("RunEnded") }

func (l *lines) WorkerChanged(_ acaciatally.WorkerID, _ acaciatally.PoolName, belief string, _ time.Duration) {
	l.note("WorkerChanged " + belief)
}

func (l *lines) EntryIgnored(acaciatally.RecordKey, uint64, error) { l.note("EntryIgnored") }

func (l *lines) Deposed(uint64) { l.note("Deposed") }

const pool = acaciatally.PoolName("intake")

func newMachine() (*Machine, *lines) {
	journal := &lines{counts: map[string]int{}}
	m := New(Config{Epoch: 1, WorkerLease: 6 * time.Second, LongestLease: 10 * time.Second, Retention: time.Minute, Journal: journal})
	m.Claimed("quotes", 1)
	return m, journal
}

func workerOf(number int) acaciatally.Worker {
	return acaciatally.Worker{
		ID: acaciatally.WorkerID(fmt.Sprintf("i-%d", number)), Instance: acaciatally.InstanceID(fmt.Sprintf("m-%d", number)), Pool: pool,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}), 80), Born: time.UnixMilli(1000),
		Capacity: acaciatally.Room{Processors: 8000, Memory: 1000}, Rack: "r-1", Labels: []string{"k", "r-1"},
	}
}

// ready lists the workers at the beginning and has each report that nothing runs.
func ready(m *Machine, workers ...acaciatally.Worker) {
	m.SetDirectory(workers, 0)
	for _, w := range workers {
		m.Report(w.ID, acaciatally.WorkerReport{Born: w.Born}, 0, 0)
	}
}

func submit(m *Machine, id acaciatally.JobID, now time.Duration, steps ...acaciatally.Step) {
	accepted := job.Accepted{Spec: acaciatally.JobSpec{Steps: steps}, Queue: acaciatally.Queue{
		Name: "quotes", Pool: pool, Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond,
	}}
	m.Load(id, accepted, job.Progress{State: acaciatally.JobQueued}, 0, now)
}

func oneStep(count, processors int) acaciatally.Step {
	return acaciatally.Step{Count: count, Room: acaciatally.Room{Processors: processors, Memory: 10}, Estimate: time.Second}
}

// record applies all commits that are due.
func record(m *Machine, now time.Duration) {
	for _, commit := range m.Commits(now) {
		m.Committed(commit, 2, now)
	}
}

// started plans, records and starts what is due, and returns the start orders.
func started(m *Machine, now time.Duration) (orders []Order) {
	m.Plan(now, time.UnixMilli(0))
	record(m, now)
	for _, order := range m.Orders(now) {
		if order.Kind == OrderStart {
			orders = append(orders, order)
			m.Ordered(order, nil, now)
		}
	}
	return orders
}

// TestRunIsRecordedFirst guards against a start that a later leader can't know of.
func TestRunIsRecordedFirst(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	submit(m, "aa", 0, oneStep(2, 1000))
	m.Plan(0, time.UnixMilli(0))
	require.Empty(t, m.Orders(0), "nothing is recorded yet")
	commits := m.Commits(0)
	require.Len(t, commits, 1)
	require.Empty(t, m.Orders(0), "the commit is on its way")
	require.Empty(t, m.Commits(0), "one commit of a partition at a time")
	m.CommitFailed(commits[0], 0)
	require.Empty(t, m.Orders(0))
	record(m, 0)
	require.Len(t, m.Orders(0), 2)
}

// TestEndIsRecordedFirst guards against a worker that forgets an end which no record holds.
func TestEndIsRecordedFirst(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	submit(m, "aa", 0, oneStep(1, 1000))
	orders := started(m, 0)
	require.Len(t, orders, 1)
	ended := acaciatally.EndedTask{Number: 1, Task: orders[0].Start.Task, Attempt: 1, End: acaciatally.EndDone}
	report := acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{ended}}
	m.Report("i-1", report, time.Second, time.Second)
	commits := m.Commits(time.Second)
	renewals := m.Renewals(2 * time.Second)
	require.Len(t, renewals, 1)
	require.Zero(t, renewals[0].Order.Acknowledged)
	m.Committed(commits[0], 3, time.Second)
	m.Report("i-1", report, 2*time.Second, 2*time.Second)
	require.EqualValues(t, 1, m.Renewals(3 * time.Second)[0].Order.Acknowledged)
}

// TestCapacity guards against more on a worker than it holds, in all of processors, memory and bounds by step.
func TestCapacity(t *testing.T) {
	tests := map[string]struct {
		step    acaciatally.Step
		workers int
		started int
	}{
		"processors": {oneStep(20, 3000), 2, 4},
		"memory":     {acaciatally.Step{Count: 20, Room: acaciatally.Room{Processors: 1, Memory: 400}}, 2, 4},
		"per worker": {acaciatally.Step{Count: 20, Room: acaciatally.Room{Processors: 1}, PerWorker: 3}, 2, 6},
		"label":      {acaciatally.Step{Count: 20, Room: acaciatally.Room{Processors: 1}, Label: "other"}, 2, 0},
		"whole gang": {acaciatally.Step{Count: 4, Room: acaciatally.Room{Processors: 3000}, Gang: true}, 2, 4},
		"no gang":    {acaciatally.Step{Count: 5, Room: acaciatally.Room{Processors: 3000}, Gang: true}, 2, 0},
		"backfill":   {acaciatally.Step{Count: 3, Room: acaciatally.Room{Processors: 9000, Memory: 300}, Backfill: true}, 1, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := newMachine()
			var workers []acaciatally.Worker
			for i := range test.workers {
				workers = append(workers, workerOf(i+1))
			}
			ready(m, workers...)
			submit(m, "aa", 0, test.step)
			require.Len(t, started(m, 0), test.started)
		})
	}
}

// TestOrderUnderOverload guards against a backlog in which all jobs become late together: what can still be in time goes first.
func TestOrderUnderOverload(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	submit(m, "old", 0, oneStep(1, 8000))
	submit(m, "new", 9*time.Second, oneStep(1, 8000))
	m.Report("i-1", acaciatally.WorkerReport{Clock: 10 * time.Second, Born: time.UnixMilli(1000)}, 10*time.Second, 10*time.Second)
	orders := started(m, 10*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.JobID("new"), orders[0].Start.Task.Job)
}

// TestDrainingWorker guards against a start on a worker that has said that it leaves, also between the record and the order.
func TestDrainingWorker(t *testing.T) {
	m, journal := newMachine()
	w := workerOf(1)
	ready(m, w)
	submit(m, "aa", 0, oneStep(1, 1000))
	m.Plan(0, time.UnixMilli(0))
	record(m, 0)
	w.Draining = true
	m.SetDirectory([]acaciatally.Worker{w}, 0)
	require.Empty(t, m.Orders(0))
	require.Equal(t, 1, journal.counts["RunDropped the worker may get no new runs"])
	require.Empty(t, started(m, time.Second))
}

// TestDisruptionBudget guards against a second lasting task of a step that is stopped while one is away.
func TestDisruptionBudget(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2))
	step := oneStep(2, 1000)
	step.Lasting, step.PerWorker, step.MayMiss, step.HasMayMiss = true, 1, 1, true
	submit(m, "aa", 0, step)
	orders := started(m, 0)
	require.Len(t, orders, 2)
	for _, order := range orders {
		report := acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Running: []acaciatally.RunningTask{
			{Task: order.Start.Task, Attempt: 1, Percent: 100},
		}}
		m.Report(order.Worker.ID, report, time.Second, time.Second)
	}
	m.Withhold(map[acaciatally.WorkerID]string{"i-1": "maintenance", "i-2": "maintenance"})
	m.Plan(2*time.Second, time.UnixMilli(0))
	stops := 0
	for _, order := range m.Orders(2 * time.Second) {
		if order.Kind == OrderStop {
			stops++
		}
	}
	require.Equal(t, 1, stops)
}

// TestUnconfirmedStart guards against a task that is placed elsewhere while its start may still be carried out.
func TestUnconfirmedStart(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2))
	submit(m, "aa", 0, oneStep(1, 1000))
	now := time.Duration(0)
	m.Plan(now, time.UnixMilli(0))
	record(m, now)
	for range startTries {
		for _, order := range m.Orders(now) {
			require.Equal(t, OrderStart, order.Kind)
			m.Ordered(order, acaciatally.ErrNoAnswer, now)
		}
		now += orderRetry
	}
	orders := m.Orders(now)
	require.Len(t, orders, 1)
	require.Equal(t, OrderStop, orders[0].Kind)
	m.Plan(now, time.UnixMilli(0))
	require.Empty(t, m.Commits(now), "it is not placed again")
	m.Ordered(orders[0], nil, now)
	m.Report(orders[0].Worker.ID, acaciatally.WorkerReport{Clock: now, Born: time.UnixMilli(1000)}, now+1, now+1)
	m.Plan(now+2, time.UnixMilli(0))
	require.NotEmpty(t, m.Commits(now+2), "the stop keeps the start away for good")
}

// TestScheduledJob guards against an occurrence that starts before its time.
func TestScheduledJob(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	first := time.UnixMilli(100_000)
	m.Load("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{oneStep(1, 1000)}, Repeat: 2, FirstAt: first, Interval: time.Second},
		Queue: acaciatally.Queue{Name: "quotes", Pool: pool},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	m.Plan(0, first.Add(-time.Millisecond))
	require.Empty(t, m.Commits(0))
	m.Plan(time.Second, first)
	record(m, time.Second)
	require.Len(t, m.Orders(time.Second), 1)
	m.Plan(2*time.Second, first.Add(time.Second))
	record(m, 2*time.Second)
	require.Len(t, m.Orders(2*time.Second), 1)
}

// TestFailedRunMoves guards against a second and last attempt on the worker on which the first one failed, while others are only busy.
func TestFailedRunMoves(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2))
	submit(m, "aa", 0, oneStep(1, 8000))
	first := started(m, 0)
	require.Len(t, first, 1)
	submit(m, "bb", 0, oneStep(1, 8000))
	require.Len(t, started(m, time.Millisecond), 1)
	m.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	require.Empty(t, started(m, time.Second), "the other worker is busy")
}

// TestSameIDInTwoQueues guards against an accepted job that never runs because another queue's job has its id.
func TestSameIDInTwoQueues(t *testing.T) {
	m, _ := newMachine()
	m.Claimed("plans", 1)
	ready(m, workerOf(1))
	submit(m, "aa", 0, oneStep(1, 1000))
	m.Load("aa", job.Accepted{
		Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{oneStep(1, 1000)}}, Queue: acaciatally.Queue{Name: "plans", Pool: pool},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	orders := started(m, 0)
	require.Len(t, orders, 1)
	m.Report("i-1", acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: orders[0].Start.Task, Attempt: 1, End: acaciatally.EndDone},
	}}, time.Second, time.Second)
	record(m, time.Second)
	require.Len(t, started(m, time.Second), 1)
}

// TestFailedLastingTask guards against a lasting task that fails, which it may at any time, and waits for another worker although only
// the one on which it ran may take it.
func TestFailedLastingTask(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2))
	step := oneStep(2, 1000)
	step.Lasting, step.PerWorker = true, 1
	submit(m, "aa", 0, step)
	first := started(m, 0)
	require.Len(t, first, 2)
	m.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	again := started(m, time.Second)
	require.Len(t, again, 1)
	require.Equal(t, first[0].Worker.ID, again[0].Worker.ID)
}

// TestLastingAvoidsDue guards against lasting work that is moved again and again, to workers that have to be emptied next.
func TestLastingAvoidsDue(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2), workerOf(3))
	m.SetDue(map[acaciatally.WorkerID]bool{"i-1": true, "i-2": true})
	step := oneStep(4, 1000)
	step.Lasting = true
	submit(m, "a", 0, step)
	m.Plan(time.Second, time.Time{})
	for _, id := range []acaciatally.WorkerID{"i-1", "i-2"} {
		require.Empty(t, m.workers[id].runs)
	}
}

// TestFullTransactions guards against runs that wait for their record behind changes that nobody waits for: a transaction takes as much as
// the store allows, and what has to start first.
func TestFullTransactions(t *testing.T) {
	const jobs = 200
	m, _ := newMachine()
	ready(m, workerOf(1))
	for i := range jobs {
		submit(m, acaciatally.JobID(fmt.Sprintf("%03d", i)), 0, oneStep(1, 8000))
	}
	for _, j := range m.jobs {
		j.dirty = true
	}
	m.Plan(0, time.UnixMilli(0))
	commits := m.Commits(0)
	require.Len(t, commits, 1)
	entries := len(commits[0].Transaction.Writes) + len(commits[0].Transaction.Deletes)
	require.LessOrEqual(t, entries, 100)
	require.Greater(t, entries, 80)
	m.Committed(commits[0], 2, 0)
	require.Len(t, m.Orders(0), 1, "the planned run was in the first transaction")
}
