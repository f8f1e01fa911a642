package slot_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestGrants guards against grants beyond a worker's slots, requests that starve, and slots that leak.
func TestGrants(t *testing.T) {
	for _, entries := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, entries, 3)
				c.startRequests(c.entries, 20, 100*time.Millisecond)
				c.requireAllCompleted(entries * 20)
				require.Equal(t, workerSlots, c.highestPeak())
				for _, e := range c.entries {
					require.Zero(t, e.counter("acaciatally_slot_fallbacks_total"))
					require.Zero(t, e.counter("acaciatally_slot_wrong_home_grants_total"))
				}
			})
		})
	}
}

// TestHomeChanges guards against requests that are lost or never granted, and slots that leak or stay counted twice, when the slot home
// changes while requests wait and slots are held.
func TestHomeChanges(t *testing.T) {
	tests := map[string]struct {
		change       func(c *cluster) (after func())
		maxPerWorker int // bound of concurrent requests at one worker
	}{
		"slot home is killed": {change: func(c *cluster) func() {
			home := c.home()
			home.stop()
			c.network.CloseConnections(home.address)
			c.removeEntry(home)
			return func() {}
		}, maxPerWorker: workerSlots},
		"slot home shuts down": {change: func(c *cluster) func() {
			home := c.home()
			home.slots.ReleaseHomes()
			home.tracker.AnnounceStop()
			time.Sleep(2 * time.Second)
			home.stop()
			c.removeEntry(home)
			return func() {}
		}, maxPerWorker: workerSlots},
		"slot home is frozen and resumes": {change: func(c *cluster) func() {
			wake := c.network.Freeze(c.home().address)
			time.Sleep(8 * time.Second)
			return wake
		}, maxPerWorker: 2 * workerSlots},
		"connections of the slot home break": {change: func(c *cluster) func() {
			c.network.CloseConnections(c.home().address)
			return func() {}
		}, maxPerWorker: 2 * workerSlots},
		"entries join": {change: func(c *cluster) func() {
			for i := range 6 {
				c.join(20 + i)
			}
			return func() {}
		}, maxPerWorker: 2 * workerSlots},
		"network partition between two groups of entries": {change: func(c *cluster) func() {
			for _, e := range c.entries[:len(c.entries)/2] {
				c.network.Partition(1, e.address)
			}
			time.Sleep(8 * time.Second)
			return func() {
				for _, e := range c.entries {
					c.network.Partition(0, e.address)
				}
			}
		}, maxPerWorker: 2 * workerSlots},
	}
	for name, test := range tests {
		for _, entries := range []int{3, 9} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					c := newCluster(t, entries, 3)
					others := c.others()
					c.startRequests(others, 60/len(others), 2*time.Second)
					time.Sleep(time.Second)
					after := test.change(c)
					time.Sleep(time.Second)
					after()
					c.requireAllCompleted(60 / len(others) * len(others))
					require.LessOrEqual(t, c.highestPeak(), test.maxPerWorker)
					time.Sleep(15 * time.Second)
					c.peakBusy = map[acaciatally.InstanceID]int{}
					c.startRequests(c.entries, 20, 100*time.Millisecond)
					c.requireAllCompleted(60/len(others)*len(others) + 20*len(c.entries))
					require.Equal(t, workerSlots, c.highestPeak(), "a single slot home grants again")
				})
			})
		}
	}
}

func (c *cluster) removeEntry(removed *testEntry) {
	var remaining []*testEntry
	for _, e := range c.entries {
		if e != removed {
			remaining = append(remaining, e)
		}
	}
	c.entries = remaining
}

