package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestTakeoverOfManyQueues guards against jobs that are lost with their leader because their queues are more than the store lists in one response: the
// next leader stopped their runs as orphans and never started them again.
func TestTakeoverOfManyQueues(t *testing.T) {
	const queues = 1100
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return 8 * time.Second }
		d.addInstances("intake", 6)
		time.Sleep(3 * time.Second)
		d.configure(2, queues)
		time.Sleep(2 * time.Second)
		oldLeader, entry := d.leader(), d.nonLeader()
		step := emulator.Step(1, 10)
		paths := make([]string, 0, queues)
		for i := range queues {
			path := fmt.Sprintf("/idle%d/%016x", i, i+1)
			paths = append(paths, path)
			d.submit(entry, path, emulator.Job(step))
		}
		time.Sleep(time.Second)
		d.isolate(oldLeader)
		time.Sleep(15 * time.Second)
		for _, path := range paths {
			require.Equal(t, "completed", d.state(entry, path))
		}
		require.Equal(t, map[string]int{"done": queues}, d.runsByEnd())
	})
}
