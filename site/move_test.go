package site_test

import (
	"slices"
	"strings"
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

// TestPoolDrainedWhileTasksWait guards against a pool most of whose instances get no tasks, while its own tasks wait, since they are to be drained for moves
// and long runs keep them from it.
func TestPoolDrainedWhileTasksWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, part = 8, 4
		d := newDeployment(t, 0)
		log := &sharedLog{}
		d.log = log
		for range 2 {
			d.addEntry()
		}
		d.behaviour.Duration = func(string) time.Duration { return time.Minute }
		d.addInstances("intake", instances)
		d.addInstances("coating", 1)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(instances, 6000))) // one on each instance
		d.submit(d.entries[0], quoteB, emulator.Job(emulator.Step(4, 5000)))         // fits on none of them
		time.Sleep(10 * time.Second)
		before := log.count("to be drained: move to coating")
		d.submit(d.entries[0], planA, emulator.Job(emulator.Step(40, 8000)))
		time.Sleep(4 * time.Second) // less than it takes until a move is cancelled and another one is planned
		drained := log.count("to be drained: move to coating") - before
		require.NotZero(t, drained)
		require.LessOrEqual(t, drained, instances/part)
	})
}

func (l *sharedLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.lines.String(), text)
}
