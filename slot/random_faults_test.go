package slot_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
)

// TestRandomFaults guards against leaked slots and lost requests under random sequences of requests, cancellations, broken connections,
// frozen entries, changes of the set of workers and joining entries. Each entry runs membership, peer sessions and the slot service.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 4, 12).Draw(draw, "steps")
		runInBubble(t, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			ctx, cancel := context.WithCancel(t.Context())
			var wakes []func()
			for i, step := range steps {
				e := c.entries[i%len(c.entries)]
				switch step {
				case 0, 1:
					c.startRequests([]*testEntry{e}, 10, 700*time.Millisecond)
				case 2:
					c.startRequest(ctx, e, time.Second)
				case 3:
					cancel()
					ctx, cancel = context.WithCancel(t.Context())
				case 4:
					c.network.CloseConnections(e.address)
				case 5:
					wakes = append(wakes, c.network.Freeze(e.address))
				case 6:
					c.setWorkers(1 + i%3)
				case 7:
					c.join(20 + i)
				}
				time.Sleep(400 * time.Millisecond)
			}
			for _, wake := range wakes {
				wake()
			}
			c.setWorkers(3)
			cancel()
			c.callers.Wait()
			time.Sleep(5 * time.Second)
			c.peakBusy = map[acaciatally.InstanceID]int{}
			c.requireNoSlots()
		})
	})
}
