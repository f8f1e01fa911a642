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

// interrupter is a controller's way to the platform, on which the controller is killed or frozen at a chosen call.
type interrupter struct {
	*standin.Faults
	interruption
	mu    sync.Mutex
	calls int
	dead  bool
}

type interruption struct {
	at     int           // number of the call; 0 for none
	after  bool          // it follows the effect of the call
	freeze time.Duration // 0 kills
}

var errKilled = fmt.Errorf("killed: %w", context.Canceled)

// pass counts a write and interrupts the controller at the chosen one; a frozen controller's call arrives when it wakes up.
func (i *interrupter) pass(effect func() error) error {
	i.mu.Lock()
	i.calls++
	hit := i.calls == i.at
	dead := i.dead
	i.dead = dead || (hit && i.freeze == 0)
	i.mu.Unlock()
	switch {
	case dead:
		return errKilled
	case !hit:
		return effect()
	case i.after:
		err := effect()
		time.Sleep(i.freeze)
		if i.freeze == 0 {
			return errKilled
		}
		return err
	case i.freeze == 0:
		return errKilled
	}
	time.Sleep(i.freeze)
	return effect()
}

func (i *interrupter) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	err = i.pass(func() error {
		version, err = i.Faults.Commit(context.WithoutCancel(ctx), transaction)
		return err
	})
	return version, err
}

func (i *interrupter) Start(ctx context.Context, lease acaciatally.TaskLease) error {
	return i.pass(func() error { return i.Faults.Start(context.WithoutCancel(ctx), lease) })
}

func (i *interrupter) Renew(ctx context.Context, name string, attempt int, expires time.Time) error {
	return i.pass(func() error { return i.Faults.Renew(context.WithoutCancel(ctx), name, attempt, expires) })
}

func (i *interrupter) Checkpoint(ctx context.Context, name string, attempt int) error {
	return i.pass(func() error { return i.Faults.Checkpoint(context.WithoutCancel(ctx), name, attempt) })
}

func (i *interrupter) Throttle(ctx context.Context, name string, attempt int, share float64) error {
	return i.pass(func() error { return i.Faults.Throttle(context.WithoutCancel(ctx), name, attempt, share) })
}

func (i *interrupter) Stop(ctx context.Context, name string, attempt int) error {
	return i.pass(func() error { return i.Faults.Stop(context.WithoutCancel(ctx), name, attempt) })
}

// eventful is a pool whose controller has to place, vacate, resume and end tasks of each sort.
func eventful(w *world) (specs []task.Spec) {
	resumes := uses(4, 8, 2*time.Minute)
	resumes.Checkpoints = true
	for i, idempotent := range []bool{true, false} {
		plain := spec(fmt.Sprintf("plain-%d", i), uses(2, 4, 90*time.Second))
		long := spec(fmt.Sprintf("long-%d", i), resumes)
		plain.Idempotent, long.Idempotent = idempotent, idempotent
		specs = append(specs, plain, long)
	}
	w.submit(specs...)
	return specs
}

// TestControllerInterrupted guards against a task that is lost, run twice or left unknown because its controller was killed or frozen
// between any two of its writes (P5, P9).
func TestControllerInterrupted(t *testing.T) {
	tests := map[string]interruption{
		"killed before the effect": {},
		"killed after the effect":  {after: true},
		"frozen before the effect": {freeze: 45 * time.Second},
		"frozen after the effect":  {freeze: 45 * time.Second, after: true},
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			for at := 1; at <= 24; at++ {
				synctest.Test(t, func(t *testing.T) { interrupted(t, interruption{at: at, after: kind.after, freeze: kind.freeze}) })
			}
		})
	}
}

func interrupted(t *testing.T, kind interruption) {
	w := newWorld(t, 3)
	w.round = time.Second
	way := &interrupter{Faults: w.faults, interruption: kind}
	first := w.runnerOver("entry-1", way, way)
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	go func() { _ = first.Run(ctx) }()
	specs := eventful(w)
	time.Sleep(20 * time.Second)
	w.control("entry-2")
	w.setState("chamber-1", task.Leaving)
	for _, one := range specs {
		record := w.untilPhase(one.ID, task.Done, 10*time.Minute)
		require.NotEmpty(t, record.Decisions)
		if !one.Idempotent {
			w.requireSingleEffect(one.ID)
		}
	}
	require.Zero(t, w.tasks.Excess())
}

