package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTokenBucket guards against retries that amplify an overload: they must stay within the share of requests, plus a bounded burst
// after a period without retries.
func TestTokenBucket(t *testing.T) {
	bucket := TokenBucket{Share: 0.05}
	allowed := 0
	for range 10_000 {
		bucket.Request()
		if bucket.Retry() {
			allowed++
		}
	}
	require.InDelta(t, 500, allowed, 1)
	for range 10_000 {
		bucket.Request()
	}
	burst := 0
	for bucket.Retry() {
		burst++
	}
	require.Equal(t, maxTokens, burst)
}
