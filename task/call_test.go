package task

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCollect guards against a call that waits longer than the batch interval, a batch above the batch size, and calls without an answer
// because the entry stops while their batch is collected.
func TestCollect(t *testing.T) {
	const interval, size = 20 * time.Millisecond, 3
	for name, test := range map[string]struct {
		calls   []time.Duration // when each call arrives
		stop    time.Duration   // when ctx ends
		batch   int             // calls in the first batch
		elapsed time.Duration   // time at which the first batch is complete
	}{
		"no call":                     {stop: time.Second, elapsed: time.Second},
		"one call":                    {calls: []time.Duration{5}, stop: time.Second, batch: 1, elapsed: 5 + interval},
		"within the interval":         {calls: []time.Duration{5, 5 + interval/2}, stop: time.Second, batch: 2, elapsed: 5 + interval},
		"after the interval":          {calls: []time.Duration{5, 6 + interval}, stop: time.Second, batch: 1, elapsed: 5 + interval},
		"more than the size":          {calls: []time.Duration{5, 6, 7, 8}, stop: time.Second, batch: size, elapsed: 7},
		"stopped during the interval": {calls: []time.Duration{5, 5 + interval/2}, stop: 5 + interval/4, batch: 2, elapsed: 5 + interval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFrontend(FrontendConfig{BatchInterval: interval, BatchSize: size})
				ctx, cancel := context.WithTimeout(t.Context(), test.stop)
				defer cancel()
				begin := time.Now()
				for _, at := range test.calls {
					time.AfterFunc(at, func() { f.submissions <- &submission{} })
					time.AfterFunc(at, func() { f.cancellations <- &cancellation{} })
				}
				cancelled := make(chan int)
				go func() { cancelled <- len(f.collectCancellations(ctx)) }()
				require.Len(t, f.collectSubmissions(ctx), test.batch)
				require.Equal(t, test.elapsed, time.Since(begin))
				require.Equal(t, test.batch, <-cancelled)
				require.Equal(t, test.elapsed, time.Since(begin))
			})
		})
	}
}