// TestDrain guards against a worker that leaves with tasks on it, and against a second run of what a checkpoint covers.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		specs := eventful(w)
		time.Sleep(30 * time.Second)
		w.setState("chamber-1", task.Leaving)
		w.addWorker("chamber-2", workerSize)
		w.until(20*time.Second, func() bool { return len(w.tasks.Trace("long-1")) == 2 && len(w.tasks.Trace("long-0")) == 2 })
		for _, one := range specs {
			w.untilPhase(one.ID, task.Done, 5*time.Minute)
			w.requireSingleEffect(one.ID)
		}
		require.Len(t, w.tasks.Trace("plain-1"), 1)
	})
}

// TestLapse guards against a non-idempotent task that is run again after its lease lapsed while nothing was heard of its worker, and
// against an idempotent one that is not.
func TestLapse(t *testing.T) {
	tests := map[string]func(w *world, stop func()){
		"worker falls silent": func(w *world, _ func()) {
			w.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
			w.addWorker("chamber-2", workerSize)
		},
		"worker crashes": func(w *world, _ func()) {
			w.tasks.Crash("chamber-1")
			w.setState("chamber-1", task.Gone)
			w.addWorker("chamber-2", workerSize)
		},
		"no controller for a while": func(w *world, stop func()) {
			stop()
			time.Sleep(5 * time.Minute)
			w.control("entry-2")
		},
		"task leases down": func(w *world, _ func()) {
			w.faults.Set(standin.Switches{Down: true})
			time.Sleep(5 * time.Minute)
			w.faults.Set(standin.Switches{})
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1)
				stop := w.control("entry-1")
				again, once := spec("again", uses(1, 1, 3*time.Minute)), spec("once", uses(1, 1, 3*time.Minute))
				once.Idempotent = false
				w.submit(again, once)
				time.Sleep(10 * time.Second)
				fault(w, stop)
				w.untilPhase("again", task.Done, 10*time.Minute)
				record := w.untilPhase("once", task.Unknown, 10*time.Minute)
				require.Contains(t, record.Reason, "not idempotent")
				time.Sleep(10 * time.Minute)
				require.Len(t, w.tasks.Trace("once"), 1)
				require.Len(t, w.tasks.Trace("again"), 2)
			})
		})
	}
}

// TestTableDown guards against tasks that are lost, doubled or ended because the table was down for an hour while they ran.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		table := standin.NewFaults(standin.FaultsConfig{Table: w.table})
		runner := w.runnerOver("entry-1", table, w.faults)
		go func() { _ = runner.Run(w.ctx) }()
		specs := batch("long", 20, func(i int) task.Spec {
			one := spec("", uses(8, 8, 40*time.Minute))
			one.Idempotent = i%2 == 0
			return one
		})
		w.submit(specs...)
		time.Sleep(time.Minute)
		table.Set(standin.Switches{Down: true})
		time.Sleep(time.Hour)
		require.NotZero(t, w.phases(specs)[task.Placed])
		table.Set(standin.Switches{})
		took := w.untilDone(specs, 2*time.Hour)
		t.Logf("took %v after the outage", took)
		for _, one := range specs {
			require.Len(t, w.tasks.Trace(one.ID), 1)
		}
	})
}

// TestLostAnswers guards against a start that is ordered twice, or never, because answers of commits were lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.control("entry-1")
		for i := range 10 {
			w.faults.Set(standin.Switches{LoseCommitAnswers: 3})
			one := spec(fmt.Sprintf("once-%d", i), uses(1, 1, 5*time.Second))
			one.Idempotent = false
			w.submit(one)
			w.untilPhase(one.ID, task.Done, 2*time.Minute)
			require.Len(t, w.tasks.Trace(one.ID), 1)
		}
	})
}

// usurper has another process take the pool's lease just before the controller's first write of a task.
type usurper struct {
	*standin.Faults
	done atomic.Bool
}

func (u *usurper) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	if len(transaction.Writes) > 1 && u.done.CompareAndSwap(false, true) {
		row := []byte(`{"Holder":"entry-2","Epoch":2,"Expires":"2100-01-01T00:00:00Z"}`)
		_, err = u.Faults.Commit(ctx, acaciatally.Transaction{Writes: []acaciatally.Write{{Key: leaseKey, Value: row}}})
		if err != nil {
			return 0, err
		}
	}
	return u.Faults.Commit(ctx, transaction)
}

// TestFenced guards against a controller that writes after another one has taken its lease.
func TestFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		way := &usurper{Faults: w.faults}
		runner := w.runnerOver("entry-1", way, way)
		go func() { _ = runner.Run(w.ctx) }()
		w.submit(spec("a", uses(1, 1, time.Second)))
		time.Sleep(time.Minute)
		require.True(t, way.done.Load())
		require.Equal(t, task.Waiting, w.record("a").Phase)
		require.Empty(t, w.tasks.Trace("a"))
	})
}

