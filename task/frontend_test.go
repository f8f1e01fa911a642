package task_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// TestSubmitTwice guards against a repeated submission that makes a second task, or that takes over another task's id.
func TestSubmitTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		one := spec("a", uses(1, 1, time.Second))
		w.submit(one, one, one)
		w.untilPhase("a", task.Done, time.Minute)
		record, err := w.frontend.Submit(w.ctx, one)
		require.NoError(t, err)
		require.Equal(t, task.Done, record.Phase)
		other := one
		other.Command = []byte("{}")
		_, err = w.frontend.Submit(w.ctx, other)
		require.ErrorIs(t, err, task.ErrOtherTask)
		require.Len(t, w.tasks.Trace("a"), 1)
	})
}

// TestSubmitFaults guards against a task that is refused as not run and runs, or is acknowledged and lost (P4, P9).
func TestSubmitFaults(t *testing.T) {
	tests := map[string]struct {
		switches standin.Switches
		outcome  acaciatally.Outcome
		runs     bool
	}{
		"table down":                   {switches: standin.Switches{Down: true}, outcome: acaciatally.NotRun},
		"one answer lost":              {switches: standin.Switches{LoseCommitAnswers: 1}, runs: true},
		"platform slow":                {switches: standin.Switches{Delay: time.Second}, runs: true},
		"commits land late":            {switches: standin.Switches{Delay: 6 * time.Second, LateCommits: true}, outcome: acaciatally.Unknown, runs: true},
		"every call too slow, no late": {switches: standin.Switches{Delay: 6 * time.Second}, outcome: acaciatally.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1)
				w.faults.Set(test.switches)
				_, err := w.frontend.Submit(w.ctx, spec("a", uses(1, 1, time.Second)))
				var refused *acaciatally.Refusal
				if test.outcome == "" {
					require.NoError(t, err)
				} else {
					require.ErrorAs(t, err, &refused)
					require.Equal(t, test.outcome, refused.Outcome)
				}
				w.faults.Set(standin.Switches{})
				w.control("entry-1")
				time.Sleep(2 * time.Minute)
				require.Equal(t, test.runs, len(w.tasks.Trace("a")) == 1)
			})
		})
	}
}

// TestCancellationWave guards against a wave of cancellations that uses up the platform's writes, or leaves cancelled work running.
func TestCancellationWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10)
		w.control("entry-1")
		specs := batch("wave", 1000, func(int) task.Spec { return spec("", uses(4, 8, time.Hour)) })
		w.submit(specs...)
		time.Sleep(time.Minute)
		placed := w.phases(specs)[task.Placed]
		require.Greater(t, placed, 100)
		before := w.faults.Counters()
		errs := make(chan error, len(specs))
		for _, one := range specs {
			go func() { _, err := w.frontend.Cancel(w.ctx, one.Team, one.ID); errs <- err }()
		}
		for range specs {
			require.NoError(t, <-errs)
		}
		time.Sleep(30 * time.Second)
		spent := w.faults.Counters().Sub(before)
		require.Equal(t, map[task.Phase]int{task.Cancelled: len(specs)}, w.phases(specs))
		// Beyond the cancelled rows there are the renewals of the pool's lease, once in 3 s.
		require.LessOrEqual(t, spent.RowsWritten, len(specs)+15)
		require.LessOrEqual(t, spent.Writes, len(specs)/100+placed+30)
		for _, one := range specs {
			for _, trace := range w.tasks.Trace(one.ID) {
				require.Equal(t, acaciatally.TaskStopped, trace.State)
			}
		}
		t.Logf("%d placed, %d rows written, %d calls that write, %d reads", placed, spent.RowsWritten, spent.Writes, spent.Reads)
	})
}

// TestCancelOthers guards against a team that cancels or sees another team's task, and against a cancellation after the end.
func TestCancelOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		w.submit(spec("a", uses(1, 1, time.Second)))
		_, err := w.frontend.Cancel(w.ctx, "archive", "a")
		require.ErrorIs(t, err, task.ErrNoTask)
		_, err = w.frontend.Show(w.ctx, "archive", "a")
		require.ErrorIs(t, err, task.ErrNoTask)
		w.untilPhase("a", task.Done, time.Minute)
		record, err := w.frontend.Cancel(w.ctx, "survey", "a")
		require.NoError(t, err)
		require.Equal(t, task.Done, record.Phase)
	})
}

// TestStopLost guards against a cancelled attempt that runs on for longer than its lease because the order to stop it was lost.
func TestStopLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		w.submit(spec("a", uses(1, 1, time.Hour)))
		w.untilPhase("a", task.Placed, time.Minute)
		w.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
		_, err := w.frontend.Cancel(w.ctx, "survey", "a")
		require.NoError(t, err)
		time.Sleep(time.Second)
		w.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{})
		w.until(time.Minute, func() bool { return w.tasks.Trace("a")[0].State == acaciatally.TaskStopped })
	})
}

// TestValidate guards against a submission that could not be carried or placed.
func TestValidate(t *testing.T) {
	tests := map[string]func(s *task.Spec){
		"no id":            func(s *task.Spec) { s.ID = "" },
		"path in the id":   func(s *task.Spec) { s.ID = "a/b" },
		"no team":          func(s *task.Spec) { s.Team = "" },
		"path in the pool": func(s *task.Spec) { s.Pool = "a/b" },
		"long kind":        func(s *task.Spec) { s.Kind = string(make([]byte, 65)) },
		"unknown urgency":  func(s *task.Spec) { s.Urgency = 7 },
		"large command":    func(s *task.Spec) { s.Command = make([]byte, task.MaxCommand+1) },
		"no processors":    func(s *task.Spec) { s.Declared.Processors = 0 },
		"no memory":        func(s *task.Spec) { s.Declared.Memory = 0 },
		"accelerators":     func(s *task.Spec) { s.Declared.Accelerators = -1 },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			one := spec("a", uses(1, 1, time.Second))
			require.NoError(t, one.Validate())
			spoil(&one)
			var invalid *task.InvalidSpecError
			require.ErrorAs(t, one.Validate(), &invalid)
		})
	}
}
