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
	// floodCallers is ten times the number of slots of the cluster's workers.
	floodCallers  = 10 * clusterWorkers * 8
	floodRequests = 2000
)

// TestProcessFlood guards against violations of the guarantees to callers, and a configuration change that is not applied, while requests of
// the lowest and then of the highest urgency overload the entries, from ten times as many callers as there are slots.
func TestProcessFlood(t *testing.T) {
	c := newCluster(t, clusterEntries)
	for _, urgency := range []acaciatally.Urgency{acaciatally.Background, acaciatally.Urgent} {
		var flood, other []*request
		var running sync.WaitGroup
		running.Go(func() { flood = c.sendLoadOf(floodRequests, floodCallers, urgency, func() {}) })
		running.Go(func() {
			other = c.sendLoad(clusterRequests, func() {
				result, err := c.runStatement(0, ulid.Make().String(), "set quota drivers "+string('1'+rune(urgency)))
				require.NoError(t, err)
				c.awaitVersion(result.Version, 0, 1, 2)
			})
		})
		running.Wait()
		answered := 0
		for _, r := range other {
			c.checkGuarantees(r)
			if r.lastAttempt().status == http.StatusOK {
				answered++
			}
		}
		for _, r := range flood {
			c.checkGuarantees(r)
		}
		require.Positive(t, answered, "no other request succeeded in a flood of %s requests", urgency) // the share that succeeds is measured by experiments in virtual time
	}
}
