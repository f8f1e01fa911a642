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

// clusterRequests is a load that goes on through the longest fault of TestProcessFaults.
const clusterRequests = 600

func (c *cluster) signal(entry int, signal syscall.Signal) {
	require.NoError(c.t, c.entries[entry].Process.Signal(signal))
}

// freeze stops entry 0 for a while.
func (c *cluster) freeze(pause time.Duration) {
	c.signal(0, syscall.SIGSTOP)
	time.Sleep(pause)
	c.signal(0, syscall.SIGCONT)
}

func (c *cluster) killWorker(i int) {
	c.endpoints[i].CloseClientConnections()
	_ = c.endpoints[i].Listener.Close()
}

func (c *cluster) platformFault(switches standin.Switches, pause time.Duration) {
	c.faults.Set(switches)
	time.Sleep(pause)
	c.faults.Set(standin.Switches{})
}

// TestProcessFaults guards the promises to callers in real processes: no request that is not idempotent runs twice, a request that
// is refused as not run did not run, each caller gets the answer to its own request, and every request ends in an answer that
// says what became of it.
func TestProcessFaults(t *testing.T) {
	faults := map[string]func(c *cluster){
		"entry killed":              func(c *cluster) { c.signal(0, syscall.SIGKILL) },
		"entry killed and replaced": func(c *cluster) { c.signal(0, syscall.SIGKILL); c.startEntry(0) },
		"entry frozen and woken":    func(c *cluster) { c.freeze(4 * time.Second) },
		"entry frozen twice":        func(c *cluster) { c.freeze(3 * time.Second); time.Sleep(time.Second); c.freeze(3 * time.Second) },
		"entry terminated":          func(c *cluster) { c.signal(0, syscall.SIGTERM) },
		"worker killed":             func(c *cluster) { c.killWorker(0) },
		"worker fails everything":   func(c *cluster) { c.workers[0].SetMode(standin.ModeFastErrors) },
		"worker breaks answers off": func(c *cluster) { c.workers[0].SetMode(standin.ModeTruncatedAnswer) },
		"platform down":             func(c *cluster) { c.platformFault(standin.Switches{Down: true}, 4*time.Second) },
		"platform slow":             func(c *cluster) { c.platformFault(standin.Switches{Delay: 400 * time.Millisecond}, 4*time.Second) },
		"commit answers lost":       func(c *cluster) { c.platformFault(standin.Switches{LossShare: 0.3, LateCommits: true}, 4*time.Second) },
		"entry killed while answers are lost": func(c *cluster) {
			c.faults.Set(standin.Switches{LossShare: 0.3})
			c.signal(0, syscall.SIGKILL)
			c.platformFault(standin.Switches{LossShare: 0.3}, 3*time.Second)
		},
		"entry frozen while the platform is down": func(c *cluster) {
			c.faults.Set(standin.Switches{Down: true})
			c.freeze(3 * time.Second)
			c.faults.Set(standin.Switches{})
		},
		"worker and entry killed": func(c *cluster) { c.killWorker(1); c.signal(2, syscall.SIGKILL) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterEntries)
			for _, r := range c.load(clusterRequests, func() { fault(c) }) {
				c.check(r)
			}
		})
	}
}

func (c *cluster) check(r *request) {
	runs, last := c.runs(r.id), r.last()
	if !r.idempotent {
		require.LessOrEqual(c.t, runs, 1, "request %s ran more than once: %+v", r.id, r.replies)
	}
	unsure := false
	for _, answer := range r.replies {
		unsure = unsure || answer.status == 0 || answer.outcome != acaciatally.NotRun
		if answer.status == http.StatusOK {
			require.True(c.t, strings.HasSuffix(answer.body, r.body), "request %q got the answer %q", r.body, answer.body)
		}
	}
	if !unsure {
		require.Zero(c.t, runs, "request %s ran, but was refused as not run: %+v", r.id, r.replies)
	}
	if last.status != http.StatusOK {
		require.True(c.t, last.status == 0 || last.outcome != "", "request %s got no outcome: %+v", r.id, r.replies)
	}
}

// TestTerminateUnderLoad guards P7: an entry that is stopped by SIGTERM cuts no request that it had accepted.
func TestTerminateUnderLoad(t *testing.T) {
	c := newCluster(t, clusterEntries)
	requests := c.load(clusterRequests, func() { c.signal(0, syscall.SIGTERM) })
	for _, r := range requests {
		c.check(r)
		require.Equal(t, http.StatusOK, r.last().status, "%+v", r.replies)
		if !r.idempotent {
			require.Equal(t, 1, c.runs(r.id))
		}
	}
	require.NoError(t, c.entries[0].Wait())
}
