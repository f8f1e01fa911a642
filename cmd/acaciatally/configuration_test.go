package main

import (
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	entryCount = 9
	// propagationLimit is the guaranteed time within which an accepted change is applied by every entry.
	propagationLimit = 11 * time.Second
)

func (c *cluster) runStatement(entry int, id, text string) (command.Result, error) {
	client := command.NewClient(command.ClientConfig{
		Address: netip.MustParseAddrPort(c.operatorAddresses[entry]), Token: operatorToken, Timeout: 10 * time.Second,
	})
	return client.Run(c.t.Context(), command.Request{ID: id, Text: text})
}

func (c *cluster) version(entry int) uint64 {
	result, err := c.runStatement(entry, ulid.Make().String(), "show options")
	if err != nil {
		return 0
	}
	return result.Version
}

// awaitVersion waits until all given entries have applied the version or a later one, and returns how long that took.
func (c *cluster) awaitVersion(version uint64, entries ...int) time.Duration {
	start := time.Now()
	for _, entry := range entries {
		require.Eventually(c.t, func() bool { return c.version(entry) >= version }, propagationLimit, 5*time.Millisecond)
	}
	return time.Since(start)
}

// restartWithoutPlatform restarts an entry while the platform is down, and waits until it has the configuration from the other entries.
func (c *cluster) restartWithoutPlatform(entry int) {
	accepted := c.version(1)
	c.faults.Set(standin.Switches{Down: true})
	defer c.faults.Set(standin.Switches{})
	c.signal(entry, syscall.SIGKILL)
	_ = c.entries[entry].Wait()
	c.startEntry(entry)
	c.awaitVersion(accepted, entry)
	c.awaitReady(entry)
}

// TestConfigurationInForce guards against an accepted change that is not applied in all nine processes within 11 s, and against an entry that
// reverts to an older version (P8 in docs/PROOFS.md): while entries are killed, suspended and restarted one after another, while responses of
// the platform are lost, and in an entry that starts while the platform is down.
func TestConfigurationInForce(t *testing.T) {
	c := newCluster(t, entryCount)
	allEntries := make([]int, entryCount)
	for i := range allEntries {
		allEntries[i] = i
	}
	var delays []time.Duration
	change := func(i int, live ...int) {
		id := ulid.Make().String()
		var result command.Result
		require.Eventually(t, func() (accepted bool) {
			var err error
			result, err = c.runStatement(live[i%len(live)], id, fmt.Sprintf("set quota drivers %d", i+1))
			return err == nil
		}, time.Minute, 50*time.Millisecond)
		delays = append(delays, c.awaitVersion(result.Version, live...))
	}
	for i := range 20 {
		change(i, allEntries...)
	}
	c.faults.Set(standin.Switches{LossShare: 0.2})
	for i := range 5 {
		change(20+i, allEntries...)
	}
	c.faults.Set(standin.Switches{})
	c.signal(0, syscall.SIGKILL)
	_ = c.entries[0].Wait() // its ports are free only then
	change(25, allEntries[1:]...)
	c.startEntry(0)
	c.awaitReady(0)
	change(26, allEntries...)
	c.signal(1, syscall.SIGSTOP)
	change(27, append([]int{0}, allEntries[2:]...)...)
	c.signal(1, syscall.SIGCONT)
	change(28, allEntries...)
	for i := range allEntries {
		c.signal(i, syscall.SIGTERM)
		require.NoError(t, c.entries[i].Wait())
		c.startEntry(i)
		c.awaitReady(i)
		change(29+i, allEntries...)
	}
	c.restartWithoutPlatform(0)
	slices.Sort(delays)
	t.Logf("time until applied by %d entries: median %s, maximum %s of %d changes", entryCount, delays[len(delays)/2], delays[len(delays)-1], len(delays))
}