// TestTakeoverInSilence guards against a new controller that gives up an attempt whose lease the last one had renewed.
func TestTakeoverInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		stop := w.control("entry-1")
		once := spec("once", uses(1, 1, 100*time.Second))
		once.Idempotent = false
		w.submit(once)
		time.Sleep(70 * time.Second)
		stop()
		w.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{Silent: true})
		w.control("entry-2")
		time.Sleep(55 * time.Second)
		w.tasks.SetFaults("chamber-1", standin.TaskWorkerFaults{})
		time.Sleep(10 * time.Second)
		require.Equal(t, task.Done, w.record("once").Phase)
	})
}

// TestLeasesDown guards against an attempt that is given up because no report of any attempt came for a while.
func TestLeasesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		leases := standin.NewFaults(standin.FaultsConfig{Leases: w.tasks})
		runner := w.runnerOver("entry-1", w.faults, leases)
		go func() { _ = runner.Run(w.ctx) }()
		once := spec("once", uses(1, 1, 30*time.Second))
		once.Idempotent = false
		w.submit(once)
		time.Sleep(10 * time.Second)
		leases.Set(standin.Switches{Down: true})
		time.Sleep(5 * time.Minute)
		leases.Set(standin.Switches{})
		w.untilPhase("once", task.Done, time.Minute)
	})
}

// TestStaleView guards against a task that is started on the strength of a stale view, on which a leaving worker still serves, and
// against attempts that lapse in the meantime (P6).
func TestStaleView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		var stale atomic.Bool
		w.fresh = func() bool { return !stale.Load() }
		w.control("entry-1")
		w.submit(spec("a", uses(1, 1, 5*time.Minute)))
		w.untilPhase("a", task.Placed, 10*time.Second)
		stale.Store(true)
		w.submit(spec("b", uses(1, 1, time.Second)))
		time.Sleep(4 * time.Minute)
		require.Empty(t, w.tasks.Trace("b"))
		stale.Store(false)
		w.untilPhase("b", task.Done, time.Minute)
		w.untilPhase("a", task.Done, 5*time.Minute)
		require.Len(t, w.tasks.Trace("a"), 1)
	})
}

// TestOnWorker guards against a stop of an instance on which tasks are running (P7).
func TestOnWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		specs := batch("many", 600, func(int) task.Spec { return spec("", uses(0.1, 1, time.Hour)) })
		once := spec("once", uses(1, 1, 2*time.Minute))
		w.submit(once)
		w.untilPhase("once", task.Placed, time.Minute)
		w.submit(specs...)
		for _, one := range specs {
			_, err := w.frontend.Cancel(w.ctx, one.Team, one.ID)
			require.NoError(t, err)
		}
		w.setState("chamber-1", task.Leaving)
		ids, err := task.OnWorker(w.ctx, w.table, pool, "chamber-1")
		require.NoError(t, err)
		require.Equal(t, []string{"once"}, ids)
		w.untilPhase("once", task.Done, 3*time.Minute)
		ids, err = task.OnWorker(w.ctx, w.table, pool, "chamber-1")
		require.NoError(t, err)
		require.Empty(t, ids)
		w.faults.Set(standin.Switches{Down: true})
		_, err = task.OnWorker(w.ctx, w.faults, pool, "chamber-1")
		require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	})
}

// TestMovedWorker guards against a task that is given up, or run again, because its worker was moved to another pool.
func TestMovedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.control("entry-1")
		specs := eventful(w)
		time.Sleep(30 * time.Second)
		w.removeWorker("chamber-1")
		w.addWorker("chamber-2", workerSize)
		for _, one := range specs {
			w.untilPhase(one.ID, task.Done, 10*time.Minute)
			require.Len(t, w.tasks.Trace(one.ID), 1)
		}
	})
}

// TestThrottleForgotten guards against an attempt that stays throttled for ever because the controller that throttled it died.
func TestThrottleForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		stop := w.control("entry-1")
		w.submit(spec("a", uses(60, 8, time.Minute)))
		w.untilPhase("a", task.Placed, 10*time.Second)
		time.Sleep(time.Second)
		stop()
		require.NoError(t, w.tasks.Throttle(t.Context(), "a", 1, 0.1))
		w.control("entry-2")
		w.untilPhase("a", task.Done, 2*time.Minute)
		require.Len(t, w.tasks.Trace("a"), 1)
	})
}
