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
	allEntries = 9
	// inForceLimit is the promised time for a change to be in force in every entry.
	inForceLimit = 11 * time.Second
)

func (c *cluster) order(entry int, id, text string) (command.Result, error) {
	client := command.NewClient(command.ClientConfig{
		Address: netip.MustParseAddrPort(c.operators[entry]), Token: operatorToken, Timeout: 10 * time.Second,
	})
	return client.Run(c.t.Context(), command.Order{ID: id, Text: text})
}

func (c *cluster) version(entry int) uint64 {
	result, err := c.order(entry, ulid.Make().String(), "show options")
	if err != nil {
		return 0
	}
	return result.Version
}

// inForce waits until all given entries have the version in force, and returns how long that took.
func (c *cluster) inForce(version uint64, entries ...int) time.Duration {
	start := time.Now()
	for _, entry := range entries {
		require.Eventually(c.t, func() bool { return c.version(entry) >= version }, inForceLimit, 5*time.Millisecond)
	}
	return time.Since(start)
}

// learnFromPeers replaces an entry while the platform is down and waits until it has the configuration of the others.
func (c *cluster) learnFromPeers(entry int) {
	accepted := c.version(1)
	c.faults.Set(standin.Switches{Down: true})
	defer c.faults.Set(standin.Switches{})
	c.signal(entry, syscall.SIGKILL)
	_ = c.entries[entry].Wait()
	c.startEntry(entry)
	c.inForce(accepted, entry)
	c.untilReady(entry)
}

// TestConfigurationInForce guards P8: a change accepted by any entry is in force in all nine processes within 11 s, and none goes
// back to an older version, while entries are killed, frozen and replaced, all of them in turn, while the platform loses answers, and
// in an entry that starts while the platform is down.
func TestConfigurationInForce(t *testing.T) {
	c := newCluster(t, allEntries)
	every := make([]int, allEntries)
	for i := range every {
		every[i] = i
	}
	var took []time.Duration
	change := func(i int, live ...int) {
		id := ulid.Make().String()
		var result command.Result
		require.Eventually(t, func() (accepted bool) {
			var err error
			result, err = c.order(live[i%len(live)], id, fmt.Sprintf("set quota drivers %d", i+1))
			return err == nil
		}, time.Minute, 50*time.Millisecond)
		took = append(took, c.inForce(result.Version, live...))
	}
	for i := range 20 {
		change(i, every...)
	}
	c.faults.Set(standin.Switches{LossShare: 0.2})
	for i := range 5 {
		change(20+i, every...)
	}
	c.faults.Set(standin.Switches{})
	c.signal(0, syscall.SIGKILL)
	change(25, every[1:]...)
	c.startEntry(0)
	c.untilReady(0)
	change(26, every...)
	c.signal(1, syscall.SIGSTOP)
	change(27, append([]int{0}, every[2:]...)...)
	c.signal(1, syscall.SIGCONT)
	change(28, every...)
	for i := range every {
		c.signal(i, syscall.SIGTERM)
		require.NoError(t, c.entries[i].Wait())
		c.startEntry(i)
		c.untilReady(i)
		change(29+i, every...)
	}
	c.learnFromPeers(0)
	slices.Sort(took)
	t.Logf("in force in %d entries: median %s, longest %s of %d changes", allEntries, took[len(took)/2], took[len(took)-1], len(took))
}
