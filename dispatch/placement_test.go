package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// TestAdvice guards against starts on workers without a ticket, and against a step that waits forever because its request for advice failed.
func TestAdvice(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	scheduler.LoadJob("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(3, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	require.Empty(t, startDue(scheduler, 0))
	requests := scheduler.AdviceRequests(0)
	require.Len(t, requests, 1)
	require.Len(t, requests[0].Workers, 2)
	require.Empty(t, scheduler.AdviceRequests(0), "at most one request per step is in flight")
	scheduler.AdviceResult(requests[0], acaciatally.Advice{}, acaciatally.ErrUnavailable, 0)
	require.Empty(t, scheduler.AdviceRequests(0))
	requests = scheduler.AdviceRequests(adviceRetry)
	require.Len(t, requests, 1)
	scheduler.AdviceResult(requests[0], acaciatally.Advice{
		Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-2", Ticket: "x"}},
	}, nil, adviceRetry)
	orders := startDue(scheduler, adviceRetry)
	require.Len(t, orders, 3)
	for _, order := range orders {
		require.Equal(t, acaciatally.WorkerID("i-2"), order.Worker.ID)
		require.Equal(t, "x", order.Start.Permission)
	}
}

// TestTicketExpiry guards against a start with a ticket that may expire before the order arrives, and against a step that waits forever
// after its tickets have expired.
func TestTicketExpiry(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	scheduler.LoadJob("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	scheduler.Plan(0, time.UnixMilli(0))
	request := scheduler.AdviceRequests(0)[0]
	scheduler.AdviceResult(request, acaciatally.Advice{Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-1", Ticket: "x"}}}, nil, 0)
	require.Empty(t, startDue(scheduler, time.Second-ticketMargin))
	require.Len(t, scheduler.AdviceRequests(time.Second), 1)
}

// TestNextCPUShare guards against backfill that keeps a long-running task over its latency objective, and against backfill that stays
// throttled without need.
func TestNextCPUShare(t *testing.T) {
	tests := map[string]struct {
		current int
		worst   float64
		next    int
	}{
		"over objective":       {100, 1.2, 0},
		"near objective":       {100, 0.9, 50},
		"between thresholds":   {50, 0.7, 50},
		"low latency":          {50, 0.3, 65},
		"low latency, capped":  {95, 0.1, 100},
		"no latency objective": {0, 0, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.next, nextCPUShare(test.current, test.worst)) })
	}
}

// TestThrottleBackfill guards against ignoring reported latencies that exceed the objective.
func TestThrottleBackfill(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	latencyBound, backfill := testStep(1, 1000), testStep(1, 1000)
	latencyBound.LongRunning, latencyBound.TailObjective = true, 100*time.Millisecond
	backfill.LongRunning, backfill.Backfill = true, true
	loadJob(scheduler, "aa", 0, latencyBound, backfill)
	orders := startDue(scheduler, 0)
	require.Len(t, orders, 2)
	report := acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000)}
	for _, order := range orders {
		report.Running = append(report.Running, acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: 100, TailLatency: 150 * time.Millisecond})
	}
	scheduler.Report("i-1", report, time.Second, time.Second)
	var throttled []Order
	for _, order := range scheduler.Orders(time.Second) {
		if order.Kind == OrderThrottle {
			throttled = append(throttled, order)
		}
	}
	require.Len(t, throttled, 1)
	require.Equal(t, 1, throttled[0].Start.Task.Step)
	require.Zero(t, throttled[0].Percent)
}

// TestPreemptForLongRunningTask guards against a long-running task that keeps waiting while other tasks fill its pool, and against stopping
// more runs than necessary.
func TestPreemptForLongRunningTask(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	now := time.Second
	loadJob(scheduler, "aa", now, testStep(4, 2000))
	orders := startDue(scheduler, now)
	require.Len(t, orders, 4)
	serviceStep := testStep(1, 3000)
	serviceStep.LongRunning = true
	loadJob(scheduler, "bb", now, serviceStep)
	require.Empty(t, startDue(scheduler, now))
	require.Empty(t, scheduler.Orders(now))
	now += preemptAfter + time.Millisecond
	scheduler.Plan(now, time.UnixMilli(0))
	stops := 0
	for _, order := range scheduler.Orders(now) {
		if order.Kind == OrderStop {
			stops++
		}
	}
	require.Equal(t, 2, stops)
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
			scheduler, _ := newScheduler()
			var workers []acaciatally.Worker
			for i := range test.workers {
				workers = append(workers, testWorker(i+1))
			}
			reportIdle(scheduler, workers...)
			loadJob(scheduler, "aa", 0, test.step)
			require.Len(t, startDue(scheduler, 0), test.started)
		})
	}
}

// TestShrunkCapacity guards against starts on a worker whose capacity has shrunk since they were placed: a worker that does not enforce its
// capacity would run them all. What it takes when the capacity grows again is started.
func TestShrunkCapacity(t *testing.T) {
	tests := map[string]struct {
		processors int // capacity when the runs are recorded
		started    int
	}{
		"unchanged": {8000, 6}, "room for half": {3000, 3}, "no room": {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			w := testWorker(1)
			reportIdle(scheduler, w)
			loadJob(scheduler, "aa", 0, testStep(6, 1000))
			scheduler.Plan(0, time.UnixMilli(0))
			shrunk := w
			shrunk.Capacity.Processors = test.processors
			scheduler.SetDirectory([]acaciatally.Worker{shrunk}, 0)
			commitAll(scheduler, 0)
			started := 0
			for _, order := range scheduler.Orders(0) {
				scheduler.OrderResult(order, nil, 0)
				started++
			}
			require.Equal(t, test.started, started)
			require.Empty(t, startDue(scheduler, time.Second), "the worker has no room")
			scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
			require.Len(t, startDue(scheduler, 2*time.Second), 6-test.started)
		})
	}
}
