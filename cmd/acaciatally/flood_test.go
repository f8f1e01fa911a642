package main

import (
	"net/http"
	"sync"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const (
	// floodCallers are ten times the slots of the cluster's workers.
	floodCallers  = 10 * clusterWorkers * 8
	floodRequests = 2000
)

// TestProcessFlood guards the promises to callers, and an accepted change, while the least urgent and then the most urgent work
// floods real entries from ten times as many callers as there are slots.
func TestProcessFlood(t *testing.T) {
	c := newCluster(t, clusterEntries)
	for _, urgency := range []acaciatally.Urgency{acaciatally.Background, acaciatally.Urgent} {
		var flood, other []*request
		var running sync.WaitGroup
		running.Go(func() { flood = c.loadOf(floodRequests, floodCallers, urgency, func() {}) })
		running.Go(func() {
			other = c.load(clusterRequests, func() {
				result, err := c.order(0, ulid.Make().String(), "set quota drivers "+string('1'+rune(urgency)))
				require.NoError(t, err)
				c.inForce(result.Version, 0, 1, 2)
			})
		})
		running.Wait()
		answered := 0
		for _, r := range other {
			c.check(r)
			if r.last().status == http.StatusOK {
				answered++
			}
		}
		for _, r := range flood {
			c.check(r)
		}
		require.Positive(t, answered, "other work in a flood of %s requests", urgency) // its share is measured in virtual time
	}
}
