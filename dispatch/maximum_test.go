package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const testAccount = acaciatally.AccountName("quotes-ltd")

// processorMaximum configures the maximum number of processors of testAccount, in thousandths of a core.
func processorMaximum(scheduler *Scheduler, version uint64, processors int) {
	scheduler.Configure(&acaciatally.Configuration{Version: version, Accounts: map[acaciatally.AccountName]acaciatally.Account{
		testAccount: {Name: testAccount, Maximum: acaciatally.ResourceVector{Processors: processors}},
		"other":     {Name: "other"},
	}})
}

func accountAccepted(account acaciatally.AccountName, steps ...acaciatally.Step) job.Accepted {
	return job.Accepted{Account: account, Spec: acaciatally.JobSpec{Steps: steps}, Queue: acaciatally.Queue{
		Name: "quotes", Pool: testPool, Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond,
	}}
}

func loadAccountJob(scheduler *Scheduler, id acaciatally.JobID, account acaciatally.AccountName, now time.Duration, steps ...acaciatally.Step) {
	scheduler.LoadJob(id, accountAccepted(account, steps...), job.Progress{State: acaciatally.JobQueued}, 0, now)
}

// startedBy counts the start orders by job.
func startedBy(orders []Order) map[acaciatally.JobID]int {
	started := map[acaciatally.JobID]int{}
	for _, order := range orders {
		started[order.Start.Task.Job]++
	}
	return started
}

// reportRuns reports runs as running on a worker of testWorker.
func reportRuns(scheduler *Scheduler, id acaciatally.WorkerID, at time.Duration, orders ...Order) {
	report := acaciatally.WorkerReport{Clock: at, StartTime: time.UnixMilli(1000)}
	for _, order := range orders {
		if order.Worker.ID == id {
			report.Running = append(report.Running, acaciatally.RunningTask{Task: order.Start.Task, Attempt: order.Start.Attempt, Percent: 10})
		}
	}
	scheduler.Report(id, report, at, at)
}

// TestMaximum guards against more runs of an account than its maximum, counted over all pools and with the processors of backfill tasks, and
// against other jobs that wait because the account has to.
func TestMaximum(t *testing.T) {
	long, backfill, large := testStep(4, 1000), testStep(4, 1000), testStep(4, 3000)
	long.LongRunning = true
	backfill.Backfill = true
	tests := map[string]struct {
		step    acaciatally.Step
		maximum int
		started int
	}{
		"within":             {testStep(4, 1000), 4000, 4},
		"beyond":             {testStep(4, 1000), 3999, 3},
		"no limit":           {testStep(4, 1000), 0, 4},
		"backfill in full":   {backfill, 2000, 2},
		"long-running":       {long, 2500, 2},
		"task over headroom": {large, 5000, 1},
		"gang within":        {gangStep(4, 0), 4000, 4},
		"gang beyond":        {gangStep(4, 0), 3999, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, eventLog := newScheduler()
			processorMaximum(scheduler, 1, test.maximum)
			second := testWorker(2)
			second.Pool = "second"
			reportIdle(scheduler, testWorker(1), testWorker(3), second)
			loadAccountJob(scheduler, "aa", testAccount, 0, test.step)
			loadAccountJob(scheduler, "bb", "other", 0, testStep(1, 1000))
			loadJob(scheduler, "cc", 0, testStep(1, 1000))
			started := startedBy(startDue(scheduler, 0))
			require.Equal(t, test.started, started["aa"])
			require.Equal(t, 1, started["bb"], "another account's job starts")
			require.Equal(t, 1, started["cc"], "a job without an account starts")
			require.Equal(t, test.step.Resources.Processors*test.started, scheduler.accountUsage(testAccount).Processors)
			require.Zero(t, eventLog.counts["RunDropped account exceeds its maximum"], "what may not start is not placed")
			elsewhere := accountAccepted(testAccount, testStep(4, 1000))
			elsewhere.Queue.Pool = "second"
			scheduler.LoadJob("dd", elsewhere, job.Progress{State: acaciatally.JobQueued}, 0, 0)
			left := 4
			if test.maximum > 0 {
				left = min(4, (test.maximum-test.step.Resources.Processors*test.started)/1000)
			}
			require.Equal(t, left, startedBy(startDue(scheduler, time.Second))["dd"], "what the other pool may take")
			require.Equal(t, test.maximum > 0 && (left < 4 || test.started < 4), eventLog.counts["AccountAtMaximum"] > 0)
		})
	}
}

