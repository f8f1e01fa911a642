package speed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnreliableWorker guards against a worker that fails half of its runs and is as good as any other after each success, and against one that
// is unreliable for a few failures, or for good.
func TestUnreliableWorker(t *testing.T) {
	tests := map[string]struct {
		failShare  float64
		unreliable bool
	}{"half": {0.5, true}, "all": {1, true}, "few": {0.01, false}, "none": {0, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var w Worker
			changes := 0
			for i := range 300 {
				if w.ObserveOutcome(random.Float64() < test.failShare, time.Duration(i)*round) {
					changes++
				}
			}
			require.Equal(t, test.unreliable, w.Unreliable())
			require.Equal(t, test.unreliable, w.Deferred())
			require.LessOrEqual(t, changes, 1)
			require.False(t, w.ForgetFailures(time.Minute))
			require.Equal(t, test.unreliable, w.ForgetFailures(2*time.Minute))
			require.False(t, w.Unreliable())
		})
	}
}

// TestReliableAgain guards against a worker that stays unreliable although its runs succeed.
func TestReliableAgain(t *testing.T) {
	var w Worker
	w.ObserveOutcome(true, 0)
	w.ObserveOutcome(true, 0)
	require.False(t, w.Unreliable(), "any worker may fail a few")
	w.ObserveOutcome(true, 0)
	require.True(t, w.Unreliable())
	for range 20 {
		w.ObserveOutcome(false, 0)
	}
	require.False(t, w.Unreliable())
}
