package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestLateMaintenanceOrder guards against more instances down than a wave allows: the order of a leader that has stopped is executed late, while
// the next leader maintains another instance.
func TestLateMaintenanceOrder(t *testing.T) {
	const instances = 4
	for delay := time.Second; delay <= 8*time.Second; delay += 500 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3)
				d.behaviour.Duration = func(string) time.Duration { return 10 * time.Second }
				d.addInstances("intake", instances)
				time.Sleep(10 * time.Second) // until both pools have their instances
				leader, other := d.leader(), d.nonLeader()
				d.instanceControl.DelayOrders(1, delay)
				d.requestWave(1, 20, 1)
				for d.instanceControl.OrdersToDelay() > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				leader.stop()
				d.submit(other, planA, emulator.Job(emulator.Step(2, 5000))) // so that the next leader prefers the instances of the other pool
				time.Sleep(time.Minute)
				require.Len(t, maintainedInstances(d.instanceControl.ExecutedOrders()), instances)
				require.Equal(t, 1, d.instanceControl.MostMaintained())
			})
		})
	}
}
