package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestListInterval guards against lists of a large fleet that take so much of a slow link that orders and renewals of leases wait.
func TestListInterval(t *testing.T) {
	tests := map[string]struct {
		instances int
		link      float64 // bits per second
		interval  time.Duration
	}{
		"no limit":                {540, 0, minListInterval},
		"small fleet, fast link":  {49, 1e9, minListInterval},
		"95 instances, 2 Mbit/s":  {95, 2e6, 1368 * time.Millisecond},
		"540 instances, 2 Mbit/s": {540, 2e6, maxListInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.interval, listInterval(test.instances, test.link), float64(time.Microsecond))
		})
	}
}
