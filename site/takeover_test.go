package site_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestLeaderTakeover guards against runs that are lost, stopped or duplicated when the leader is isolated, at several points of a job.
func TestLeaderTakeover(t *testing.T) {
	delays := map[string]time.Duration{"after submission": 0, "while starting": 12 * time.Millisecond, "while running": 400 * time.Millisecond, "at the end": 810 * time.Millisecond}
	for name, delay := range delays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3)
				d.addInstances("intake", 4)
				d.addInstances("coating", 2)
				time.Sleep(3 * time.Second)
				oldLeader, entry := d.leader(), d.nonLeader()
				paths := d.submitMany(entry, "quotes", 6, emulator.Job(emulator.Step(4, 1000)))
				time.Sleep(delay)
				heal := d.isolate(oldLeader)
				for _, p := range paths {
					d.awaitState(entry, p, "completed", 15*time.Second)
				}
				require.NotEqual(t, oldLeader, d.leader())
				heal()
				time.Sleep(3 * time.Second)
				d.checkNoDuplicateRuns()
				require.Zero(t, d.runsByEnd()["lapsed"])
			})
		})
	}
}

// TestHandoverToFasterEntry guards against a slow entry that stays the leader when a faster one joins, and against runs that are lost or
// duplicated by the handover.
func TestHandoverToFasterEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 0)
		d.processors = 0.2
		slowEntry := d.addEntry()
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		require.Equal(t, slowEntry, d.leader())
		d.processors = 1
		fastEntry := d.addEntry()
		paths := d.submitMany(slowEntry, "quotes", 12, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(3 * time.Second)
		require.Equal(t, fastEntry, d.leader())
		for _, p := range paths {
			d.awaitState(slowEntry, p, "completed", 10*time.Second)
		}
		d.checkNoDuplicateRuns()
		require.Equal(t, map[string]int{"done": 48}, d.runsByEnd())
	})
}

// TestTakeoverLoadsAllJobsFirst guards against a new leader that stops runs as orphans because the store is slow and it has not loaded their
// jobs yet.
func TestTakeoverLoadsAllJobsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return 6 * time.Second }
		d.addInstances("intake", 4)
		d.addInstances("coating", 4)
		time.Sleep(3 * time.Second)
		oldLeader, entry := d.leader(), d.nonLeader()
		quotes := d.submitMany(entry, "quotes", 3, emulator.Job(emulator.Step(4, 1000)))
		plans := d.submitMany(entry, "plans", 3, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(500 * time.Millisecond)
		entry.faults.SetDelay(250 * time.Millisecond)
		d.isolate(oldLeader)
		time.Sleep(4 * time.Second)
		entry.faults.SetDelay(0)
		for _, p := range slices.Concat(quotes, plans) {
			d.awaitState(entry, p, "completed", 15*time.Second)
		}
		require.Equal(t, map[string]int{"done": 24}, d.runsByEnd())
	})
}

// TestTakeoverOfManyQueues guards against jobs that are lost with their leader because their queues are more than the store lists in one response: the
// next leader stopped their runs as orphans and never started them again. On a slow link, it guards against the loss of all runs, since their leases
// expired while the next leader loaded the queues.
func TestTakeoverOfManyQueues(t *testing.T) {
	const queues = 1100
	tests := map[string]struct {
		linkBits   float64
		storeDelay time.Duration
	}{"no limit": {}, "1,000 Mbit/s": {1e9, 4 * time.Millisecond}, "20 Mbit/s": {20e6, 4 * time.Millisecond}, "10 Mbit/s": {10e6, 4 * time.Millisecond}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 0)
				d.linkBits = test.linkBits
				d.addEntry()
				d.addEntry()
				d.behaviour.Duration = func(string) time.Duration { return 20 * time.Second }
				d.addInstances("intake", 6)
				time.Sleep(3 * time.Second)
				d.configure(2, queues)
				time.Sleep(2 * time.Second)
				oldLeader, entry := d.leader(), d.nonLeader()
				paths := make([]string, 0, queues)
				for i := range queues {
					path := fmt.Sprintf("/idle%d/%016x", i, i+1)
					paths = append(paths, path)
					d.submit(entry, path, emulator.Job(emulator.Step(1, 10)))
				}
				time.Sleep(3 * time.Second)
				entry.faults.SetDelay(test.storeDelay)
				d.isolate(oldLeader)
				time.Sleep(25 * time.Second)
				for _, path := range paths {
					require.Equal(t, "completed", d.state(entry, path))
				}
				require.Equal(t, map[string]int{"done": queues}, d.runsByEnd())
			})
		})
	}
}
