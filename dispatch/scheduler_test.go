package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/job"
)

// countingEventLog counts the events by kind.
type countingEventLog struct{ counts map[string]int }

func (c *countingEventLog) count(kind string) { c.counts[kind]++ }

func (c *countingEventLog) JobLoaded(acaciatally.JobID, acaciatally.QueueName, acaciatally.JobState) {
	c.count("JobLoaded")
}

func (c *countingEventLog) JobEnded(_ acaciatally.JobID, _ acaciatally.QueueName, state acaciatally.JobState) {
	c.count("JobEnded " + string(state))
}

func (c *countingEventLog) RunPlanned(acaciatally.TaskRef, int, acaciatally.WorkerID, int) {
	c.count("RunPlanned")
}

func (c *countingEventLog) RunDropped(_ acaciatally.TaskRef, _ int, _ acaciatally.WorkerID, reason string) {
	c.count("RunDropped " + reason)
}

func (c *countingEventLog) RunOrdered(string, acaciatally.TaskRef, int, acaciatally.WorkerID, error) {
}

func (c *countingEventLog) CrashCounted(acaciatally.TaskRef, int, int, int, int, int) {
	c.count("CrashCounted")
}

func (c *countingEventLog) CallCrossedRestart(_ acaciatally.WorkerID, call CallKind, _, _ time.Duration) {
	c.count("CallCrossedRestart " + string(call))
}

func (c *countingEventLog) LeaseExpired(_ acaciatally.WorkerID, basis LeaseBasis, _ time.Duration) {
	c.count("LeaseExpired " + string(basis))
}

func (c *countingEventLog) AccountLimited(account acaciatally.AccountName, _ AccountShare, _ time.Duration) {
	c.count("AccountLimited " + string(account))
}

func (c *countingEventLog) StartsHeld(int, StartWindowState) { c.count("StartsHeld") }

func (c *countingEventLog) RunEnded(acaciatally.EndedTask, acaciatally.WorkerID, bool) {
	c.count("RunEnded")
}

func (c *countingEventLog) WorkerChanged(_ acaciatally.WorkerID, _ acaciatally.PoolName, state string, _ time.Duration) {
	c.count("WorkerChanged " + state)
}

func (c *countingEventLog) AccountAtMaximum(acaciatally.AccountName, acaciatally.ResourceVector, acaciatally.ResourceVector) {
	c.count("AccountAtMaximum")
}

func (c *countingEventLog) AccountUsage(map[acaciatally.AccountName]AccountUsage) {
	c.count("AccountUsage")
}

func (c *countingEventLog) SlowWorkers(int) { c.count("SlowWorkers") }

func (c *countingEventLog) EndsUnacknowledged(acaciatally.WorkerID, int, time.Duration) {
	c.count("EndsUnacknowledged")
}

func (c *countingEventLog) CommitFailed(acaciatally.QueueName, int, int, error) {
	c.count("CommitFailed")
}

func (*countingEventLog) BacklogFull(acaciatally.QueueName, bool, int64) {}

func (c *countingEventLog) RecordIgnored(acaciatally.RecordKey, uint64, error) {
	c.count("RecordIgnored")
}

func (c *countingEventLog) InterferenceChanged(change interference.Change) {
	c.count(fmt.Sprintf("InterferenceChanged %s %s %t", change.Victim, change.Aggressor, change.Found))
}

func (c *countingEventLog) InterferenceMeasured(InterferenceStats) { c.count("InterferenceMeasured") }

func (c *countingEventLog) LeadershipLost(uint64) { c.count("LeadershipLost") }

const testPool = acaciatally.PoolName("intake")

func newScheduler() (*Scheduler, *countingEventLog) {
	eventLog := &countingEventLog{counts: map[string]int{}}
	scheduler := New(Config{Epoch: 1, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, EventLog: eventLog})
	scheduler.PartitionClaimed("quotes", 1)
	return scheduler, eventLog
}

func testWorker(number int) acaciatally.Worker {
	return acaciatally.Worker{
		ID: acaciatally.WorkerID(fmt.Sprintf("i-%d", number)), Instance: acaciatally.InstanceID(fmt.Sprintf("m-%d", number)), Pool: testPool,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}), 80), StartTime: time.UnixMilli(1000),
		Capacity: acaciatally.ResourceVector{Processors: 8000, Memory: 1000}, Rack: "r-1", Labels: []string{"k", "r-1"},
	}
}

// reportIdle lists the workers in the directory at time 0 and reports each of them as idle.
func reportIdle(scheduler *Scheduler, workers ...acaciatally.Worker) {
	scheduler.SetDirectory(workers, 0)
	for _, w := range workers {
		scheduler.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, 0, 0)
	}
}