// TestMaximumOfEachResource guards against a resource without a limit that keeps an account from using the others, and against one that is
// not checked.
func TestMaximumOfEachResource(t *testing.T) {
	tests := map[string]struct {
		maximum, used, more acaciatally.ResourceVector
		within              bool
	}{
		"no limits":                  {acaciatally.ResourceVector{}, acaciatally.ResourceVector{Processors: 9, Memory: 9, Accelerators: 9}, acaciatally.ResourceVector{Processors: 9}, true},
		"processors":                 {acaciatally.ResourceVector{Processors: 8}, acaciatally.ResourceVector{Processors: 9}, acaciatally.ResourceVector{Processors: 1}, false},
		"memory":                     {acaciatally.ResourceVector{Memory: 8}, acaciatally.ResourceVector{Memory: 9}, acaciatally.ResourceVector{Memory: 1}, false},
		"accelerators":               {acaciatally.ResourceVector{Accelerators: 8}, acaciatally.ResourceVector{Accelerators: 9}, acaciatally.ResourceVector{Accelerators: 1}, false},
		"just within":                {acaciatally.ResourceVector{Memory: 9}, acaciatally.ResourceVector{Memory: 9}, acaciatally.ResourceVector{Memory: 1}, true},
		"takes none of an exhausted": {acaciatally.ResourceVector{Accelerators: 8}, acaciatally.ResourceVector{Accelerators: 9}, acaciatally.ResourceVector{Memory: 1}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.within, within(test.maximum, test.used, test.more)) })
	}
}

// TestNothingPlacedWithoutConfiguration guards against a leader that places an account's tasks before it knows the account's maximum.
func TestNothingPlacedWithoutConfiguration(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
	loadJob(scheduler, "bb", 0, testStep(1, 1000))
	require.Equal(t, map[acaciatally.JobID]int{"bb": 1}, startedBy(startDue(scheduler, 0)))
	processorMaximum(scheduler, 1, 1000)
	require.Equal(t, map[acaciatally.JobID]int{"aa": 1}, startedBy(startDue(scheduler, time.Second)))
}

// TestLoweredMaximum guards against first starts after the maximum fell below what the account uses, against stopping runs that were started,
// and against an account that does not go on once its usage has fallen.
func TestLoweredMaximum(t *testing.T) {
	steps := map[string]acaciatally.Step{"single": testStep(3, 1000), "gang": gangStep(3, 0)}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			scheduler, eventLog := newScheduler()
			processorMaximum(scheduler, 1, 8000)
			reportIdle(scheduler, testWorker(1))
			loadAccountJob(scheduler, "aa", testAccount, 0, testStep(2, 1000))
			first := startDue(scheduler, 0)
			require.Len(t, first, 2)
			loadAccountJob(scheduler, "bb", testAccount, 0, step)
			scheduler.Plan(time.Second, time.UnixMilli(0)) // planned
			commitAll(scheduler, time.Second)              // recorded
			require.Equal(t, 5000, scheduler.accountUsage(testAccount).Processors)
			processorMaximum(scheduler, 2, 1000)
			require.Empty(t, scheduler.Orders(time.Second), "the maximum holds at once, also for recorded runs")
			require.Empty(t, startDue(scheduler, 2*time.Second))
			require.Equal(t, 2000, scheduler.accountUsage(testAccount).Processors, "only what was started counts")
			require.Equal(t, 3, eventLog.counts["RunDropped account exceeds its maximum"])
			reportRuns(scheduler, "i-1", 3*time.Second, first...)
			for _, order := range scheduler.Orders(3 * time.Second) {
				require.NotEqual(t, OrderStop, order.Kind, "nothing is stopped")
			}
			processorMaximum(scheduler, 3, 8000)
			reportRuns(scheduler, "i-1", 4*time.Second, first...)
			require.Len(t, startDue(scheduler, 4*time.Second), 3)
		})
	}
}

