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

// countingJournal counts the journal's calls by kind.
type countingJournal struct{ counts map[string]int }

func (j *countingJournal) count(kind string) { j.counts[kind]++ }

func (j *countingJournal) JobLoaded(acaciatally.JobID, acaciatally.QueueName, acaciatally.JobState) {
	j.count("JobTaken")
}

func (j *countingJournal) JobEnded(_ acaciatally.JobID, _ acaciatally.QueueName, state acaciatally.JobState) {
	j.count("JobEnded " + string(state))
}

func (j *countingJournal) RunPlanned(acaciatally.TaskRef, int, acaciatally.WorkerID, int) {
	j.count("RunPlanned")
}

func (j *countingJournal) RunDropped(_ acaciatally.TaskRef, _ int, _ acaciatally.WorkerID, reason string) {
	j.count("RunDropped " + reason)
}

func (j *countingJournal) RunOrdered(string, acaciatally.TaskRef, int, acaciatally.WorkerID, error) {}

func (j *countingJournal) RunEnded(acaciatally.EndedTask, acaciatally.WorkerID, bool) {
	j.count("RunEnded")
}

func (j *countingJournal) WorkerChanged(_ acaciatally.WorkerID, _ acaciatally.PoolName, state string, _ time.Duration) {
	j.count("WorkerChanged " + state)
}

func (j *countingJournal) RecordIgnored(acaciatally.RecordKey, uint64, error) {
	j.count("EntryIgnored")
}

func (j *countingJournal) Deposed(uint64) { j.count("Deposed") }

const testPool = acaciatally.PoolName("intake")

func newMachine() (*Scheduler, *countingJournal) {
	journal := &countingJournal{counts: map[string]int{}}
	m := New(Config{Epoch: 1, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, EventLog: journal})
	m.PartitionClaimed("quotes", 1)
	return m, journal
}

func testWorker(number int) acaciatally.Worker {
	return acaciatally.Worker{
		ID: acaciatally.WorkerID(fmt.Sprintf("i-%d", number)), Instance: acaciatally.InstanceID(fmt.Sprintf("m-%d", number)), Pool: testPool,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}), 80), StartTime: time.UnixMilli(1000),
		Capacity: acaciatally.ResourceVector{Processors: 8000, Memory: 1000}, Rack: "r-1", Labels: []string{"k", "r-1"},
	}
}

// reportIdle lists the workers in the directory at time 0 and reports each of them as idle.
func reportIdle(m *Scheduler, workers ...acaciatally.Worker) {
	m.SetDirectory(workers, 0)
	for _, w := range workers {
		m.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, 0, 0)
	}
}

func loadJob(m *Scheduler, id acaciatally.JobID, now time.Duration, steps ...acaciatally.Step) {
	accepted := job.Accepted{Spec: acaciatally.JobSpec{Steps: steps}, Queue: acaciatally.Queue{
		Name: "quotes", Pool: testPool, Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond,
	}}
	m.LoadJob(id, accepted, job.Progress{State: acaciatally.JobQueued}, 0, now)
}

func testStep(count, processors int) acaciatally.Step {
	return acaciatally.Step{Count: count, Resources: acaciatally.ResourceVector{Processors: processors, Memory: 10}, Estimate: time.Second}
}

// commitAll applies all commits that are due.
func commitAll(m *Scheduler, now time.Duration) {
	for _, commit := range m.Commits(now) {
		m.Committed(commit, 2, now)
	}
}

// startDue plans, records and starts what is due, and returns the start orders.
func startDue(m *Scheduler, now time.Duration) (orders []Order) {
	m.Plan(now, time.UnixMilli(0))
	commitAll(m, now)
	for _, order := range m.Orders(now) {
		if order.Kind == OrderStart {
			orders = append(orders, order)
			m.OrderResult(order, nil, now)
		}
	}
	return orders
}

// TestRunRecordedBeforeStart guards against a start order for a run that is not recorded, which a later leader could not find.
func TestRunRecordedBeforeStart(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1))
	loadJob(m, "aa", 0, testStep(2, 1000))
	m.Plan(0, time.UnixMilli(0))
	require.Empty(t, m.Orders(0), "the run is not recorded yet")
	commits := m.Commits(0)
	require.Len(t, commits, 1)
	require.Empty(t, m.Orders(0), "the commit is in flight")
	require.Empty(t, m.Commits(0), "at most one commit per partition is in flight")
	m.CommitFailed(commits[0], 0)
	require.Empty(t, m.Orders(0))
	commitAll(m, 0)
	require.Len(t, m.Orders(0), 2)
}