func loadJob(scheduler *Scheduler, id acaciatally.JobID, now time.Duration, steps ...acaciatally.Step) {
	accepted := job.Accepted{Spec: acaciatally.JobSpec{Steps: steps}, Queue: acaciatally.Queue{
		Name: "quotes", Pool: testPool, Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond,
	}}
	scheduler.LoadJob(id, accepted, job.Progress{State: acaciatally.JobQueued}, 0, now)
}

func testStep(count, processors int) acaciatally.Step {
	return acaciatally.Step{Count: count, Resources: acaciatally.ResourceVector{Processors: processors, Memory: 10}, Estimate: time.Second}
}

// commitAll applies all commits that are due.
func commitAll(scheduler *Scheduler, now time.Duration) {
	for _, commit := range scheduler.Commits(now) {
		scheduler.Committed(commit, 2, now)
	}
}

// startDue plans, records and starts what is due, and returns the start orders.
func startDue(scheduler *Scheduler, now time.Duration) (orders []Order) {
	scheduler.Plan(now, time.UnixMilli(0))
	commitAll(scheduler, now)
	for _, order := range scheduler.Orders(now) {
		if order.Kind == OrderStart {
			orders = append(orders, order)
			scheduler.OrderResult(order, nil, now)
		}
	}
	return orders
}

// TestPlacementOrderUnderOverload guards against a backlog in which all jobs become late: jobs that can still be completed in time go
// first.
func TestPlacementOrderUnderOverload(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	loadJob(scheduler, "old", 0, testStep(1, 8000))
	loadJob(scheduler, "new", 9*time.Second, testStep(1, 8000))
	scheduler.Report("i-1", acaciatally.WorkerReport{Clock: 10 * time.Second, StartTime: time.UnixMilli(1000)}, 10*time.Second, 10*time.Second)
	orders := startDue(scheduler, 10*time.Second)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.JobID("new"), orders[0].Start.Task.Job)
}

// TestDrainingWorker guards against a start on a worker that drains, including one that begins to drain after the run is recorded.
func TestDrainingWorker(t *testing.T) {
	scheduler, eventLog := newScheduler()
	w := testWorker(1)
	reportIdle(scheduler, w)
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	scheduler.Plan(0, time.UnixMilli(0))
	commitAll(scheduler, 0)
	w.Draining = true
	scheduler.SetDirectory([]acaciatally.Worker{w}, 0)
	require.Empty(t, scheduler.Orders(0))
	require.Equal(t, 1, eventLog.counts["RunDropped worker is not schedulable"])
	require.Empty(t, startDue(scheduler, time.Second))
}

// TestDisruptionBudget guards against stopping a second long-running task of a step while another one is unavailable.
func TestDisruptionBudget(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	step := testStep(2, 1000)
	step.LongRunning, step.PerWorker, step.DisruptionBudget, step.HasDisruptionBudget = true, 1, 1, true
	loadJob(scheduler, "aa", 0, step)
	orders := startDue(scheduler, 0)
	require.Len(t, orders, 2)
	for _, order := range orders {
		report := acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Running: []acaciatally.RunningTask{
			{Task: order.Start.Task, Attempt: 1, Percent: 100},
		}}
		scheduler.Report(order.Worker.ID, report, time.Second, time.Second)
	}
	scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance", "i-2": "maintenance"})
	scheduler.Plan(2*time.Second, time.UnixMilli(0))
	stops := 0
	for _, order := range scheduler.Orders(2 * time.Second) {
		if order.Kind == OrderStop {
			stops++
		}
	}
	require.Equal(t, 1, stops)
}

// TestUnconfirmedStart guards against placing a task elsewhere while a start order without answer may still take effect.
func TestUnconfirmedStart(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	now := time.Duration(0)
	scheduler.Plan(now, time.UnixMilli(0))
	commitAll(scheduler, now)
	for range maxStartAttempts {
		for _, order := range scheduler.Orders(now) {
			require.Equal(t, OrderStart, order.Kind)
			scheduler.OrderResult(order, acaciatally.ErrUnknownOutcome, now)
		}
		now += orderRetry
	}
	orders := scheduler.Orders(now)
	require.Len(t, orders, 1)
	require.Equal(t, OrderStop, orders[0].Kind)
	scheduler.Plan(now, time.UnixMilli(0))
	require.Empty(t, scheduler.Commits(now), "the task is not placed again")
	scheduler.OrderResult(orders[0], nil, now)
	scheduler.Report(orders[0].Worker.ID, acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}, now+1, now+1)
	scheduler.Plan(now+2, time.UnixMilli(0))
	require.NotEmpty(t, scheduler.Commits(now+2), "the confirmed stop prevents a late start")
}

