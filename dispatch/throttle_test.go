package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// throttledWorker returns a scheduler with a worker that runs a task with a latency objective and a backfill task, and the reports of the worker
// at a tail latency.
func throttledWorker(t *testing.T) (scheduler *Scheduler, report func(tail, now time.Duration) []Order) {
	t.Helper()
	scheduler, _ = newScheduler()
	reportIdle(scheduler, testWorker(1))
	latencyBound, backfill := testStep(1, 1000), testStep(1, 1000)
	latencyBound.LongRunning, latencyBound.TailObjective = true, 100*time.Millisecond
	backfill.LongRunning, backfill.Backfill = true, true
	loadJob(scheduler, "aa", 0, latencyBound, backfill)
	started := startDue(scheduler, 0)
	require.Len(t, started, 2)
	return scheduler, func(tail, now time.Duration) (throttles []Order) {
		content := acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}
		for _, order := range started {
			content.Running = append(content.Running, acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: fullPercent, TailLatency: tail})
		}
		scheduler.Report("i-1", content, now, now)
		for _, order := range scheduler.Orders(now) {
			if order.Kind == OrderThrottle {
				throttles = append(throttles, order)
			}
		}
		return throttles
	}
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
	_, report := throttledWorker(t)
	throttled := report(150*time.Millisecond, time.Second)
	require.Len(t, throttled, 1)
	require.Equal(t, 1, throttled[0].Start.Task.Step)
	require.Zero(t, throttled[0].Percent)
}

// TestLateThrottleOrder guards against an order on the CPU share of a run that is executed late, after newer ones: the share in force was not the
// one that the leader believed, and no further order came.
func TestLateThrottleOrder(t *testing.T) {
	tests := map[string]struct {
		err    error
		fenced bool
	}{
		"no answer": {acaciatally.ErrUnknownOutcome, true},
		"not sent":  {acaciatally.ErrNotSent, false},
		"refused":   {acaciatally.ErrUnavailable, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, report := throttledWorker(t)
			first := report(150*time.Millisecond, time.Second)
			require.Len(t, first, 1)
			scheduler.OrderResult(first[0], test.err, time.Second)
			second := report(150*time.Millisecond, 2*time.Second)
			require.Len(t, second, 1, "the order is repeated")
			require.Equal(t, test.fenced, second[0].Start.Fence > first[0].Start.Fence)
		})
	}
}

// TestInheritedCPUShare guards against a backfill run that an earlier leader throttled and that stays throttled for good: the new leader took it for
// unthrottled and sent no order.
func TestInheritedCPUShare(t *testing.T) {
	tests := map[string]struct {
		tail    time.Duration
		percent int
	}{
		"low latency":  {20 * time.Millisecond, fullPercent},
		"high latency": {150 * time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1))
			latencyBound, backfill := testStep(1, 1000), testStep(1, 1000)
			latencyBound.LongRunning, latencyBound.TailObjective = true, 100*time.Millisecond
			backfill.LongRunning, backfill.Backfill = true, true
			assigned := [][]job.Task{{{Phase: job.Assigned, Attempt: 1, Worker: "i-1"}}, {{Phase: job.Assigned, Attempt: 1, Worker: "i-1"}}}
			scheduler.LoadJob("aa", job.Accepted{
				Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{latencyBound, backfill}},
				Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
			}, job.Progress{State: acaciatally.JobRunning, Next: 1, Open: []job.Occurrence{{Steps: assigned}}}, 0, 0)
			report := acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000)}
			for step := range assigned {
				report.Running = append(report.Running, acaciatally.RunningTask{
					Task: acaciatally.TaskRef{Job: "aa", Step: step}, Attempt: 1, Percent: fullPercent, TailLatency: test.tail,
				})
			}
			scheduler.Report("i-1", report, time.Second, time.Second)
			orders := scheduler.Orders(time.Second)
			require.Len(t, orders, 1)
			require.Equal(t, OrderThrottle, orders[0].Kind)
			require.Equal(t, test.percent, orders[0].Percent)
		})
	}
}

// TestCPUShareAfterRestart guards against a backfill run that a new incarnation of its worker starts by a late order, unthrottled, while the leader
// still counts on the CPU share that the former incarnation had confirmed.
func TestCPUShareAfterRestart(t *testing.T) {
	scheduler, report := throttledWorker(t)
	throttled := report(150*time.Millisecond, time.Second)
	require.Len(t, throttled, 1)
	scheduler.OrderResult(throttled[0], nil, time.Second)
	require.Empty(t, report(150*time.Millisecond, 2*time.Second))
	scheduler.workers["i-1"].startTime = testWorker(1).StartTime.Add(-time.Second) // the next report is that of a later incarnation
	throttled = report(150*time.Millisecond, 3*time.Second)
	require.Len(t, throttled, 1)
	require.Zero(t, throttled[0].Percent)
}