// TestEndRecordedBeforeAcknowledgement guards against acknowledging the end of a run before it is recorded: the worker would forget it.
func TestEndRecordedBeforeAcknowledgement(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1))
	loadJob(m, "aa", 0, testStep(1, 1000))
	orders := startDue(m, 0)
	require.Len(t, orders, 1)
	ended := acaciatally.EndedTask{Number: 1, Task: orders[0].Start.Task, Attempt: 1, End: acaciatally.EndDone}
	report := acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{ended}}
	m.Report("i-1", report, time.Second, time.Second)
	commits := m.Commits(time.Second)
	renewals := m.Renewals(2 * time.Second)
	require.Len(t, renewals, 1)
	require.Zero(t, renewals[0].Order.Acknowledged)
	m.Committed(commits[0], 3, time.Second)
	m.Report("i-1", report, 2*time.Second, 2*time.Second)
	require.EqualValues(t, 1, m.Renewals(3 * time.Second)[0].Order.Acknowledged)
}

// TestCapacity guards against exceeding a worker's processors, memory or limit of tasks per step.
func TestCapacity(t *testing.T) {
	tests := map[string]struct {
		step    acaciatally.Step
		workers int
		started int
	}{
		"processors":      {testStep(20, 3000), 2, 4},
		"memory":          {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1, Memory: 400}}, 2, 4},
		"per worker":      {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1}, PerWorker: 3}, 2, 6},
		"label":           {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1}, Label: "other"}, 2, 0},
		"whole gang":      {acaciatally.Step{Count: 4, Resources: acaciatally.ResourceVector{Processors: 3000}, Gang: true}, 2, 4},
		"incomplete gang": {acaciatally.Step{Count: 5, Resources: acaciatally.ResourceVector{Processors: 3000}, Gang: true}, 2, 0},
		"backfill":        {acaciatally.Step{Count: 3, Resources: acaciatally.ResourceVector{Processors: 9000, Memory: 300}, Backfill: true}, 1, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := newMachine()
			var workers []acaciatally.Worker
			for i := range test.workers {
				workers = append(workers, testWorker(i+1))
			}
			reportIdle(m, workers...)
			loadJob(m, "aa", 0, test.step)
			require.Len(t, startDue(m, 0), test.started)
		})
	}
}

// TestPlacementOrderUnderOverload guards against a backlog in which all jobs become late: jobs that can still be completed in time go
// first.
func TestPlacementOrderUnderOverload(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1))
	loadJob(m, "old", 0, testStep(1, 8000))
	loadJob(m, "new", 9*time.Second, testStep(1, 8000))
	m.Report("i-1", acaciatally.WorkerReport{Clock: 10 * time.Second, StartTime: time.UnixMilli(1000)}, 10*time.Second, 10*time.Second)
	orders := startDue(m, 10*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.JobID("new"), orders[0].Start.Task.Job)
}

// TestDrainingWorker guards against a start on a worker that drains, including one that begins to drain after the run is recorded.
func TestDrainingWorker(t *testing.T) {
	m, journal := newMachine()
	w := testWorker(1)
	reportIdle(m, w)
	loadJob(m, "aa", 0, testStep(1, 1000))
	m.Plan(0, time.UnixMilli(0))
	commitAll(m, 0)
	w.Draining = true
	m.SetDirectory([]acaciatally.Worker{w}, 0)
	require.Empty(t, m.Orders(0))
	require.Equal(t, 1, journal.counts["RunDropped worker is not schedulable"])
	require.Empty(t, startDue(m, time.Second))
}

// TestDisruptionBudget guards against stopping a second long-running task of a step while another one is unavailable.
func TestDisruptionBudget(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1), testWorker(2))
	step := testStep(2, 1000)
	step.LongRunning, step.PerWorker, step.DisruptionBudget, step.HasDisruptionBudget = true, 1, 1, true
	loadJob(m, "aa", 0, step)
	orders := startDue(m, 0)
	require.Len(t, orders, 2)
	for _, order := range orders {
		report := acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Running: []acaciatally.RunningTask{
			{Task: order.Start.Task, Attempt: 1, Percent: 100},
		}}
		m.Report(order.Worker.ID, report, time.Second, time.Second)
	}
	m.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance", "i-2": "maintenance"})
	m.Plan(2*time.Second, time.UnixMilli(0))
	stops := 0
	for _, order := range m.Orders(2 * time.Second) {
		if order.Kind == OrderStop {
			stops++
		}
	}
	require.Equal(t, 1, stops)
}

