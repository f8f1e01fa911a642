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

// TestSubmitTwice guards against a repeated submission that creates a second task or replaces another task with the same ID.
func TestSubmitTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		taskSpec := spec("a", uses(1, 1, time.Second))
		p.submit(taskSpec, taskSpec, taskSpec)
		p.waitForPhase("a", task.Done, time.Minute)
		record, err := p.frontend.Submit(p.ctx, taskSpec)
		require.NoError(t, err)
		require.Equal(t, task.Done, record.Phase)
		other := taskSpec
		other.Command = []byte("{}")
		_, err = p.frontend.Submit(p.ctx, other)
		require.ErrorIs(t, err, task.ErrTaskIDInUse)
		require.Len(t, p.tasks.Trace("a"), 1)
	})
}

// TestSubmitFaults guards against a task that is refused as not run but runs, and one that is acknowledged but lost.
func TestSubmitFaults(t *testing.T) {
	tests := map[string]struct {
		switches standin.Switches
		outcome  acaciatally.Outcome
		runs     bool
	}{
		"table down":               {switches: standin.Switches{Down: true}, outcome: acaciatally.NotRun},
		"one commit response lost": {switches: standin.Switches{LoseCommitAnswers: 1}, runs: true},
		"platform slow":            {switches: standin.Switches{Delay: time.Second}, runs: true},
		"commits take effect late": {switches: standin.Switches{Delay: 6 * time.Second, LateCommits: true}, outcome: acaciatally.Unknown, runs: true},
		"every call times out":     {switches: standin.Switches{Delay: 6 * time.Second}, outcome: acaciatally.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(t, 1)
				p.faults.Set(test.switches)
				_, err := p.frontend.Submit(p.ctx, spec("a", uses(1, 1, time.Second)))
				var refused *acaciatally.Refusal
				if test.outcome == "" {
					require.NoError(t, err)
				} else {
					require.ErrorAs(t, err, &refused)
					require.Equal(t, test.outcome, refused.Outcome)
				}
				p.faults.Set(standin.Switches{})
				p.startController("entry-1")
				time.Sleep(2 * time.Minute)
				require.Equal(t, test.runs, len(p.tasks.Trace("a")) == 1)
			})
		})
	}
}

// TestMassCancellation guards against a batch of cancellations that uses up the platform's budget of writes or leaves cancelled work
// running.
func TestMassCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 10)
		p.startController("entry-1")
		specs := batch("wave", 1000, func(int) task.Spec { return spec("", uses(4, 8, time.Hour)) })
		p.submit(specs...)
		time.Sleep(time.Minute)
		placed := p.phases(specs)[task.Placed]
		require.Greater(t, placed, 100)
		before := p.faults.Counters()
		errs := make(chan error, len(specs))
		for _, taskSpec := range specs {
			go func() { _, err := p.frontend.Cancel(p.ctx, taskSpec.Team, taskSpec.ID); errs <- err }()
		}
		for range specs {
			require.NoError(t, <-errs)
		}
		time.Sleep(30 * time.Second)
		spent := p.faults.Counters().Sub(before)
		require.Equal(t, map[task.Phase]int{task.Cancelled: len(specs)}, p.phases(specs))
		// Besides the cancelled rows, the pool's lease is renewed once every 3 s.
		require.LessOrEqual(t, spent.RowsWritten, len(specs)+15)
		require.LessOrEqual(t, spent.Writes, len(specs)/100+placed+30)
		for _, taskSpec := range specs {
			for _, trace := range p.tasks.Trace(taskSpec.ID) {
				require.Equal(t, acaciatally.TaskStopped, trace.State)
			}
		}
		t.Logf("%d placed, %d rows written, %d calls that write, %d reads", placed, spent.RowsWritten, spent.Writes, spent.Reads)
	})
}

// TestCancelOtherTeam guards against a team that cancels or sees another team's task, and against the cancellation of an ended task.
func TestCancelOtherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		p.submit(spec("a", uses(1, 1, time.Second)))
		_, err := p.frontend.Cancel(p.ctx, "archive", "a")
		require.ErrorIs(t, err, task.ErrTaskNotFound)
		_, err = p.frontend.Show(p.ctx, "archive", "a")
		require.ErrorIs(t, err, task.ErrTaskNotFound)
		p.waitForPhase("a", task.Done, time.Minute)
		record, err := p.frontend.Cancel(p.ctx, "survey", "a")
		require.NoError(t, err)
		require.Equal(t, task.Done, record.Phase)
	})
}

// TestLostStopOrder guards against a cancelled attempt that runs on for longer than its lease because its stop order was lost.
func TestLostStopOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		p.submit(spec("a", uses(1, 1, time.Hour)))
		p.waitForPhase("a", task.Placed, time.Minute)
		p.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
		_, err := p.frontend.Cancel(p.ctx, "survey", "a")
		require.NoError(t, err)
		time.Sleep(time.Second)
		p.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{})
		p.waitFor(time.Minute, func() bool { return p.tasks.Trace("a")[0].State == acaciatally.TaskStopped })
	})
}

// TestValidate guards against a submission that cannot be stored or placed.
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
	for name, makeInvalid := range tests {
		t.Run(name, func(t *testing.T) {
			taskSpec := spec("a", uses(1, 1, time.Second))
			require.NoError(t, taskSpec.Validate())
			makeInvalid(&taskSpec)
			var invalid *task.InvalidSpecError
			require.ErrorAs(t, taskSpec.Validate(), &invalid)
		})
	}
}
