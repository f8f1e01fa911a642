package task_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/task"
)

// fullPool is a pool without workers whose controllers have memory for ten tasks with large commands.
func fullPool(t *testing.T) *testPool {
	p := newTestPool(t, 0)
	p.maxBytes = 10 * largeCommand
	return p
}

const largeCommand = 50_000 // bytes

// largeTask is a task with a large command that runs for a moment.
func largeTask(number int) task.Spec {
	large := spec(fmt.Sprintf("t-%03d", number), uses(1, 1, time.Second))
	large.Command = append(large.Command, make([]byte, largeCommand)...)
	for i := len(large.Command) - largeCommand; i < len(large.Command); i++ {
		large.Command[i] = ' ' // after the JSON of the profile
	}
	return large
}

// submitLarge submits tasks one after the other, and returns those that were accepted; the others have to be refused as not run.
func (p *testPool) submitLarge(count int) (accepted []task.Spec) {
	p.t.Helper()
	for number := range count {
		_, err := p.frontend.Submit(p.ctx, largeTask(number))
		if err == nil {
			accepted = append(accepted, largeTask(number))
		} else {
			var refused *acaciatally.Refusal
			require.True(p.t, errors.As(err, &refused), err)
			require.Equal(p.t, acaciatally.NotRun, refused.Outcome)
			require.Positive(p.t, refused.RetryAfter)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return accepted
}

// TestFullPool guards against tasks that take more and more memory of the pool's controller: beyond its limit they are refused, a repeated
// submission is answered as before, and what was accepted runs once there are workers.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fullPool(t)
		p.startController("entry-1")
		accepted := p.submitLarge(40)
		require.GreaterOrEqual(t, len(accepted), 9)
		require.Less(t, len(accepted), 20)
		record, err := p.frontend.Submit(p.ctx, accepted[0])
		require.NoError(t, err, "accepted before")
		require.Equal(t, task.Waiting, record.Phase)
		p.addWorker("chamber-1", workerSize)
		p.waitForDone(accepted, 5*time.Minute)
		_, err = p.frontend.Submit(p.ctx, largeTask(100))
		require.NoError(t, err, "there is room again")
	})
}

// TestFullPoolTakeover guards against a controller that ends when it takes over more tasks than it has memory for, and against tasks that are
// lost then: those that do not fit go back to the inbox.
func TestFullPoolTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fullPool(t)
		p.maxBytes = 0
		stop := p.startController("entry-1")
		accepted := p.submitLarge(40)
		require.Len(t, accepted, 40)
		stop()
		p.maxBytes = 10 * largeCommand
		p.startController("entry-2")
		time.Sleep(2 * leaseTerm)
		inbox, err := p.table.Scan(p.ctx, "TaskNew/", "", 100)
		require.NoError(t, err)
		require.Len(t, inbox, 30)
		_, err = p.frontend.Submit(p.ctx, largeTask(100))
		require.Error(t, err)
		_, err = p.frontend.Cancel(p.ctx, "survey", accepted[39].ID)
		require.NoError(t, err)
		p.addWorker("chamber-1", workerSize)
		p.waitForDone(accepted[:39], 5*time.Minute)
		require.Equal(t, task.Cancelled, p.record(accepted[39].ID).Phase)
		inbox, err = p.table.Scan(p.ctx, "TaskNew/", "", 100)
		require.NoError(t, err)
		require.Empty(t, inbox)
	})
}

// TestDefaultMaxBytes guards against a limit that holds no task.
func TestDefaultMaxBytes(t *testing.T) {
	require.Zero(t, task.DefaultMaxBytes(0, 3))
	require.Equal(t, int64(10<<20), task.DefaultMaxBytes(100<<20, 2))
	require.Greater(t, task.DefaultMaxBytes(1, 100), int64(task.MaxCommand))
}