// TestUnconfirmedStart guards against placing a task elsewhere while a start order without answer may still take effect.
func TestUnconfirmedStart(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1), testWorker(2))
	loadJob(m, "aa", 0, testStep(1, 1000))
	now := time.Duration(0)
	m.Plan(now, time.UnixMilli(0))
	commitAll(m, now)
	for range maxStartAttempts {
		for _, order := range m.Orders(now) {
			require.Equal(t, OrderStart, order.Kind)
			m.OrderResult(order, acaciatally.ErrUnknownOutcome, now)
		}
		now += orderRetry
	}
	orders := m.Orders(now)
	require.Len(t, orders, 1)
	require.Equal(t, OrderStop, orders[0].Kind)
	m.Plan(now, time.UnixMilli(0))
	require.Empty(t, m.Commits(now), "the task is not placed again")
	m.OrderResult(orders[0], nil, now)
	m.Report(orders[0].Worker.ID, acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}, now+1, now+1)
	m.Plan(now+2, time.UnixMilli(0))
	require.NotEmpty(t, m.Commits(now+2), "the confirmed stop prevents a late start")
}

// TestScheduledJob guards against starting an occurrence before its scheduled time.
func TestScheduledJob(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1))
	first := time.UnixMilli(100_000)
	m.LoadJob("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}, Repeat: 2, FirstAt: first, Interval: time.Second},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	m.Plan(0, first.Add(-time.Millisecond))
	require.Empty(t, m.Commits(0))
	m.Plan(time.Second, first)
	commitAll(m, time.Second)
	require.Len(t, m.Orders(time.Second), 1)
	m.Plan(2*time.Second, first.Add(time.Second))
	commitAll(m, 2*time.Second)
	require.Len(t, m.Orders(2*time.Second), 1)
}

// TestRetryAvoidsFailedWorker guards against using up the last attempt on the worker where the first one failed, while the others are only
// busy.
func TestRetryAvoidsFailedWorker(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1), testWorker(2))
	loadJob(m, "aa", 0, testStep(1, 8000))
	first := startDue(m, 0)
	require.Len(t, first, 1)
	loadJob(m, "bb", 0, testStep(1, 8000))
	require.Len(t, startDue(m, time.Millisecond), 1)
	m.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	require.Empty(t, startDue(m, time.Second), "the other worker is busy")
}

// TestSameIDInTwoQueues guards against an accepted job that never runs because a job of another queue has the same ID.
func TestSameIDInTwoQueues(t *testing.T) {
	m, _ := newMachine()
	m.PartitionClaimed("plans", 1)
	reportIdle(m, testWorker(1))
	loadJob(m, "aa", 0, testStep(1, 1000))
	m.LoadJob("aa", job.Accepted{
		Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}}, Queue: acaciatally.Queue{Name: "plans", Pool: testPool},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	orders := startDue(m, 0)
	require.Len(t, orders, 1)
	m.Report("i-1", acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: orders[0].Start.Task, Attempt: 1, End: acaciatally.EndDone},
	}}, time.Second, time.Second)
	commitAll(m, time.Second)
	require.Len(t, startDue(m, time.Second), 1)
}

// TestFailedLongRunningTask guards against avoiding the worker after a long-running task fails there, which may happen at any time: it may
// be the only worker that can take the task.
func TestFailedLongRunningTask(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1), testWorker(2))
	step := testStep(2, 1000)
	step.LongRunning, step.PerWorker = true, 1
	loadJob(m, "aa", 0, step)
	first := startDue(m, 0)
	require.Len(t, first, 2)
	m.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	again := startDue(m, time.Second)
	require.Len(t, again, 1)
	require.Equal(t, first[0].Worker.ID, again[0].Worker.ID)
}

// TestLongRunningAvoidsWorkersToDrain guards against moving long-running tasks repeatedly, because they are placed on workers that are
// drained next.
func TestLongRunningAvoidsWorkersToDrain(t *testing.T) {
	m, _ := newMachine()
	reportIdle(m, testWorker(1), testWorker(2), testWorker(3))
	m.SetWorkersToDrainSoon(map[acaciatally.WorkerID]bool{"i-1": true, "i-2": true})
	step := testStep(4, 1000)
	step.LongRunning = true
	loadJob(m, "a", 0, step)
	m.Plan(time.Second, time.Time{})
	for _, id := range []acaciatally.WorkerID{"i-1", "i-2"} {
		require.Empty(t, m.workers[id].runs)
	}
}

// TestFullTransactions guards against planned runs that wait behind less urgent changes to be recorded. A transaction is filled up to the
// store's limit, with planned runs first.
func TestFullTransactions(t *testing.T) {
	const jobs = 200
	m, _ := newMachine()
	reportIdle(m, testWorker(1))
	for i := range jobs {
		loadJob(m, acaciatally.JobID(fmt.Sprintf("%03d", i)), 0, testStep(1, 8000))
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
	require.Len(t, m.Orders(0), 1, "the planned run is in the first transaction")
}