// TestWaitingRequestsMove guards against requests that go on waiting at an entry that is no longer the slot home, which would grant slots
// that the new slot home has granted already.
func TestWaitingRequestsMove(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		old := c.home()
		c.startRequests(c.others(), 10, 20*time.Second)
		time.Sleep(time.Second)
		require.Equal(t, 20, old.slots.Tickets())
		for i := 20; c.home() == old; i++ {
			c.join(i)
			time.Sleep(4 * time.Second)
		}
		time.Sleep(4 * time.Second)
		require.Zero(t, old.slots.Tickets())
		require.Equal(t, 20, c.home().slots.Tickets())
		// Entries learn of a new entry within two seconds of each other. Until then two slot homes may each grant all slots of the worker.
		require.LessOrEqual(t, c.highestPeak(), 2*workerSlots)
		c.callers.Wait() // some requests fail: four slots cannot serve 20 requests of 20 s each before their deadline of one minute
		c.requireNoSlots()
	})
}

// TestNoFreshView guards against an entry that goes on sending work although it reaches neither the table service nor other entries, so
// that it does not learn which instances leave service.
func TestNoFreshView(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 9, 3)
		isolated := c.others()[0]
		isolated.tableUnavailable.Store(true)
		c.network.Partition(1, isolated.address)
		time.Sleep(2500 * time.Millisecond) // ViewLimit
		_, err := isolated.slots.Acquire(t.Context(), acaciatally.Request{Pool: pool, Deadline: time.Now().Add(time.Minute)})
		require.True(t, refused(err), "must be refused as NotRun: %v", err)
		c.startRequests(c.others()[1:], 5, 100*time.Millisecond)
		c.callers.Wait()
		require.Empty(t, c.failures)
		isolated.tableUnavailable.Store(false)
		c.network.Partition(0, isolated.address)
		time.Sleep(8 * time.Second)
		c.startRequests([]*testEntry{isolated}, 5, 100*time.Millisecond)
		c.requireAllCompleted(7*5 + 5)
	})
}

// TestLeavingEndpoint guards against new work for an endpoint whose health path announces that it leaves service, while the table service
// is down and no change of the control state can announce it.
func TestLeavingEndpoint(t *testing.T) {
	for _, entries := range []int{3, 9} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, entries, 3)
				c.table.unavailable.Store(true)
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				c.startPeriodicRequests(ctx, 20*time.Millisecond)
				time.Sleep(2 * time.Second)
				c.mu.Lock()
				c.leavingURLs["http://10.0.1.1:80/health"] = true
				c.mu.Unlock()
				left := time.Now()
				time.Sleep(10 * time.Second)
				cancel()
				c.callers.Wait()
				require.Less(t, c.lastStart[worker(1)].Sub(left), 3*time.Second)
				require.Greater(t, c.lastStart[worker(0)].Sub(left), 9*time.Second, "requests go on at the other workers")
				c.requireNoSlots()
			})
		})
	}
}

// TestDrain guards against new work for an instance that a change of the control state takes out of service.
func TestDrain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 9, 3)
		ctx, cancel := context.WithCancel(t.Context())
		c.startPeriodicRequests(ctx, 20*time.Millisecond)
		time.Sleep(2 * time.Second)
		c.setWorkers(3, 2)
		left := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		c.callers.Wait()
		require.Less(t, c.lastStart[worker(2)].Sub(left), 1100*time.Millisecond, "no new work after one poll interval")
		c.requireNoSlots()
	})
}

// startPeriodicRequests starts a request through each entry at every interval until ctx ends.
func (c *cluster) startPeriodicRequests(ctx context.Context, interval time.Duration) {
	for _, e := range c.entries {
		c.callers.Go(func() {
			for ctx.Err() == nil {
				c.startRequest(context.Background(), e, 10*time.Millisecond)
				time.Sleep(interval)
			}
		})
	}
}

// TestCancel guards against queue places and slots that leak when callers cancel before or after the grant.
func TestCancel(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		ctx, cancel := context.WithCancel(t.Context())
		for _, e := range c.entries {
			for range 10 {
				c.startRequest(ctx, e, time.Second)
			}
		}
		time.Sleep(500 * time.Millisecond)
		cancel()
		c.callers.Wait()
		require.Equal(t, workerSlots, c.completed)
		require.Len(t, c.failures, 30-workerSlots)
		for _, err := range c.failures {
			require.ErrorIs(t, err, context.Canceled)
		}
		c.requireNoSlots()
	})
}

