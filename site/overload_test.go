package site_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// slowLink is the speed of the entries' links in bits per second, as in the smallest machines of a large deployment.
const slowLink = 2e6

// TestTakeoverOverSlowLink guards against a new leader that fills its own link with the records of a backlog until it can no longer renew
// its lease: then one leader followed the other and none ever dispatched a job.
func TestTakeoverOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 0)
		d.linkBits = slowLink
		for range 3 {
			d.addEntry()
		}
		time.Sleep(3 * time.Second)
		body := emulator.Job(emulator.Step(8, 1000), emulator.Step(8, 1000))
		body["spec"] = strings.Repeat("x", 3000)
		entry := d.nonLeader()
		paths := append(d.submitMany(entry, "quotes", 300, body), d.submitMany(entry, "plans", 300, body)...)
		oldLeader := d.leader()
		heal := d.isolate(oldLeader)
		time.Sleep(15 * time.Second)
		leader, epoch := d.leader(), d.epoch()
		require.NotEqual(t, oldLeader, leader)
		d.addInstances("intake", 8)
		d.addInstances("coating", 8)
		for _, p := range paths[:20] {
			d.awaitState(leader, p, "completed", 30*time.Second)
		}
		require.Equal(t, epoch, d.epoch(), "the leader has stayed the same")
		heal()
	})
}

// epoch returns the epoch of the lease.
func (d *deployment) epoch() (epoch uint64) {
	for _, row := range d.store.Rows("Lease") {
		var lease struct{ Epoch uint64 }
		require.NoError(d.t, json.Unmarshal(row.Value, &lease))
		epoch = max(epoch, lease.Epoch)
	}
	return epoch
}
