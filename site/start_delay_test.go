package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDelayOfNewLeader guards against a new leader that says it keeps up before it can know, so that entries accept jobs on top of a backlog.
func TestDelayOfNewLeader(t *testing.T) {
	const firstRound = 10 * time.Second
	tests := map[string]struct {
		after               time.Duration // time since the first round
		inherited, measured time.Duration
		want                time.Duration
	}{
		"first round":                {0, 30 * time.Second, 0, 30 * time.Second},
		"longer than inherited":      {time.Second, 5 * time.Second, 8 * time.Second, 8 * time.Second},
		"settled":                    {startDelaySettleTime, 30 * time.Second, 3 * time.Second, 3 * time.Second},
		"nothing inherited, no load": {time.Second, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			delay := startDelay{inherited: test.inherited}
			delay.update(0, firstRound)
			require.Equal(t, test.want, delay.update(test.measured, firstRound+test.after))
		})
	}
}
