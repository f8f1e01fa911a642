package site

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/roster"
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

// countingFleet counts the orders that it gets.
type countingFleet struct {
	acaciatally.FleetControl
	orders int
}

func (c *countingFleet) Move(context.Context, acaciatally.FleetLease, acaciatally.InstanceID, acaciatally.PoolName) error {
	c.orders++
	return nil
}

// TestFleetOrderAfterExpiry guards against an order on an instance that a process sends after a pause in which its lease has expired. Where
// the platform compares no fencing tokens, the order would be carried out after those of the next leader.
func TestFleetOrderAfterExpiry(t *testing.T) {
	tests := map[string]struct {
		leads  bool
		orders int
	}{"lease is valid": {true, 1}, "lease has expired": {false, 0}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := &countingFleet{}
			runner := &fleetRunner{process: &Process{config: Config{Fleet: fleet}}, leads: func() bool { return test.leads }}
			err := runner.callFleet(t.Context(), roster.Order{Instance: "m-1", To: "intake"})
			require.Equal(t, test.leads, err == nil)
			require.Equal(t, test.orders, fleet.orders)
		})
	}
}
