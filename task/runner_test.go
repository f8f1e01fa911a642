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

// TestRunsToEnd guards against a task that is accepted and not run, or run without a decision in its row.
func TestRunsToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.control("entry-1")
		w.submit(spec("a", uses(4, 8, time.Minute)))
		record := w.untilPhase("a", task.Done, 90*time.Second)
		require.Len(t, w.tasks.Trace("a"), 1)
		require.Equal(t, 8*gibibyte, record.Peak.Memory)
		require.Len(t, record.Decisions, 3)
		require.Contains(t, record.Decisions[1].Reason, "fits on chamber-")
	})
}

func batch(prefix string, count int, build func(i int) task.Spec) (specs []task.Spec) {
	for i := range count {
		one := build(i)
		one.ID = fmt.Sprintf("%s-%04d", prefix, i)
		specs = append(specs, one)
	}
	return specs
}

// TestUrgentInFlood guards against urgent tasks that wait behind a flood of background tasks.
func TestUrgentInFlood(t *testing.T) {
	tests := map[string]standin.TaskProfile{
		"processors are taken":        uses(8, 1, time.Hour),
		"memory is taken":             uses(0.5, 32, time.Hour),
		"memory is checkpointed away": {Uses: uses(0.5, 32, 0).Uses, Work: time.Hour, Checkpoints: true},
	}
	for name, profile := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				w.control("entry-1")
				flood := batch("flood", 300, func(int) task.Spec {
					one := spec("", profile)
					one.Urgency, one.Team = acaciatally.Background, "archive"
					return one
				})
				w.submit(flood...)
				time.Sleep(time.Minute)
				urgent := batch("urgent", 6, func(int) task.Spec {
					one := spec("", uses(8, 32, 10*time.Second))
					one.Urgency = acaciatally.Urgent
					return one
				})
				began := time.Now()
				w.submit(urgent...)
				w.until(1700*time.Millisecond, func() bool {
					started := 0
					for _, one := range urgent {
						started += len(w.tasks.Trace(one.ID))
					}
					return started == len(urgent)
				})
				t.Logf("all urgent tasks started after %v", time.Since(began))
				for _, one := range urgent {
					w.untilPhase(one.ID, task.Done, time.Minute)
				}
			})
		})
	}
}

// TestWrongSizes guards against wrong declarations that leave workers idle, or overload them for longer than the first reports take.
func TestWrongSizes(t *testing.T) {
	tests := map[string]struct {
		factor float64 // of the declared size to the true one
		within time.Duration
	}{
		"five times too large": {factor: 5, within: 450 * time.Second},
		"five times too small": {factor: 0.2, within: 450 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				w.control("entry-1")
				// 160 tasks need 1920 cores for 30 s, which is 225 s of the pool's 256 cores; twice that is allowed for learning.
				specs := batch("wrong", 160, func(int) task.Spec {
					one := spec("", uses(12, 48, 30*time.Second))
					one.Declared.Processors *= test.factor
					one.Declared.Memory = int64(float64(one.Declared.Memory) * test.factor)
					return one
				})
				w.submit(specs...)
				took := w.untilDone(specs, test.within)
				attempts := 0
				for _, one := range specs {
					attempts += len(w.tasks.Trace(one.ID))
				}
				require.LessOrEqual(t, attempts, len(specs)+len(w.fleet.Workers), "attempts were lost to a lack of memory")
				t.Logf("took %v, excess %+v, attempts %d", took, w.tasks.Excess(), attempts)
			})
		})
	}
}

// TestImpossible guards against tasks that can never run and are tried for ever, or ended without a reason.
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
		"fails everywhere": {spec: spec("a", failing), phase: task.Impossible, reason: "failed on 3 healthy workers"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				if test.elsewhere.Processors > 0 {
					w.fleet.Elsewhere = append(w.fleet.Elsewhere, test.elsewhere)
				}
				w.control("entry-1")
				w.submit(test.spec)
				time.Sleep(2 * time.Minute)
				record := w.record("a")
				require.Equal(t, test.phase, record.Phase)
				require.Contains(t, record.Reason, test.reason)
				require.LessOrEqual(t, len(w.tasks.Trace("a")), 3)
			})
		})
	}
}

// TestBadWorker guards against a worker that fails everything and, being free, attracts more tasks than the others.
func TestBadWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.tasks.SetFaults("chamber-3", standin.TaskWorkerFaults{FailsEverything: true})
		w.control("entry-1")
		specs := batch("team", 400, func(i int) task.Spec {
			one := spec("", uses(4, 8, 20*time.Second))
			one.Team = acaciatally.TeamName(fmt.Sprintf("team-%d", i%8))
			return one
		})
		w.submit(specs...)
		took := w.untilDone(specs, 10*time.Minute)
		failed := 0
		for _, one := range specs {
			for _, trace := range w.tasks.Trace(one.ID) {
				if trace.State == acaciatally.TaskFailed {
					failed++
				}
			}
		}
		require.Contains(t, w.quaran["chamber-3"], "without success")
		require.Len(t, w.quaran, 1)
		// The worker holds 16 tasks, which may all be lost before the first lagged report.
		require.LessOrEqual(t, failed, 24)
		t.Logf("took %v, %d attempts failed", took, failed)
	})
}

// TestBadWorkerOneTeam guards against a worker that fails all tasks of the only team and, being free, gets each of them once.
func TestBadWorkerOneTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.tasks.SetFaults("chamber-3", standin.TaskWorkerFaults{FailsEverything: true})
		w.control("entry-1")
		specs := batch("one", 200, func(int) task.Spec { return spec("", uses(4, 8, 20*time.Second)) })
		w.submit(specs...)
		w.untilDone(specs, 10*time.Minute)
		failed := 0
		for _, one := range specs {
			failed += len(w.tasks.Trace(one.ID)) - 1
		}
		require.LessOrEqual(t, failed, 24)
	})
}
