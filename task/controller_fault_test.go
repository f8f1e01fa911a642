package task_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// interruptingPlatform is a controller's connection to the platform, which kills or freezes the controller at a chosen call.
type interruptingPlatform struct {
	*standin.Faults
	interruption
	mu    sync.Mutex
	calls int
	dead  bool
}

type interruption struct {
	callNumber  int           // number of the interrupted call, counted from 1; 0 for none
	afterEffect bool          // interrupts after the call took effect
	freezeTime  time.Duration // how long the controller is frozen; 0 kills it
}

var errKilled = fmt.Errorf("killed: %w", context.Canceled)

// call counts a call and interrupts the controller at the chosen one; the call of a frozen controller is sent when it resumes.
func (i *interruptingPlatform) call(effect func() error) error {
	i.mu.Lock()
	i.calls++
	interrupts := i.calls == i.callNumber
	dead := i.dead
	i.dead = dead || (interrupts && i.freezeTime == 0)
	i.mu.Unlock()
	switch {
	case dead:
		return errKilled
	case !interrupts:
		return effect()
	case i.afterEffect:
		err := effect()
		time.Sleep(i.freezeTime)
		if i.freezeTime == 0 {
			return errKilled
		}
		return err
	case i.freezeTime == 0:
		return errKilled
	}
	time.Sleep(i.freezeTime)
	return effect()
}

func (i *interruptingPlatform) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	err = i.call(func() error {
		version, err = i.Faults.Commit(context.WithoutCancel(ctx), transaction)
		return err
	})
	return version, err
}

func (i *interruptingPlatform) Start(ctx context.Context, lease acaciatally.TaskLease) error {
	return i.call(func() error { return i.Faults.Start(context.WithoutCancel(ctx), lease) })
}

func (i *interruptingPlatform) Renew(ctx context.Context, name string, attempt int, expires time.Time) error {
	return i.call(func() error { return i.Faults.Renew(context.WithoutCancel(ctx), name, attempt, expires) })
}

func (i *interruptingPlatform) Checkpoint(ctx context.Context, name string, attempt int) error {
	return i.call(func() error { return i.Faults.Checkpoint(context.WithoutCancel(ctx), name, attempt) })
}

func (i *interruptingPlatform) Throttle(ctx context.Context, name string, attempt int, share float64) error {
	return i.call(func() error { return i.Faults.Throttle(context.WithoutCancel(ctx), name, attempt, share) })
}

func (i *interruptingPlatform) Stop(ctx context.Context, name string, attempt int) error {
	return i.call(func() error { return i.Faults.Stop(context.WithoutCancel(ctx), name, attempt) })
}

// TestControllerInterrupted guards against a task that is lost, run twice or left unknown because its controller was killed or frozen
// between any two of its writes.
func TestControllerInterrupted(t *testing.T) {
	tests := map[string]interruption{
		"killed before the effect": {},
		"killed after the effect":  {afterEffect: true},
		"frozen before the effect": {freezeTime: 45 * time.Second},
		"frozen after the effect":  {freezeTime: 45 * time.Second, afterEffect: true},
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			for at := 1; at <= 24; at++ {
				synctest.Test(t, func(t *testing.T) {
					runInterrupted(t, interruption{callNumber: at, afterEffect: kind.afterEffect, freezeTime: kind.freezeTime})
				})
			}
		})
	}
}

func runInterrupted(t *testing.T, kind interruption) {
	p := newTestPool(t, 3)
	p.interval = time.Second
	platform := &interruptingPlatform{Faults: p.faults, interruption: kind}
	first := p.newRunner("entry-1", platform, platform)
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() { _ = first.Run(ctx) }()
	specs := submitMixedTasks(p)
	time.Sleep(20 * time.Second)
	p.startController("entry-2")
	p.setState("chamber-1", task.Draining)
	for _, taskSpec := range specs {
		record := p.waitForPhase(taskSpec.ID, task.Done, 10*time.Minute)
		require.NotEmpty(t, record.Decisions)
		if !taskSpec.Idempotent {
			p.requireNoRepeatedWork(taskSpec.ID)
		}
	}
	require.Zero(t, p.tasks.MaxOveruse())
}

// leaseTakeover lets another process take the pool's lease just before the controller's first write of a task.
type leaseTakeover struct {
	*standin.Faults
	taken atomic.Bool
}

func (l *leaseTakeover) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	if len(transaction.Writes) > 1 && l.taken.CompareAndSwap(false, true) {
		row := []byte(`{"Holder":"entry-2","Epoch":2,"Expires":"2100-01-01T00:00:00Z"}`)
		_, err = l.Faults.Commit(ctx, acaciatally.Transaction{Writes: []acaciatally.Write{{Key: leaseKey, Value: row}}})
		if err != nil {
			return 0, err
		}
	}
	return l.Faults.Commit(ctx, transaction)
}

// TestLeaseTakenOver guards against a controller that writes after another one has taken its lease.
func TestLeaseTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		table := &leaseTakeover{Faults: p.faults}
		runner := p.newRunner("entry-1", table, table)
		go func() { _ = runner.Run(p.ctx) }()
		p.submit(spec("a", uses(1, 1, time.Second)))
		time.Sleep(time.Minute)
		require.True(t, table.taken.Load())
		require.Equal(t, task.Waiting, p.record("a").Phase)
		require.Empty(t, p.tasks.Trace("a"))
	})
}

// TestTakeoverWithoutReports guards against a new controller that ends an attempt whose lease the previous one had renewed.
func TestTakeoverWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		stop := p.startController("entry-1")
		once := spec("once", uses(1, 1, 100*time.Second))
		once.Idempotent = false
		p.submit(once)
		time.Sleep(70 * time.Second)
		stop()
		p.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
		p.startController("entry-2")
		time.Sleep(55 * time.Second)
		p.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{})
		time.Sleep(10 * time.Second)
		require.Equal(t, task.Done, p.record("once").Phase)
	})
}

// TestThrottleAfterTakeover guards against an attempt that stays throttled because the controller that throttled it was replaced.
func TestThrottleAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		stop := p.startController("entry-1")
		p.submit(spec("a", uses(60, 8, time.Minute)))
		p.waitForPhase("a", task.Placed, 10*time.Second)
		time.Sleep(time.Second)
		stop()
		require.NoError(t, p.tasks.Throttle(t.Context(), "a", 1, 0.1))
		p.startController("entry-2")
		p.waitForPhase("a", task.Done, 2*time.Minute)
		require.Len(t, p.tasks.Trace("a"), 1)
	})
}

// TestStaleView guards against a task that is started from a stale view, in which a draining worker still serves, and against attempts
// that expire in the meantime.
func TestStaleView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		var stale atomic.Bool
		p.fresh = func() bool { return !stale.Load() }
		p.startController("entry-1")
		p.submit(spec("a", uses(1, 1, 5*time.Minute)))
		p.waitForPhase("a", task.Placed, 10*time.Second)
		stale.Store(true)
		p.submit(spec("b", uses(1, 1, time.Second)))
		time.Sleep(4 * time.Minute)
		require.Empty(t, p.tasks.Trace("b"))
		stale.Store(false)
		p.waitForPhase("b", task.Done, time.Minute)
		p.waitForPhase("a", task.Done, 5*time.Minute)
		require.Len(t, p.tasks.Trace("a"), 1)
	})
}
