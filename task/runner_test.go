package task_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// TestTaskCompletes guards against a task that is accepted and not run, or run without decisions in its row.
func TestTaskCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 2)
		p.startController("entry-1")
		p.submit(spec("a", uses(4, 8, time.Minute)))
		record := p.waitForPhase("a", task.Done, 90*time.Second)
		require.Len(t, p.tasks.Trace("a"), 1)
		require.Equal(t, 8*gibibyte, record.Peak.Memory)
		require.Len(t, record.Decisions, 3)
		require.Contains(t, record.Decisions[1].Reason, "fits on chamber-")
	})
}

func batch(prefix string, count int, build func(i int) task.Spec) (specs []task.Spec) {
	for i := range count {
		taskSpec := build(i)
		taskSpec.ID = fmt.Sprintf("%s-%04d", prefix, i)
		specs = append(specs, taskSpec)
	}
	return specs
}

// TestUrgentDuringBackgroundLoad guards against urgent tasks that wait behind many background tasks.
func TestUrgentDuringBackgroundLoad(t *testing.T) {
	tests := map[string]standin.TaskProfile{
		"processors in use":                       uses(8, 1, time.Hour),
		"memory in use":                           uses(0.5, 32, time.Hour),
		"memory in use by tasks with checkpoints": {Uses: uses(0.5, 32, 0).Uses, Work: time.Hour, Checkpoints: true},
	}
	for name, profile := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(t, 3)
				p.startController("entry-1")
				background := batch("flood", 300, func(int) task.Spec {
					taskSpec := spec("", profile)
					taskSpec.Urgency, taskSpec.Team = acaciatally.Background, "archive"
					return taskSpec
				})
				p.submit(background...)
				time.Sleep(time.Minute)
				urgent := batch("urgent", 6, func(int) task.Spec {
					taskSpec := spec("", uses(8, 32, 10*time.Second))
					taskSpec.Urgency = acaciatally.Urgent
					return taskSpec
				})
				began := time.Now()
				p.submit(urgent...)
				p.waitFor(1700*time.Millisecond, func() bool {
					started := 0
					for _, taskSpec := range urgent {
						started += len(p.tasks.Trace(taskSpec.ID))
					}
					return started == len(urgent)
				})
				t.Logf("all urgent tasks started after %v", time.Since(began))
				for _, taskSpec := range urgent {
					p.waitForPhase(taskSpec.ID, task.Done, time.Minute)
				}
			})
		})
	}
}

// TestWrongDeclarations guards against wrongly declared resources that leave workers idle, or overload them for longer than the first
// reports take.
func TestWrongDeclarations(t *testing.T) {
	tests := map[string]struct {
		factor float64 // of declared to actual resources
		within time.Duration
	}{
		"declared five times too large": {factor: 5, within: 450 * time.Second},
		"declared five times too small": {factor: 0.2, within: 450 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(t, 4)
				p.startController("entry-1")
				// 160 tasks need 1920 cores for 30 s, which takes the pool's 256 cores 225 s; twice that is allowed for learning.
				specs := batch("wrong", 160, func(int) task.Spec {
					taskSpec := spec("", uses(12, 48, 30*time.Second))
					taskSpec.Declared.Processors *= test.factor
					taskSpec.Declared.Memory = int64(float64(taskSpec.Declared.Memory) * test.factor)
					return taskSpec
				})
				p.submit(specs...)
				took := p.waitForDone(specs, test.within)
				attempts := 0
				for _, taskSpec := range specs {
					attempts += len(p.tasks.Trace(taskSpec.ID))
				}
				require.LessOrEqual(t, attempts, len(specs)+len(p.poolView.Workers), "too many attempts ran out of memory")
				t.Logf("took %v, excess %+v, attempts %d", took, p.tasks.MaxOveruse(), attempts)
			})
		})
	}
}

// TestImpossible guards against tasks that can never run but are retried forever or ended without a reason.
func TestImpossible(t *testing.T) {
	failing := uses(1, 1, time.Second)
	failing.Fails = true
	tests := map[string]struct {
		spec      task.Spec
		elsewhere acaciatally.Resources
		phase     task.Phase
		reason    string
	}{
		"larger than any worker": {
			spec: spec("a", uses(80, 8, time.Second)), phase: task.Impossible, reason: "more than any worker of the fleet",
		},
		"fits a worker of another pool": {
			spec: spec("a", uses(80, 8, time.Second)), elsewhere: acaciatally.Resources{Processors: 128, Memory: 512 * gibibyte},
			phase: task.Waiting, reason: "one of another pool is",
		},
		"fails on every worker": {spec: spec("a", failing), phase: task.Impossible, reason: "failed on 3 healthy workers"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(t, 4)
				if test.elsewhere.Processors > 0 {
					p.poolView.OtherPoolCapacities = append(p.poolView.OtherPoolCapacities, test.elsewhere)
				}
				p.startController("entry-1")
				p.submit(test.spec)
				time.Sleep(2 * time.Minute)
				record := p.record("a")
				require.Equal(t, test.phase, record.Phase)
				require.Contains(t, record.Reason, test.reason)
				require.LessOrEqual(t, len(p.tasks.Trace("a")), 3)
			})
		})
	}
}

// TestFailingWorker guards against a worker that fails every task and, because it is always free, attracts more tasks than the others.
func TestFailingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 5)
		p.tasks.SetFaults("chamber-3", standin.TaskWorkerFaults{FailsEverything: true})
		p.startController("entry-1")
		specs := batch("team", 400, func(i int) task.Spec {
			taskSpec := spec("", uses(4, 8, 20*time.Second))
			taskSpec.Team = acaciatally.TeamName(fmt.Sprintf("team-%d", i%8))
			return taskSpec
		})
		p.submit(specs...)
		took := p.waitForDone(specs, 10*time.Minute)
		failed := 0
		for _, taskSpec := range specs {
			for _, trace := range p.tasks.Trace(taskSpec.ID) {
				if trace.State == acaciatally.TaskFailed {
					failed++
				}
			}
		}
		require.Contains(t, p.quarantineReasons["chamber-3"], "without success")
		require.Len(t, p.quarantineReasons, 1)
		// The worker has room for 16 tasks, which may all fail before the first lagged report arrives.
		require.LessOrEqual(t, failed, 24)
		t.Logf("took %v, %d attempts failed", took, failed)
	})
}

// TestFailingWorkerSingleTeam guards against a failing worker that gets each task once because all tasks belong to one team, so that it
// is not quarantined.
func TestFailingWorkerSingleTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 5)
		p.tasks.SetFaults("chamber-3", standin.TaskWorkerFaults{FailsEverything: true})
		p.startController("entry-1")
		specs := batch("one", 200, func(int) task.Spec { return spec("", uses(4, 8, 20*time.Second)) })
		p.submit(specs...)
		p.waitForDone(specs, 10*time.Minute)
		failed := 0
		for _, taskSpec := range specs {
			failed += len(p.tasks.Trace(taskSpec.ID)) - 1
		}
		require.LessOrEqual(t, failed, 24)
	})
}