// TestLoweredMaximumOfPlannedRuns guards against planned runs that keep the capacity of their workers after the maximum fell, and against
// releasing more urgent ones than needed.
func TestLoweredMaximumOfPlannedRuns(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 8000)
	reportIdle(scheduler, testWorker(1))
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(2, 1000))
	loadAccountJob(scheduler, "bb", testAccount, 100*time.Millisecond, testStep(2, 1000))
	scheduler.Plan(200*time.Millisecond, time.UnixMilli(0))
	require.Equal(t, 4000, scheduler.accountUsage(testAccount).Processors)
	processorMaximum(scheduler, 2, 2000)
	scheduler.Plan(201*time.Millisecond, time.UnixMilli(0))
	require.Equal(t, 2000, scheduler.accountUsage(testAccount).Processors)
	require.Equal(t, map[acaciatally.JobID]int{"aa": 2}, startedBy(startDue(scheduler, 202*time.Millisecond)))
}

// TestRepeatedStartBeyondMaximum guards against a repeated start order that starts a run after the maximum fell, and against stopping the run if
// the first order was executed.
func TestRepeatedStartBeyondMaximum(t *testing.T) {
	tests := map[string]struct {
		executed, lost bool
		want           OrderKind
	}{"executed": {true, false, OrderStart}, "not executed": {false, false, OrderStop}, "executed and lost": {true, true, OrderStop}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, 1000)
			reportIdle(scheduler, testWorker(1))
			loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
			scheduler.Plan(0, time.UnixMilli(0))
			commitAll(scheduler, 0)
			order := scheduler.Orders(0)[0]
			scheduler.OrderResult(order, acaciatally.ErrUnknownOutcome, 500*time.Millisecond)
			processorMaximum(scheduler, 2, 500)
			scheduler.Plan(600*time.Millisecond, time.UnixMilli(0))
			require.Empty(t, scheduler.Orders(600*time.Millisecond), "nothing is known of the run")
			if test.executed {
				reportRuns(scheduler, "i-1", 700*time.Millisecond, order)
			} else {
				reportRuns(scheduler, "i-1", 700*time.Millisecond)
			}
			if test.lost {
				reportRuns(scheduler, "i-1", 750*time.Millisecond)
			}
			orders := append(scheduler.Orders(800*time.Millisecond), scheduler.Orders(900*time.Millisecond)...)
			require.NotEmpty(t, orders)
			require.Equal(t, test.want, orders[0].Kind)
		})
	}
}

// TestNoPreemptionBeyondMaximum guards against runs that are stopped for a long-running task whose account is at its maximum.
func TestNoPreemptionBeyondMaximum(t *testing.T) {
	for name, maximum := range map[string]int{"beyond": 500, "within": 1000} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, maximum)
			reportIdle(scheduler, testWorker(1))
			loadJob(scheduler, "bb", 0, testStep(1, 8000))
			orders := startDue(scheduler, 0)
			require.Len(t, orders, 1)
			step := testStep(1, 1000)
			step.LongRunning = true
			loadAccountJob(scheduler, "aa", testAccount, 0, step)
			stops := 0
			for now := time.Duration(0); now < 2*preemptAfter; now += checkInterval {
				reportRuns(scheduler, "i-1", now, orders...)
				scheduler.Plan(now, time.UnixMilli(0))
				for _, order := range scheduler.Orders(now) {
					if order.Kind == OrderStop {
						stops++
					}
				}
			}
			require.Equal(t, maximum >= 1000, stops > 0)
		})
	}
}

// TestNoDrainBeyondMaximum guards against stopping a run on a worker to drain that its account's lowered maximum would keep from starting again.
func TestNoDrainBeyondMaximum(t *testing.T) {
	for name, maximum := range map[string]int{"beyond": 500, "within": 1000} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, 1000)
			reportIdle(scheduler, testWorker(1), testWorker(2))
			step := testStep(1, 1000)
			step.Checkpoints = true
			loadAccountJob(scheduler, "aa", testAccount, 0, step)
			order := startDue(scheduler, 0)[0]
			fixed := testStep(1, 1000)
			loadJob(scheduler, "bb", 0, fixed) // keeps the worker in service
			orders := append(startDue(scheduler, time.Millisecond), order)
			require.Equal(t, orders[0].Worker.ID, orders[1].Worker.ID)
			processorMaximum(scheduler, 2, maximum)
			reportRuns(scheduler, order.Worker.ID, time.Second, orders...)
			scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{order.Worker.ID: "maintenance"})
			scheduler.Plan(time.Second, time.UnixMilli(0))
			stops := 0
			for _, sent := range scheduler.Orders(time.Second) {
				if sent.Kind == OrderStop {
					stops++
				}
			}
			require.Equal(t, maximum >= 1000, stops == 1)
		})
	}
}

