package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// callCounter counts the calls of a runner, which succeed at once.
type callCounter struct {
	acaciatally.RecordStore
	acaciatally.WorkerOrders
	sent atomic.Int64
}

func (c *callCounter) Start(context.Context, acaciatally.Worker, acaciatally.StartOrder) error {
	c.sent.Add(1)
	return nil
}

func (c *callCounter) Commit(context.Context, acaciatally.RecordTransaction) (uint64, error) {
	c.sent.Add(1)
	return 2, nil
}

// TestLeadershipExpiry guards against dropping an order or commit while the leader's lease is expired for a moment, which left the
// scheduler waiting for its result until the end of the term of leadership. Orders may be outdated and are decided again; a commit is sent
// later, since its condition protects it.
func TestLeadershipExpiry(t *testing.T) {
	tests := map[string]struct {
		send     func(ctx context.Context, r *Runner)
		wantSent int64
	}{
		"order":  {func(ctx context.Context, r *Runner) { r.order(ctx, Order{Kind: OrderStart}) }, 0},
		"commit": {func(ctx context.Context, r *Runner) { r.commit(ctx, &Commit{}) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leads atomic.Bool
				calls := &callCounter{}
				r := NewRunner(RunnerConfig{Store: calls, Orders: calls, Leads: leads.Load, Now: func() time.Duration { return 0 }})
				go test.send(t.Context(), r)
				time.Sleep(time.Second)
				require.Zero(t, calls.sent.Load())
				leads.Store(true)
				time.Sleep(time.Second)
				require.Equal(t, test.wantSent, calls.sent.Load())
				require.Len(t, r.events, 1, "the result reaches the scheduler")
			})
		})
	}
}

// TestStartRepeatedAfterExpiry guards against treating a run as possibly started although its start order was not sent.
func TestStartRepeatedAfterExpiry(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	scheduler.Plan(0, time.UnixMilli(0))
	commitAll(scheduler, 0)
	order := scheduler.Orders(0)[0]
	scheduler.OrderResult(order, errLeadershipExpired, time.Second)
	again := scheduler.Orders(time.Second)
	require.Len(t, again, 1)
	require.Equal(t, order.Start.RunOrder, again[0].Start.RunOrder)
}

// TestRoundsStarveCalls guards against rounds of decisions that follow each other as soon as an event arrives, however long each takes: with
// a large fleet and a backlog they left no processor time for the orders, renewals and commits that they had decided on.
func TestRoundsStarveCalls(t *testing.T) {
	const (
		roundTime = 10 * time.Millisecond
		duration  = 2 * time.Second
		maxShare  = 0.35
	)
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		inRounds := time.Duration(0)
		r := NewRunner(RunnerConfig{
			Configuration: func() *acaciatally.Configuration { return nil }, Leads: func() bool { return true },
			Now: func() time.Duration { return time.Since(startedAt) },
			Round: func(*Scheduler, time.Duration) {
				time.Sleep(roundTime)
				inRounds += roundTime
			},
		})
		r.allLoaded = true
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		r.runCall(func() {
			for ctx.Err() == nil {
				r.Post(ctx, func() {})
				time.Sleep(time.Millisecond)
			}
		})
		require.NoError(t, r.eventLoop(ctx))
		r.calls.Wait()
		require.Less(t, inRounds.Seconds()/duration.Seconds(), maxShare)
		require.Greater(t, inRounds.Seconds()/duration.Seconds(), maxShare/3, "rounds go on")
	})
}
