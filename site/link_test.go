package site

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/dispatch"
)

// TestLinkLimits guards against commits and reads that occupy a slow link for longer than the leader's lease lasts, and against a takeover
// that is slowed down on a fast one.
func TestLinkLimits(t *testing.T) {
	tests := map[string]struct {
		link        float64 // bits per second
		commitBytes int
		loads       int
	}{
		"no limit":     {0, dispatch.MaxCommitBytes, maxLoadsAtOnce},
		"1,000 Mbit/s": {1e9, dispatch.MaxCommitBytes, maxLoadsAtOnce},
		"20 Mbit/s":    {20e6, 250_000, 4},
		"2 Mbit/s":     {2e6, 25_000, 1},
		"0.1 Mbit/s":   {1e5, minCommitBytes, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.commitBytes, commitBytes(test.link))
			require.Equal(t, test.loads, loadsAtOnce(test.link))
		})
	}
}
