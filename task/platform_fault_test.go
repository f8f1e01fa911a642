package task_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// TestTableOutage guards against tasks that are lost, repeated or ended because the table was down for an hour while they ran.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 2)
		table := standin.NewFaults(standin.FaultsConfig{Table: p.table})
		runner := p.newRunner("entry-1", table, p.faults)
		go func() { _ = runner.Run(p.ctx) }()
		specs := batch("long", 20, func(i int) task.Spec {
			taskSpec := spec("", uses(8, 8, 40*time.Minute))
			taskSpec.Idempotent = i%2 == 0
			return taskSpec
		})
		p.submit(specs...)
		time.Sleep(time.Minute)
		table.Set(standin.Switches{Down: true})
		time.Sleep(time.Hour)
		require.NotZero(t, p.phases(specs)[task.Placed])
		table.Set(standin.Switches{})
		took := p.waitForDone(specs, 2*time.Hour)
		t.Logf("took %v after the outage", took)
		for _, taskSpec := range specs {
			require.Len(t, p.tasks.Trace(taskSpec.ID), 1)
		}
	})
}

// TestTaskLeasesOutage guards against an attempt that is ended as lost because the reports of all attempts were missing for a while.
func TestTaskLeasesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 1)
		leases := standin.NewFaults(standin.FaultsConfig{Leases: p.tasks})
		runner := p.newRunner("entry-1", p.faults, leases)
		go func() { _ = runner.Run(p.ctx) }()
		once := spec("once", uses(1, 1, 30*time.Second))
		once.Idempotent = false
		p.submit(once)
		time.Sleep(10 * time.Second)
		leases.Set(standin.Switches{Down: true})
		time.Sleep(5 * time.Minute)
		leases.Set(standin.Switches{})
		p.waitForPhase("once", task.Done, time.Minute)
	})
}

// TestLostCommitResponses guards against a start that is ordered twice or never because responses to commits were lost.
func TestLostCommitResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, 2)
		p.startController("entry-1")
		for i := range 10 {
			p.faults.Set(standin.Switches{LoseCommitAnswers: 3})
			taskSpec := spec(fmt.Sprintf("once-%d", i), uses(1, 1, 5*time.Second))
			taskSpec.Idempotent = false
			p.submit(taskSpec)
			p.waitForPhase(taskSpec.ID, task.Done, 2*time.Minute)
			require.Len(t, p.tasks.Trace(taskSpec.ID), 1)
		}
	})
}
