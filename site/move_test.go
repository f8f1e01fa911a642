package site_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestCancelledMoveRepeated guards against tasks that wait for as long as other runs last, although there is room beside these: the instances with the room were
// to be drained for moves to another pool, and each move that was cancelled because the runs went on was planned again at once.
func TestCancelledMoveRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 8
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return time.Minute }
		d.addInstances("intake", 6)
		d.addInstances("coating", 1)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(6, 5000))) // one on each instance
		time.Sleep(time.Second)
		d.submit(d.entries[0], planA, emulator.Job(emulator.Step(40, 8000)))
		time.Sleep(10 * time.Second) // the backlog of the other pool is the larger one
		d.submit(d.entries[0], quoteB, emulator.Job(emulator.Step(tasks, 1500)))
		time.Sleep(7 * time.Second) // until the moves that were planned before are cancelled
		started := slices.DeleteFunc(d.runLog.Runs(), func(run emulator.Run) bool { return run.Task[:16] != quoteB[len("/quotes/"):] })
		require.Len(t, started, tasks)
	})
}
