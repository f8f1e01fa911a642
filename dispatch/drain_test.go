package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// reportRunning reports at one second that the started runs are in progress, each at the given percentage, and nothing else.
func reportRunning(scheduler *Scheduler, orders []Order, percent int) {
	const now = time.Second
	reports := map[acaciatally.WorkerID]acaciatally.WorkerReport{}
	for _, order := range orders {
		report := reports[order.Worker.ID]
		report.Clock, report.StartTime = now, order.Worker.StartTime
		report.Running = append(report.Running, acaciatally.RunningTask{Task: order.Start.Task, Attempt: order.Start.Attempt, Percent: percent})
		reports[order.Worker.ID] = report
	}
	for id, report := range reports {
		scheduler.Report(id, report, now, now)
	}
}

// stopsOf returns how many stop orders for runs of the job are due.
func stopsOf(scheduler *Scheduler, id acaciatally.JobID, now time.Duration) (count int) {
	scheduler.Plan(now, time.UnixMilli(0))
	for _, order := range scheduler.Orders(now) {
		if order.Kind == OrderStop && order.Start.Task.Job == id {
			count++
		}
	}
	return count
}

// TestDrainStopsLongRunningLast guards against stopping a long-running task that no other worker can take while other runs keep its worker from
// being drained: it had no run until they had ended and the instance was back.
func TestDrainStopsLongRunningLast(t *testing.T) {
	const labelOfFirst = "first"
	tests := map[string]struct {
		tasks     int // of the long-running step
		perWorker int
		otherWork bool // a run of another job on the worker to drain, which has no checkpoints
		third     bool // an idle worker that could take the long-running task
		thirdFull bool // the third worker is full of work that may be preempted
		announced bool // the worker says itself that it will leave
		stops     int
	}{
		"other work goes on":                       {tasks: 2, perWorker: 1, otherWork: true, stops: 0},
		"nothing else runs":                        {tasks: 2, perWorker: 1, stops: 1},
		"other work goes on, another worker":       {tasks: 2, perWorker: 1, otherWork: true, third: true, stops: 1},
		"other work goes on, another worker, full": {tasks: 2, perWorker: 1, otherWork: true, third: true, thirdFull: true, stops: 1},
		"two of one step, of which one may stop":   {tasks: 4, perWorker: 2, stops: 0},
		"two of one step, one can go elsewhere":    {tasks: 4, perWorker: 2, third: true, stops: 1},
		"worker leaves by itself":                  {tasks: 2, perWorker: 1, announced: true, stops: 0},
		"worker leaves by itself, another worker":  {tasks: 2, perWorker: 1, announced: true, third: true, stops: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			first, second := testWorker(1), testWorker(2)
			first.Labels = append(first.Labels, labelOfFirst)
			reportIdle(scheduler, first, second)
			service := testStep(test.tasks, 1000)
			service.LongRunning, service.PerWorker = true, test.perWorker
			service.DisruptionBudget, service.HasDisruptionBudget = 1, true
			loadJob(scheduler, "aa", 0, service)
			other := testStep(1, 1000)
			other.Label = labelOfFirst
			if test.otherWork {
				loadJob(scheduler, "bb", 0, other)
			}
			reportRunning(scheduler, startDue(scheduler, 0), fullPercent)
			workers := []acaciatally.Worker{first, second}
			if test.third {
				workers = append(workers, testWorker(3))
			}
			scheduler.SetDirectory(workers, time.Second)
			if test.third {
				scheduler.Report("i-3", acaciatally.WorkerReport{Clock: time.Second, StartTime: first.StartTime}, time.Second, time.Second)
			}
			if test.thirdFull {
				loadJob(scheduler, "cc", time.Second, testStep(1, 8000))
				reportRunning(scheduler, startDue(scheduler, time.Second), 0)
			}
			if workers[0].Draining = test.announced; !test.announced {
				scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance"})
			}
			scheduler.SetDirectory(workers, time.Second)
			require.Equal(t, test.stops, stopsOf(scheduler, "aa", 1200*time.Millisecond))
		})
	}
}

