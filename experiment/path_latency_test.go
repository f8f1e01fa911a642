package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPathLatency checks that both policies are measured; it does not check the values.
func TestPathLatency(t *testing.T) {
	figures, err := PathLatency{Rounds: 1, HalfLoadRequests: 8, FullLoadRequests: 8}.Run(t.Context(), 1)
	require.NoError(t, err)
	policies := map[string]int{}
	for _, figure := range figures {
		policies[figure.Policy]++
	}
	require.Equal(t, map[string]int{"BaselineDirect": 3, "Entry": 6}, policies)
}

// BenchmarkPath measures both paths without service time and reports latency quantiles of the last run.
func BenchmarkPath(b *testing.B) {
	paths, stop, err := startPaths(b.Context(), 1, 0)
	require.NoError(b, err)
	defer stop()
	for _, p := range paths {
		b.Run(p.policy, func(b *testing.B) {
			latencies, err := p.load(b.Context(), pathCallers, b.N)
			require.NoError(b, err)
			b.ReportMetric(float64(quantile(latencies, 0.5))/float64(time.Microsecond), "p50-us")
			b.ReportMetric(float64(quantile(latencies, 0.99))/float64(time.Microsecond), "p99-us")
		})
	}
}