// TestDemandWithinMaximum guards against instances that are moved for tasks that may not start because of their account's maximum.
func TestDemandWithinMaximum(t *testing.T) {
	perWorker := testStep(6, 1000)
	perWorker.PerWorker = 1
	tests := map[string]struct {
		step       acaciatally.Step
		maximum    int
		waiting    int
		minWorkers int
	}{
		"no limit":     {testStep(6, 1000), 0, 6000, 0},
		"headroom":     {testStep(6, 1000), 2500, 2000, 0},
		"no headroom":  {testStep(6, 1000), 500, 0, 0},
		"gang":         {gangStep(6, 0), 5999, 0, 0},
		"gang fits":    {gangStep(6, 0), 6000, 6000, 0},
		"per worker":   {perWorker, 2500, 2000, 2},
		"per worker 0": {perWorker, 0, 6000, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, test.maximum)
			loadAccountJob(scheduler, "aa", testAccount, 0, test.step)
			scheduler.Plan(0, time.UnixMilli(0))
			pool := scheduler.Pools(0)[testPool]
			require.Equal(t, test.waiting, pool.Waiting.Processors)
			require.Equal(t, test.minWorkers, pool.MinWorkers)
		})
	}
	t.Run("headroom is shared by all pools", func(t *testing.T) {
		scheduler, _ := newScheduler()
		processorMaximum(scheduler, 1, 3000)
		loadAccountJob(scheduler, "bb", testAccount, 900*time.Millisecond, testStep(2, 1000))
		later := accountAccepted(testAccount, testStep(2, 1000))
		later.Queue.Pool = "second"
		scheduler.LoadJob("cc", later, job.Progress{State: acaciatally.JobQueued}, 0, time.Second)
		scheduler.Plan(time.Second, time.UnixMilli(0))
		for range 20 { // the same division each time, or instances would move to and fro
			pools := scheduler.Pools(time.Second)
			require.Equal(t, 2000, pools[testPool].Waiting.Processors)
			require.Equal(t, 1000, pools["second"].Waiting.Processors)
		}
	})
	t.Run("arrivals beyond the maximum", func(t *testing.T) {
		scheduler, _ := newScheduler()
		processorMaximum(scheduler, 1, 500)
		loadAccountJob(scheduler, "bb", testAccount, 0, testStep(2, 1000))
		scheduler.Plan(0, time.UnixMilli(0)) // counts the arrivals
		require.True(t, scheduler.Pools(demandBucket)[testPool].Expected.IsZero())
		loadAccountJob(scheduler, "cc", "other", 0, testStep(2, 1000))
		scheduler.Plan(0, time.UnixMilli(0))
		require.False(t, scheduler.Pools(demandBucket)[testPool].Expected.IsZero())
	})
}

// TestStartDelayBeyondMaximum guards against refusing the jobs of all callers because one account has many tasks that wait for its maximum.
func TestStartDelayBeyondMaximum(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 500)
	scheduler.startRate.atLimit, scheduler.startRate.heldShare = true, 1
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1000, 1000))
	scheduler.Plan(0, time.UnixMilli(0))
	require.Zero(t, scheduler.StartDelay(0))
	processorMaximum(scheduler, 2, 0)
	scheduler.startRate.atLimit = true
	require.NotZero(t, scheduler.StartDelay(0))
}

// TestAdviceBeyondMaximum guards against requests to the advice service for tasks that may not start.
func TestAdviceBeyondMaximum(t *testing.T) {
	for name, maximum := range map[string]int{"beyond": 500, "within": 1000} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, maximum)
			reportIdle(scheduler, testWorker(1))
			accepted := accountAccepted(testAccount, testStep(1, 1000))
			accepted.Queue.Advice = &acaciatally.AdvicePolicy{Valid: time.Second}
			scheduler.LoadJob("aa", accepted, job.Progress{State: acaciatally.JobQueued}, 0, 0)
			scheduler.Plan(0, time.UnixMilli(0))
			require.Equal(t, maximum >= 1000, len(scheduler.AdviceRequests(0)) == 1)
		})
	}
}
