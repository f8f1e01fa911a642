package site_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestEndForgottenAfterRestart guards against a completed task that is started again: a renewal for the former incarnation of a worker acknowledges ends
// by their numbers, and the new incarnation, which numbers its ends from 1 again, forgets its own before a leader has seen them.
func TestEndForgottenAfterRestart(t *testing.T) {
	const tasks = 6
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 0)
		d.behaviour.Duration = func(task string) time.Duration {
			index := time.Duration(task[len(task)-1] - '0')
			if strings.HasPrefix(task, quoteA[len(quoteA)-16:]) && index == 0 {
				return 2 * time.Second
			}
			return 800*time.Millisecond + index*30*time.Millisecond
		}
		for range 2 {
			d.addEntry()
		}
		d.addInstances("coating", 1)
		d.addInstances("intake", 1)
		time.Sleep(8 * time.Second)
		worker := d.workers["i-002"]

		d.submit(d.nonLeader(), quoteA, emulator.Job(emulator.Step(tasks, 1000)))
		d.awaitRunning(worker, tasks)
		for len(worker.Running()) > 0 {
			time.Sleep(time.Millisecond)
		}
		worker.DelayOrders(300 * time.Millisecond)
		time.Sleep(100 * time.Millisecond) // the renewal that acknowledges the ends is sent by then
		worker.Crash()
		d.network.CloseConnections(workerAddress(worker))
		time.Sleep(workerDowntime)
		worker.DelayOrders(0)
		worker.Restart()
		d.store.Put("servers", worker.ID(), worker.Record())
		time.Sleep(time.Second)
		d.leader().faults.SetDelay(100 * time.Millisecond)
		d.submit(d.nonLeader(), quoteB, emulator.Job(emulator.Step(tasks, 1000)))
		d.awaitState(d.nonLeader(), quoteB, "completed", 15*time.Second)
		d.checkNoDuplicateRuns()
		require.Equal(t, map[string]int{"done": 2 * tasks}, d.runsByEnd())
	})
}
