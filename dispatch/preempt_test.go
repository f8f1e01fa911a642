package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

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

// TestPreemptWhereTaskMayRun guards against stopping other runs for a long-running task on a worker that it may not use: the task was never
// started, and the other work never got done.
func TestPreemptWhereTaskMayRun(t *testing.T) {
	advice := &acaciatally.AdvicePolicy{}
	tests := map[string]struct {
		advice    *acaciatally.AdvicePolicy
		permitted []acaciatally.WorkerID
		fourth    bool                   // a fourth worker has room
		crashes   int                    // of workers under the task, for which it is suspected
		suspectOn acaciatally.WorkerID   // a worker on which a task of another job is suspected
		stopsOn   []acaciatally.WorkerID // the runs to stop are on one of these; none are stopped if it is empty
	}{
		"no conditions":           {stopsOn: []acaciatally.WorkerID{"i-1", "i-2", "i-3"}},
		"last worker permitted":   {advice: advice, permitted: []acaciatally.WorkerID{"i-3"}, stopsOn: []acaciatally.WorkerID{"i-3"}},
		"no worker permitted yet": {advice: advice},
		"room only where not permitted": {
			advice: advice, permitted: []acaciatally.WorkerID{"i-2"}, fourth: true, stopsOn: []acaciatally.WorkerID{"i-2"},
		},
		"suspected, another suspect":  {crashes: 1, suspectOn: "i-1", stopsOn: []acaciatally.WorkerID{"i-2", "i-3"}},
		"not suspected, a suspect is": {suspectOn: "i-1", stopsOn: []acaciatally.WorkerID{"i-1", "i-2", "i-3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const now = time.Second
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
			loadJob(scheduler, "other", 0, testStep(12, 2000))
			reportRunning(scheduler, startDue(scheduler, 0), 0)
			if test.fourth {
				scheduler.SetDirectory([]acaciatally.Worker{testWorker(1), testWorker(2), testWorker(3), testWorker(4)}, now)
				scheduler.Report("i-4", acaciatally.WorkerReport{Clock: now, StartTime: testWorker(4).StartTime}, now, now)
			}
			if test.suspectOn != "" {
				for run := range scheduler.workers[test.suspectOn].runs {
					run.crashes = 1
					run.joinSuspects()
				}
			}
			step := testStep(1, 2000)
			step.LongRunning = true
			scheduler.LoadJob("aa", job.Accepted{
				Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{step}},
				Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: test.advice},
			}, job.Progress{State: acaciatally.JobQueued}, 0, now)
			require.Empty(t, startDue(scheduler, now))
			scheduler.jobs["aa"].openOccurrences[0].steps[0][0].crashes = test.crashes
			for _, request := range scheduler.AdviceRequests(now) {
				advice := acaciatally.Advice{Valid: 3 * time.Second}
				for _, id := range test.permitted {
					advice.Permissions = append(advice.Permissions, acaciatally.Permission{Worker: id, Ticket: "x"})
				}
				scheduler.AdviceResult(request, advice, nil, now)
			}
			scheduler.Plan(now+preemptAfter, time.UnixMilli(0))
			stopped := map[acaciatally.WorkerID]bool{}
			for _, order := range scheduler.Orders(now + preemptAfter) {
				require.Equal(t, OrderStop, order.Kind)
				stopped[order.Worker.ID] = true
			}
			require.Equal(t, len(test.stopsOn) > 0, len(stopped) > 0)
			for id := range stopped {
				require.Contains(t, test.stopsOn, id)
			}
		})
	}
}
