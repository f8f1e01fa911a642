package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

func gangStep(count, perWorker int) acaciatally.Step {
	step := testStep(count, 1000)
	step.Gang, step.PerWorker = true, perWorker
	return step
}

// TestGangWithinLimitPerWorker guards against more members of a gang on a worker than its step allows: members placed in the same trial were
// not counted.
func TestGangWithinLimitPerWorker(t *testing.T) {
	tests := map[string]struct{ workers, started int }{"fits": {3, 6}, "does not fit": {2, 0}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			workers := []acaciatally.Worker{}
			for i := range test.workers {
				workers = append(workers, testWorker(i+1))
			}
			reportIdle(scheduler, workers...)
			loadJob(scheduler, "aa", 0, gangStep(6, 2))
			perWorker := map[acaciatally.WorkerID]int{}
			for _, order := range startDue(scheduler, 0) {
				perWorker[order.Worker.ID]++
				require.LessOrEqual(t, perWorker[order.Worker.ID], 2)
			}
			require.Equal(t, test.started > 0, len(perWorker) == test.workers)
		})
	}
}

// TestGangStartedWhole guards against members that are started and wait for others whose workers may get no new runs any more.
func TestGangStartedWhole(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
	step := gangStep(2, 0)
	step.Resources.Processors = 5000 // one member fits on a worker
	loadJob(scheduler, "aa", 0, step)
	scheduler.Plan(0, time.UnixMilli(0))
	commitAll(scheduler, 0)
	first := scheduler.findTask(acaciatally.TaskRef{Job: "aa"})
	scheduler.RenewalFailed(first.workerID(), acaciatally.ErrUnknownOutcome, 0)
	require.Empty(t, scheduler.Orders(0), "no member is started")
	require.Len(t, startDue(scheduler, checkInterval), 2, "the gang is started on other workers")
}

// TestBrokenGang guards against members that wait alone until their worker gives up after another one could not be started or was lost.
func TestBrokenGang(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
	loadJob(scheduler, "aa", 0, gangStep(2, 1))
	scheduler.Plan(0, time.UnixMilli(0))
	commitAll(scheduler, 0)
	orders := scheduler.Orders(0)
	require.Len(t, orders, 2)
	scheduler.OrderResult(orders[0], nil, 0)
	scheduler.OrderResult(orders[1], acaciatally.ErrUnavailable, 0)
	scheduler.Plan(checkInterval, time.UnixMilli(0))
	stops := scheduler.Orders(checkInterval)
	require.Len(t, stops, 1)
	require.Equal(t, OrderStop, stops[0].Kind)
	require.Equal(t, orders[0].Start.Task, stops[0].Start.Task)
	scheduler.OrderResult(stops[0], nil, checkInterval)
	scheduler.Report(stops[0].Worker.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: stops[0].Start.Task, Attempt: 1, End: acaciatally.EndStopped},
	}}, 2*checkInterval, 2*checkInterval)
	again := startDue(scheduler, 3*checkInterval)
	require.Len(t, again, 2, "the gang is placed anew")
	require.Equal(t, again[0].Start.Attempt, again[1].Start.Attempt)
	require.Equal(t, job.Assigned, scheduler.findTask(orders[0].Start.Task).phase)
}
