package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

// clusterRequests is enough requests for the load to outlast the longest fault of TestProcessFaults.
const clusterRequests = 600

func (c *cluster) signal(entry int, signal syscall.Signal) {
	require.NoError(c.t, c.entries[entry].Process.Signal(signal))
}

// suspend suspends the process of entry 0 for a while.
func (c *cluster) suspend(pause time.Duration) {
	c.signal(0, syscall.SIGSTOP)
	time.Sleep(pause)
	c.signal(0, syscall.SIGCONT)
}

func (c *cluster) closeWorker(i int) {
	c.endpoints[i].CloseClientConnections()
	_ = c.endpoints[i].Listener.Close()
}

func (c *cluster) platformFault(switches standin.Switches, pause time.Duration) {
	c.faults.Set(switches)
	time.Sleep(pause)
	c.faults.Set(standin.Switches{})
}

// TestProcessFaults guards against violations of the guarantees to callers when faults hit separate processes: a request that is not
// idempotent runs twice, a request with the outcome NotRun has run, a caller gets the response to another request, or a response has no outcome.
func TestProcessFaults(t *testing.T) {
	faults := map[string]func(c *cluster){
		"entry killed":               func(c *cluster) { c.signal(0, syscall.SIGKILL) },
		"entry killed and restarted": func(c *cluster) { c.signal(0, syscall.SIGKILL); c.startEntry(0) },
		"entry suspended":            func(c *cluster) { c.suspend(4 * time.Second) },
		"entry suspended twice":      func(c *cluster) { c.suspend(3 * time.Second); time.Sleep(time.Second); c.suspend(3 * time.Second) },
		"entry terminated":           func(c *cluster) { c.signal(0, syscall.SIGTERM) },
		"worker killed":              func(c *cluster) { c.closeWorker(0) },
		"worker fails everything":    func(c *cluster) { c.workers[0].SetMode(standin.ModeFastErrors) },
		"worker truncates responses": func(c *cluster) { c.workers[0].SetMode(standin.ModeTruncatedAnswer) },
		"platform down":              func(c *cluster) { c.platformFault(standin.Switches{Down: true}, 4*time.Second) },
		"platform slow":              func(c *cluster) { c.platformFault(standin.Switches{Delay: 400 * time.Millisecond}, 4*time.Second) },
		"commit responses lost":      func(c *cluster) { c.platformFault(standin.Switches{LossShare: 0.3, LateCommits: true}, 4*time.Second) },
		"entry killed while commit responses are lost": func(c *cluster) {
			c.faults.Set(standin.Switches{LossShare: 0.3})
			c.signal(0, syscall.SIGKILL)
			c.platformFault(standin.Switches{LossShare: 0.3}, 3*time.Second)
		},
		"entry suspended while the platform is down": func(c *cluster) {
			c.faults.Set(standin.Switches{Down: true})
			c.suspend(3 * time.Second)
			c.faults.Set(standin.Switches{})
		},
		"worker and entry killed": func(c *cluster) { c.closeWorker(1); c.signal(2, syscall.SIGKILL) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterEntries)
			for _, r := range c.sendLoad(clusterRequests, func() { fault(c) }) {
				c.checkGuarantees(r)
			}
		})
	}
}

// checkGuarantees compares the runs of a request with the responses to its attempts.
func (c *cluster) checkGuarantees(r *request) {
	runs, lastAttempt := c.runs(r.id), r.lastAttempt()
	if !r.idempotent {
		require.LessOrEqual(c.t, runs, 1, "request %s ran more than once: %+v", r.id, r.attempts)
	}
	mayHaveRun := false
	for _, attempt := range r.attempts {
		mayHaveRun = mayHaveRun || attempt.status == 0 || attempt.outcome != acaciatally.NotRun
		if attempt.status == http.StatusOK {
			require.True(c.t, strings.HasSuffix(attempt.body, r.body), "request %q got the response %q", r.body, attempt.body)
		}
	}
	if !mayHaveRun {
		require.Zero(c.t, runs, "request %s ran although all attempts had the outcome NotRun: %+v", r.id, r.attempts)
	}
	if lastAttempt.status != http.StatusOK {
		require.True(c.t, lastAttempt.status == 0 || lastAttempt.outcome != "", "response to request %s has no outcome: %+v", r.id, r.attempts)
	}
}

// TestTerminateUnderLoad guards against an entry that cuts off accepted requests when it is stopped by SIGTERM (P7 in docs/PROOFS.md).
func TestTerminateUnderLoad(t *testing.T) {
	c := newCluster(t, clusterEntries)
	requests := c.sendLoad(clusterRequests, func() { c.signal(0, syscall.SIGTERM) })
	for _, r := range requests {
		c.checkGuarantees(r)
		require.Equal(t, http.StatusOK, r.lastAttempt().status, "%+v", r.attempts)
		if !r.idempotent {
			require.Equal(t, 1, c.runs(r.id))
		}
	}
	require.NoError(t, c.entries[0].Wait())
}
