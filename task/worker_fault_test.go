package task_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// TestDrainWorker guards against a drained worker that keeps its tasks, and against repeating work that a checkpoint covers.
func TestDrainWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		specs := submitMixedTasks(p)
		time.Sleep(30 * time.Second)
		p.setState("chamber-1", task.Draining)
		p.addWorker("chamber-2", workerSize)
		p.waitFor(20*time.Second, func() bool { return len(p.tasks.Trace("long-1")) == 2 && len(p.tasks.Trace("long-0")) == 2 })
		for _, taskSpec := range specs {
			p.waitForPhase(taskSpec.ID, task.Done, 5*time.Minute)
			p.requireNoRepeatedWork(taskSpec.ID)
		}
		require.Len(t, p.tasks.Trace("plain-1"), 1)
	})
}

// TestMovedWorker guards against a task that is ended as lost or run again because its worker was moved to another pool.
func TestMovedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		specs := submitMixedTasks(p)
		time.Sleep(30 * time.Second)
		p.removeWorker("chamber-1")
		p.addWorker("chamber-2", workerSize)
		for _, taskSpec := range specs {
			p.waitForPhase(taskSpec.ID, task.Done, 10*time.Minute)
			require.Len(t, p.tasks.Trace(taskSpec.ID), 1)
		}
	})
}

// TestLeaseExpiry guards against a non-idempotent task that is run again after its lease expired without reports, and against an
// idempotent one that is not.
func TestLeaseExpiry(t *testing.T) {
	tests := map[string]func(p *testPool, stop func()){
		"worker stops reporting": func(p *testPool, _ func()) {
			p.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
			p.addWorker("chamber-2", workerSize)
		},
		"worker crashes": func(p *testPool, _ func()) {
			p.tasks.Crash("chamber-1")
			p.setState("chamber-1", task.Unavailable)
			p.addWorker("chamber-2", workerSize)
		},
		"no controller for 5 minutes": func(p *testPool, stop func()) {
			stop()
			time.Sleep(5 * time.Minute)
			p.startController("entry-2")
		},
		"platform down": func(p *testPool, _ func()) {
			p.faults.Set(standin.Switches{Down: true})
			time.Sleep(5 * time.Minute)
			p.faults.Set(standin.Switches{})
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(t, 1)
				stop := p.startController("entry-1")
				again, once := spec("again", uses(1, 1, 3*time.Minute)), spec("once", uses(1, 1, 3*time.Minute))
				once.Idempotent = false
				p.submit(again, once)
				time.Sleep(10 * time.Second)
				fault(p, stop)
				p.waitForPhase("again", task.Done, 10*time.Minute)
				record := p.waitForPhase("once", task.Unknown, 10*time.Minute)
				require.Contains(t, record.Reason, "not idempotent")
				time.Sleep(10 * time.Minute)
				require.Len(t, p.tasks.Trace("once"), 1)
				require.Len(t, p.tasks.Trace("again"), 2)
			})
		})
	}
}