// TestDrainKeepsCheckpointedRun guards against stopping a run with checkpoints that no other worker can take while another run keeps its worker
// from being drained: it waited until that had ended and the instance was back.
func TestDrainKeepsCheckpointedRun(t *testing.T) {
	const label = "special"
	tests := map[string]struct {
		otherWork bool // a run without checkpoints on the worker to drain
		elsewhere bool // another worker has the label
		stops     int
	}{
		"other work goes on":                 {otherWork: true, stops: 0},
		"other work goes on, another worker": {otherWork: true, elsewhere: true, stops: 1},
		"nothing else runs":                  {stops: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			first, second := testWorker(1), testWorker(2)
			first.Labels = append(first.Labels, label)
			reportIdle(scheduler, first, second)
			step := testStep(1, 1000)
			step.Label, step.Checkpoints = label, true
			loadJob(scheduler, "aa", 0, step)
			if step.Checkpoints = false; test.otherWork {
				loadJob(scheduler, "bb", 0, step)
			}
			reportRunning(scheduler, startDue(scheduler, 0), 10)
			if test.elsewhere {
				second.Labels = first.Labels
			}
			scheduler.SetDirectory([]acaciatally.Worker{first, second}, time.Second)
			scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance"})
			require.Equal(t, test.stops, stopsOf(scheduler, "aa", 1200*time.Millisecond))
		})
	}
}

// TestRestartOnWorkerKeptInService guards against a long-running task without a run for as long as other runs keep its worker from being drained: it
// had ended by itself, and no other worker could take it.
func TestRestartOnWorkerKeptInService(t *testing.T) {
	for name, otherWork := range map[string]bool{"other work goes on": true, "nothing else runs": false} {
		t.Run(name, func(t *testing.T) {
			const label = "first"
			scheduler, _ := newScheduler()
			first, second := testWorker(1), testWorker(2)
			first.Labels = append(first.Labels, label)
			reportIdle(scheduler, first, second)
			service, other := testStep(2, 1000), testStep(1, 1000)
			service.LongRunning, service.PerWorker = true, 1
			other.Label = label
			loadJob(scheduler, "aa", 0, service)
			if otherWork {
				loadJob(scheduler, "bb", 0, other)
			}
			orders := startDue(scheduler, 0)
			reportRunning(scheduler, orders, 50)
			scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance"})
			report := acaciatally.WorkerReport{Clock: 2 * time.Second, StartTime: first.StartTime}
			for _, order := range orders {
				switch {
				case order.Worker.ID != "i-1":
				case order.Start.Task.Job == "aa":
					report.Ended = []acaciatally.EndedTask{{Number: 1, Task: order.Start.Task, Attempt: 1, End: acaciatally.EndFailed}}
				default:
					report.Running = []acaciatally.RunningTask{{Task: order.Start.Task, Attempt: 1, Percent: 50}}
				}
			}
			scheduler.Report("i-1", report, 2*time.Second, 2*time.Second)
			require.Empty(t, startDue(scheduler, 2*time.Second))
			restarted := startDue(scheduler, 2*time.Second+preemptAfter)
			if !otherWork {
				require.Empty(t, restarted)
				return
			}
			require.Len(t, restarted, 1)
			require.Equal(t, acaciatally.WorkerID("i-1"), restarted[0].Worker.ID)
			require.Equal(t, acaciatally.JobID("aa"), restarted[0].Start.Task.Job)
		})
	}
}

// TestAdviceOnWorkerKeptInService guards against a long-running task that is never started because the advice service is not asked about the only
// worker that may run it: the worker is to be drained and kept in service by other runs.
func TestAdviceOnWorkerKeptInService(t *testing.T) {
	for name, isLongRunning := range map[string]bool{"long-running": true, "not long-running": false} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1))
			loadJob(scheduler, "bb", 0, testStep(1, 1000))
			reportRunning(scheduler, startDue(scheduler, 0), 50)
			scheduler.SetWorkersToDrain(map[acaciatally.WorkerID]string{"i-1": "maintenance"})
			step := testStep(1, 1000)
			step.LongRunning = isLongRunning
			scheduler.LoadJob("aa", job.Accepted{
				Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{step}},
				Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
			}, job.Progress{State: acaciatally.JobQueued}, 0, time.Second)
			require.Empty(t, startDue(scheduler, time.Second))
			requests := scheduler.AdviceRequests(time.Second)
			if !isLongRunning {
				require.Empty(t, requests)
				return
			}
			require.Len(t, requests, 1)
			scheduler.AdviceResult(requests[0], acaciatally.Advice{
				Valid: 3 * time.Second, Permissions: []acaciatally.Permission{{Worker: "i-1", Ticket: "x"}},
			}, nil, time.Second)
			require.Len(t, startDue(scheduler, time.Second+preemptAfter), 1)
		})
	}
}
