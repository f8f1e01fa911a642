package dispatch

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// slowDown lets the scheduler find the worker slow by a factor of five, from the pace of runs.
func slowDown(scheduler *Scheduler, slow acaciatally.WorkerID, now time.Duration) {
	for id, w := range scheduler.workers {
		difference := 0.0
		if id == slow {
			difference = math.Log(trialFactor)
		}
		for i := range 6 {
			w.speed.ObserveEnd(acaciatally.TaskRef{Job: acaciatally.JobID(fmt.Sprint("earlier-", i))}, difference, 0.01, now)
		}
	}
	scheduler.assessSpeeds(now)
}

// TestSlowWorkerTakesWork guards against a slow worker that leaves its pool short of capacity, and against urgent work on it: while nothing else has
// room, it takes jobs that are in time there, tasks that no other worker may take, and, once waiting has made them late, also others.
func TestSlowWorkerTakesWork(t *testing.T) {
	patient, urgent := testStep(1, 1000), testStep(1, 1000)
	patient.Estimate, urgent.Estimate = 10*time.Millisecond, time.Second
	bound := urgent
	bound.Label = "special"
	tests := map[string]struct {
		step   acaciatally.Step
		full   bool // the other worker has no room
		worker acaciatally.WorkerID
		after  time.Duration // when the task is placed
	}{
		"room elsewhere":    {urgent, false, "i-1", 0},
		"in time there":     {patient, true, "i-2", 0},
		"late there":        {urgent, true, "i-2", 950 * time.Millisecond}, // the objective and 1.6 times the estimate, less startMargin times the estimate
		"no other may take": {bound, true, "i-2", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, eventLog := newScheduler()
			slow := testWorker(2)
			slow.Labels = append(slow.Labels, "special")
			slow.Capacity.Processors = 2000 // packing alone would prefer it
			reportIdle(scheduler, testWorker(1), slow)
			slowDown(scheduler, slow.ID, 0)
			require.Equal(t, 1, eventLog.counts["WorkerChanged slow: runs take 5.0 times as long as in its pool"])
			if test.full {
				loadJob(scheduler, "a", 0, testStep(1, 8000))
				require.Equal(t, acaciatally.WorkerID("i-1"), startDue(scheduler, 0)[0].Worker.ID)
			}
			loadJob(scheduler, "b", 0, test.step)
			for now := time.Duration(0); now <= 3*time.Second; now += 50 * time.Millisecond {
				for _, id := range []acaciatally.WorkerID{"i-1", "i-2"} {
					scheduler.workers[id].reportedAt = now
				}
				if orders := startDue(scheduler, now); len(orders) > 0 {
					require.Equal(t, test.worker, orders[0].Worker.ID)
					require.InDelta(t, test.after, now, float64(checkInterval))
					return
				}
			}
			t.Fatal("not placed")
		})
	}
}

// TestSlowWorkerStartsAnew guards against a worker that stays slow after a restart or a move to another pool, and against a leader that knows the
// start of runs that it has not started.
func TestSlowWorkerStartsAnew(t *testing.T) {
	restarted, moved := testWorker(2), testWorker(2)
	restarted.StartTime = restarted.StartTime.Add(time.Second)
	moved.Pool = "other"
	for name, entry := range map[string]acaciatally.Worker{"restarted": restarted, "moved": moved} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1), testWorker(2))
			slowDown(scheduler, "i-2", 0)
			require.True(t, scheduler.workers["i-2"].speed.Deferred())
			scheduler.SetDirectory([]acaciatally.Worker{testWorker(1), entry}, time.Second)
			require.False(t, scheduler.workers["i-2"].speed.Deferred())
		})
	}
}

// TestInheritedRunTellsNoTime guards against a new leader that takes the time since its first report for the run time of a run that an earlier leader
// started, which makes other workers look slow.
func TestInheritedRunTellsNoTime(t *testing.T) {
	for name, inherited := range map[string]bool{"own": false, "inherited": true} {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1))
			loadJob(scheduler, "a", 0, testStep(1, 1000))
			order := startDue(scheduler, 100*time.Millisecond)[0]
			if inherited {
				task := scheduler.findTask(order.Start.Task)
				task.stage, task.startSentAt, task.confirmedAt = stageInherited, 0, 0
			}
			report := acaciatally.WorkerReport{StartTime: testWorker(1).StartTime, Running: []acaciatally.RunningTask{
				{Task: order.Start.Task, Attempt: order.Start.Attempt, Percent: 90},
			}}
			scheduler.Report("i-1", report, 900*time.Millisecond, 900*time.Millisecond)
			report.Running, report.Ended = nil, []acaciatally.EndedTask{
				{Number: 1, Task: order.Start.Task, Attempt: order.Start.Attempt, End: acaciatally.EndDone},
			}
			scheduler.Report("i-1", report, time.Second, time.Second)
			require.Equal(t, inherited, len(scheduler.speeds.kinds) == 0)
		})
	}
}

// TestSlowWorkersOfFormerLeader guards against a metric of slow workers that a former leader keeps.
func TestSlowWorkersOfFormerLeader(t *testing.T) {
	eventLog := &countingEventLog{counts: map[string]int{}}
	r := NewRunner(RunnerConfig{Store: &memoryStore{}, Leads: func() bool { return false }, Scheduler: Config{EventLog: eventLog}})
	r.scheduler.speeds.slow = 1
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, r.Run(ctx))
	require.Equal(t, 1, eventLog.counts["SlowWorkers"])
}
