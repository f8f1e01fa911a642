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

// TestTasksOnWorker guards against stopping an instance on which tasks are running.
func TestTasksOnWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		p.startController("entry-1")
		specs := batch("many", 600, func(int) task.Spec { return spec("", uses(0.1, 1, time.Hour)) })
		once := spec("once", uses(1, 1, 2*time.Minute))
		p.submit(once)
		p.waitForPhase("once", task.Placed, time.Minute)
		p.submit(specs...)
		for _, taskSpec := range specs {
			_, err := p.frontend.Cancel(p.ctx, taskSpec.Team, taskSpec.ID)
			require.NoError(t, err)
		}
		p.setState("chamber-1", task.Draining)
		ids, err := task.TasksOnWorker(p.ctx, p.table, poolName, "chamber-1")
		require.NoError(t, err)
		require.Equal(t, []string{"once"}, ids)
		p.waitForPhase("once", task.Done, 3*time.Minute)
		ids, err = task.TasksOnWorker(p.ctx, p.table, poolName, "chamber-1")
		require.NoError(t, err)
		require.Empty(t, ids)
		p.faults.Set(standin.Switches{Down: true})
		_, err = task.TasksOnWorker(p.ctx, p.faults, poolName, "chamber-1")
		require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	})
}