// TestReleaseLost guards against slots that leak because the release message is lost or the holder is gone.
func TestReleaseLost(t *testing.T) {
	tests := map[string]func(c *cluster, holder *testEntry){
		"holder dies": func(c *cluster, holder *testEntry) {
			holder.stop()
			c.network.CloseConnections(holder.address)
			c.removeEntry(holder)
		},
		"holder is frozen during the release": func(c *cluster, holder *testEntry) {
			wake := c.network.Freeze(holder.address)
			time.Sleep(10 * time.Second)
			wake()
		},
		"connections break during the release": func(c *cluster, holder *testEntry) {
			time.Sleep(1500 * time.Millisecond)
			c.network.CloseConnections(holder.address)
		},
		"workers are removed while slots are held": func(c *cluster, _ *testEntry) {
			c.setWorkers(0)
			time.Sleep(5 * time.Second)
			c.setWorkers(3)
			time.Sleep(2 * time.Second)
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, 3, 3)
				holder := c.others()[0]
				c.startRequests([]*testEntry{holder}, 12, 2*time.Second)
				time.Sleep(500 * time.Millisecond)
				fault(c, holder)
				time.Sleep(8 * time.Second) // keepalive timeout and lostHolderGrace
				for _, e := range c.entries {
					require.Zero(t, e.slots.Tickets())
				}
				start := time.Now()
				c.startRequests(c.entries, 6, 100*time.Millisecond)
				c.callers.Wait()
				require.Empty(t, c.failures)
				require.Less(t, time.Since(start), time.Second, "all slots are available again")
				c.requireNoSlots()
			})
		})
	}
}

// TestFallback guards against requests that fail or take too long while no slot home replies.
func TestFallback(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3, 4)
		unfrozen := c.entries[0]
		var wakes []func()
		for _, e := range c.entries[1:] {
			wakes = append(wakes, c.network.Freeze(e.address))
		}
		start := time.Now()
		c.startRequests([]*testEntry{unfrozen}, 12, 50*time.Millisecond)
		c.callers.Wait()
		require.Empty(t, c.failures)
		require.Less(t, time.Since(start), 600*time.Millisecond)
		for _, wake := range wakes {
			wake()
		}
		time.Sleep(10 * time.Second)
		c.requireAllCompleted(12)
	})
}

// TestUnknownPool guards against requests that wait for a pool that does not exist.
func TestUnknownPool(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		for _, e := range c.entries {
			_, err := e.slots.Acquire(t.Context(), acaciatally.Request{Pool: "none", Deadline: time.Now().Add(time.Minute)})
			require.True(t, refused(err))
		}
	})
}

// TestRetryBudget guards against retries beyond 5 % of a pool's requests across all entries.
func TestRetryBudget(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3, 4)
		c.startRequests(c.entries, 200, time.Millisecond)
		c.callers.Wait()
		allowed := 0
		for i := range 120 {
			request := acaciatally.Request{Pool: pool, Deadline: time.Now().Add(time.Minute), Retry: true}
			grant, err := c.entries[i%3].slots.Acquire(t.Context(), request)
			if err == nil {
				grant.Release(acaciatally.AttemptResult{Status: 200})
				allowed++
				continue
			}
			require.True(t, refused(err))
		}
		require.Equal(t, 20, allowed, "limited to retryBurst, although 600 requests would have earned 30 more")
		c.startRequests(c.entries, 20, time.Millisecond)
		c.callers.Wait()
		for i := range 6 {
			grant, err := c.entries[i%3].slots.Acquire(t.Context(), acaciatally.Request{Pool: pool, Deadline: time.Now().Add(time.Minute), Retry: true})
			if i < 3 {
				require.NoError(t, err, "60 requests earn 3 retries")
				grant.Release(acaciatally.AttemptResult{Status: 200})
				continue
			}
			require.True(t, refused(err))
		}
	})
}
