package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

const gibibyte = int64(1) << 30

func newTasks() *standin.Tasks {
	tasks := standin.NewTasks(standin.TasksConfig{ReportLag: 2 * time.Second, CheckpointTime: time.Second})
	tasks.AddWorker("chamber-1", acaciatally.Resources{Processors: 64, Memory: 256 * gibibyte})
	return tasks
}

func lease(task string, profile standin.TaskProfile) acaciatally.TaskLease {
	return acaciatally.TaskLease{
		Task: task, Attempt: 1, Worker: "chamber-1", Resources: profile.Uses, Command: profile.Command(),
		Expires: time.Now().Add(time.Minute),
	}
}

// TestTaskRuns checks the speed and the end of runs when they share processors, are throttled, fail, lose their lease or exceed the
// worker's memory.
func TestTaskRuns(t *testing.T) {
	profile := standin.TaskProfile{Uses: acaciatally.Resources{Processors: 64, Memory: 100 * gibibyte}, Work: 20 * time.Second, Checkpoints: true}
	long, fails := profile, profile
	long.Work = time.Hour
	fails.Fails = true
	tests := map[string]struct {
		tasks  []standin.TaskProfile
		after  time.Duration
		before func(t *testing.T, tasks *standin.Tasks)
		then   func(t *testing.T, tasks *standin.Tasks)
		state  acaciatally.TaskRunState
		to     time.Duration
	}{
		"alone":                      {tasks: []standin.TaskProfile{profile}, after: 20 * time.Second, state: acaciatally.TaskDone, to: 20 * time.Second},
		"shares processors":          {tasks: []standin.TaskProfile{profile, profile}, after: 20 * time.Second, state: acaciatally.TaskRunning, to: 10 * time.Second},
		"fails":                      {tasks: []standin.TaskProfile{fails}, after: 30 * time.Second, state: acaciatally.TaskFailed, to: 20 * time.Second},
		"lease expires":              {tasks: []standin.TaskProfile{long}, after: 2 * time.Minute, state: acaciatally.TaskLeaseExpired, to: time.Minute},
		"memory runs out":            {tasks: []standin.TaskProfile{profile, profile, profile}, after: time.Second, state: acaciatally.TaskFailed},
		"worker fails every attempt": {tasks: []standin.TaskProfile{profile}, before: failEverything, after: time.Second, state: acaciatally.TaskFailed},
		"paused":                     {tasks: []standin.TaskProfile{profile}, then: pause, after: 30 * time.Second, state: acaciatally.TaskRunning},
		"stopped before start":       {tasks: []standin.TaskProfile{profile}, before: stopBeforeStart, after: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tasks := newTasks()
				if test.before != nil {
					test.before(t, tasks)
				}
				for i, profile := range test.tasks {
					_ = tasks.Start(t.Context(), lease(string(rune('a'+i)), profile))
				}
				if test.then != nil {
					test.then(t, tasks)
				}
				time.Sleep(test.after)
				trace := tasks.Trace("a")
				if test.state == "" {
					require.Empty(t, trace)
					return
				}
				require.Len(t, trace, 1)
				require.Equal(t, test.state, trace[0].State)
				require.InDelta(t, test.to.Seconds(), trace[0].EndProgress.Seconds(), 0.001)
			})
		})
	}
}

func failEverything(_ *testing.T, tasks *standin.Tasks) {
	tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{FailsEverything: true})
}

func pause(t *testing.T, tasks *standin.Tasks) {
	require.NoError(t, tasks.Throttle(t.Context(), "a", 1, 0))
}

func stopBeforeStart(t *testing.T, tasks *standin.Tasks) {
	require.NoError(t, tasks.Stop(t.Context(), "a", 1))
}

// TestCheckpoint checks that an attempt resumed from a checkpoint neither repeats nor skips work, and that reports show a checkpoint
// only after ReportLag.
func TestCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tasks := newTasks()
		profile := standin.TaskProfile{Uses: acaciatally.Resources{Processors: 1}, Work: 40 * time.Second, Checkpoints: true}
		require.NoError(t, tasks.Start(t.Context(), lease("a", profile)))
		time.Sleep(10 * time.Second)
		require.NoError(t, tasks.Throttle(t.Context(), "a", 1, 0))
		require.NoError(t, tasks.Checkpoint(t.Context(), "a", 1))
		time.Sleep(2 * time.Second)
		require.NoError(t, tasks.Stop(t.Context(), "a", 1))
		usage, err := tasks.Usage(t.Context(), "chamber-1")
		require.NoError(t, err)
		require.Empty(t, usage[0].Checkpoint)
		time.Sleep(2 * time.Second)
		usage, err = tasks.Usage(t.Context(), "chamber-1")
		require.NoError(t, err)
		require.Equal(t, acaciatally.TaskStopped, usage[0].State)
		resumed := lease("a", profile)
		resumed.Attempt, resumed.Checkpoint = 2, usage[0].Checkpoint
		require.NoError(t, tasks.Start(t.Context(), resumed))
		time.Sleep(30 * time.Second)
		trace := tasks.Trace("a")
		require.Equal(t, trace[0].EndProgress, trace[1].StartProgress)
		require.Equal(t, acaciatally.TaskDone, trace[1].State)
	})
}
