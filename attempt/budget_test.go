package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against retries that multiply an overload: at most the share of requests, with a bounded burst after a calm time.
func TestTokens(t *testing.T) {
	tokens := Tokens{Share: 0.05}
	allowed := 0
	for range 10_000 {
		tokens.Request()
		if tokens.Retry() {
			allowed++
		}
	}
	require.InDelta(t, 500, allowed, 1)
	for range 10_000 {
		tokens.Request()
	}
	burst := 0
	for tokens.Retry() {
		burst++
	}
	require.Equal(t, maxTokens, burst)
}
