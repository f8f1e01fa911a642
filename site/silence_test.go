package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestLeadersInQuickSuccession guards against a task of a lost worker that has no run for as long as leaders follow each other quickly, because each of
// them waits anew for the end of the worker's lease.
func TestLeadersInQuickSuccession(t *testing.T) {
	const (
		term   = 5 * time.Second // of each leader, shorter than the lease of a worker
		rounds = 5
		limit  = 9 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, rounds+1)
		d.behaviour.Duration = func(string) time.Duration { return -1 }
		d.addInstances("intake", 3)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.LongRunningStep(1)))
		time.Sleep(2 * time.Second)
		require.Len(t, d.runLog.Runs(), 1)
		for _, w := range d.workers {
			if len(w.Running()) > 0 {
				w.Crash()
				d.store.Delete("servers", w.ID())
			}
		}
		crashedAt := time.Now()
		for range rounds {
			d.leader().stop()
			time.Sleep(term)
		}
		runs := d.runLog.Runs()
		require.Len(t, runs, 2)
		require.Less(t, runs[1].StartedAt.Sub(crashedAt), limit)
	})
}
