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

// countedCalls counts what a runner sends, and answers everything at once.
type countedCalls struct {
	acaciatally.RecordStore
	acaciatally.WorkerOrders
	sent atomic.Int64
}

func (c *countedCalls) Start(context.Context, acaciatally.Worker, acaciatally.StartOrder) error {
	c.sent.Add(1)
	return nil
}

func (c *countedCalls) Commit(context.Context, acaciatally.RecordTransaction) (uint64, error) {
	c.sent.Add(1)
	return 2, nil
}

// TestRightLapses guards against a run or a record that is waited for until the end of a tenure, since its order was dropped while the right
// to act had lapsed for a moment. Orders are decided anew, since they may be out of date; a record has its condition.
func TestRightLapses(t *testing.T) {
	tests := map[string]struct {
		send func(ctx context.Context, r *Runner)
		sent int64
	}{
		"order":  {func(ctx context.Context, r *Runner) { r.order(ctx, Order{Kind: OrderStart}) }, 0},
		"commit": {func(ctx context.Context, r *Runner) { r.commit(ctx, &Commit{}) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leads atomic.Bool
				calls := &countedCalls{}
				r := NewRunner(RunnerConfig{Store: calls, Orders: calls, Leads: leads.Load, Now: func() time.Duration { return 0 }})
				go test.send(t.Context(), r)
				time.Sleep(time.Second)
				require.Zero(t, calls.sent.Load())
				leads.Store(true)
				time.Sleep(time.Second)
				require.Equal(t, test.sent, calls.sent.Load())
				require.Len(t, r.events, 1, "the machine learns of the result")
			})
		})
	}
}

// TestOrderAfterLapse guards against a run whose start was not sent and is taken for one that may exist.
func TestOrderAfterLapse(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	submit(m, "aa", 0, oneStep(1, 1000))
	m.Plan(0, time.UnixMilli(0))
	record(m, 0)
	order := m.Orders(0)[0]
	m.Ordered(order, errRightLapsed, time.Second)
	again := m.Orders(time.Second)
	require.Len(t, again, 1)
	require.Equal(t, order.Start.RunOrder, again[0].Start.RunOrder)
}