// TestRetryAvoidsFailedWorker guards against using up the last attempt on the worker where the first one failed, while the others are only
// busy.
func TestRetryAvoidsFailedWorker(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	loadJob(scheduler, "aa", 0, testStep(1, 8000))
	first := startDue(scheduler, 0)
	require.Len(t, first, 1)
	loadJob(scheduler, "bb", 0, testStep(1, 8000))
	require.Len(t, startDue(scheduler, time.Millisecond), 1)
	scheduler.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	require.Empty(t, startDue(scheduler, time.Second), "the other worker is busy")
}

// TestRetryOnOnlyWorker guards against a task that waits although its worker has room, because it has failed there and no other worker may take it.
func TestRetryOnOnlyWorker(t *testing.T) {
	const label = "first"
	tests := map[string]struct {
		labelled, small, limited bool // the step needs the label; the second worker is small; the second worker has as many tasks of the step as it may
		restarted                int
	}{
		"label":                  {labelled: true, restarted: 1},
		"other is too small":     {small: true, restarted: 1},
		"other is at the limit":  {limited: true, restarted: 1},
		"other may take it once": {restarted: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			first, second := testWorker(1), testWorker(2)
			first.Labels = append(first.Labels, label)
			if test.small {
				second.Capacity.Processors = 1000
			}
			reportIdle(scheduler, first, second)
			step := testStep(1, 5000)
			if test.limited {
				step.Count, step.PerWorker = 2, 1
			}
			if test.labelled {
				step.Label = label
			}
			loadJob(scheduler, "aa", 0, step)
			orders := startDue(scheduler, 0)
			require.Len(t, orders, step.Count)
			failed := slices.IndexFunc(orders, func(order Order) bool { return order.Worker.ID == first.ID })
			require.GreaterOrEqual(t, failed, 0)
			loadJob(scheduler, "bb", 0, testStep(1, second.Capacity.Processors)) // fills the second worker if it is empty
			_ = startDue(scheduler, time.Millisecond)
			scheduler.Report(first.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: first.StartTime, Ended: []acaciatally.EndedTask{
				{Number: 1, Task: orders[failed].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
			}}, time.Second, time.Second)
			restarted := slices.DeleteFunc(startDue(scheduler, time.Second), func(order Order) bool { return order.Start.Task.Job != "aa" })
			require.Len(t, restarted, test.restarted)
		})
	}
}

// TestFailedLongRunningTask guards against avoiding the worker after a long-running task fails there, which may happen at any time: it may
// be the only worker that can take the task.
func TestFailedLongRunningTask(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	step := testStep(2, 1000)
	step.LongRunning, step.PerWorker = true, 1
	loadJob(scheduler, "aa", 0, step)
	first := startDue(scheduler, 0)
	require.Len(t, first, 2)
	scheduler.Report(first[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: 1, End: acaciatally.EndFailed},
	}}, time.Second, time.Second)
	again := startDue(scheduler, time.Second)
	require.Len(t, again, 1)
	require.Equal(t, first[0].Worker.ID, again[0].Worker.ID)
}

// TestLongRunningAvoidsWorkersToDrain guards against moving long-running tasks repeatedly, because they are placed on workers that are
// drained next.
func TestLongRunningAvoidsWorkersToDrain(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
	scheduler.SetWorkersToDrainSoon(map[acaciatally.WorkerID]bool{"i-1": true, "i-2": true})
	step := testStep(4, 1000)
	step.LongRunning = true
	loadJob(scheduler, "a", 0, step)
	scheduler.Plan(time.Second, time.Time{})
	for _, id := range []acaciatally.WorkerID{"i-1", "i-2"} {
		require.Empty(t, scheduler.workers[id].runs)
	}
}

// TestStartingTaskPoll guards against a wave that waits for each report of a task that is starting, which came only about once a second
// although the task was up long before.
func TestStartingTaskPoll(t *testing.T) {
	tests := map[string]struct {
		percent int
		wait    time.Duration
	}{"starting": {40, startupPollWait}, "up": {fullPercent, busyPollWait}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1))
			step := testStep(1, 1000)
			step.LongRunning = true
			loadJob(scheduler, "aa", 0, step)
			order := startDue(scheduler, 0)[0]
			scheduler.Report("i-1", acaciatally.WorkerReport{Clock: time.Second, StartTime: testWorker(1).StartTime, Running: []acaciatally.RunningTask{
				{Task: order.Start.Task, Attempt: 1, Percent: test.percent},
			}}, time.Second, time.Second)
			require.Equal(t, test.wait, scheduler.workers["i-1"].pollWait())
		})
	}
}
