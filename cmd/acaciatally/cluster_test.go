package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	clusterEntries = 3
	clusterWorkers = 3
	operatorToken  = "cluster-token"
)

// cluster is real entries in front of a simulated platform and simulated workers that live in the test.
type cluster struct {
	t         *testing.T
	faults    *standin.Faults
	machines  *standin.Machines
	workers   []*standin.Worker
	endpoints []*httptest.Server
	settings  string
	entries   []*exec.Cmd
	callers   []string
	operators []string
	client    *http.Client
}

func newCluster(t *testing.T, entries int) *cluster {
	c := &cluster{t: t, machines: standin.NewMachines(standin.MachinesConfig{ListLag: time.Second, RebootTime: time.Second})}
	c.client = &http.Client{Timeout: 10 * time.Second}
	t.Cleanup(c.client.CloseIdleConnections)
	c.faults = standin.NewFaults(standin.FaultsConfig{
		Table: standin.NewTable(), Objects: standin.NewObjects(), List: c.machines, Control: c.machines,
	})
	platform := httptest.NewServer(standin.NewPlatformServer(standin.ServerConfig{
		Table: c.faults, Objects: c.faults, List: c.faults, Control: c.faults,
	}))
	t.Cleanup(platform.Close)
	var settings strings.Builder
	fmt.Fprintf(&settings, "Deployment: test\nDataCentres: [hall-a, hall-b, annex]\nPlatform: {Address: %q}\n", platform.Listener.Addr())
	fmt.Fprintf(&settings, "Peers: {Key: 0123456789abcdef}\nOperators: [{Name: maria, Token: %s}]\n", operatorToken)
	c.startWorkers(&settings)
	c.startEntries(&settings, entries)
	return c
}

var halls = []string{"hall-a", "hall-b", "annex"}

func (c *cluster) startWorkers(settings *strings.Builder) {
	settings.WriteString("Pools:\n- Name: coating\n  MaxUnavailable: 1\n  MinAvailable: 1\n  Instances:\n")
	for i := range clusterWorkers {
		id := acaciatally.InstanceID(fmt.Sprintf("coating-%d", i+1))
		worker := standin.NewWorker(standin.WorkerConfig{ID: id, Slots: 8, ServiceTime: 20 * time.Millisecond, Seed: uint64(i)})
		endpoint := httptest.NewServer(worker)
		c.t.Cleanup(endpoint.Close)
		c.workers, c.endpoints = append(c.workers, worker), append(c.endpoints, endpoint)
		address := netip.MustParseAddrPort(endpoint.Listener.Addr().String())
		c.machines.Add(standin.MachineConfig{
			ID: id, Address: address, DataCentre: acaciatally.DataCentre(halls[i]), Rack: acaciatally.Rack(halls[i]), Host: worker,
		})
		fmt.Fprintf(settings, "  - {ID: %s, DataCentre: %s, Rack: %s, Address: %q}\n", id, halls[i], halls[i], address)
	}
}

func (c *cluster) startEntries(settings *strings.Builder, entries int) {
	settings.WriteString("Entries:\n")
	for i := range entries {
		c.callers, c.operators = append(c.callers, freeAddress(c.t)), append(c.operators, freeAddress(c.t))
		fmt.Fprintf(settings, "- {ID: entry-%d, DataCentre: %s, CallerAddress: %q, OperatorAddress: %q, PeerAddress: %q}\n",
			i+1, halls[i%len(halls)], c.callers[i], c.operators[i], freeAddress(c.t))
	}
	c.settings = filepath.Join(c.t.TempDir(), "settings.yaml")
	require.NoError(c.t, os.WriteFile(c.settings, []byte(settings.String()), 0o600))
	c.entries = make([]*exec.Cmd, entries)
	for i := range entries {
		c.startEntry(i)
	}
	for i := range entries {
		c.untilReady(i)
	}
}

func (c *cluster) startEntry(i int) {
	entry := exec.CommandContext(context.Background(), os.Args[0], "serve", "-settings", c.settings, "-entry", fmt.Sprintf("entry-%d", i+1))
	entry.Env = append(os.Environ(), "ACACIATALLY_TEST_MAIN=1")
	require.NoError(c.t, entry.Start())
	c.entries[i] = entry
	c.t.Cleanup(func() {
		_ = entry.Process.Kill()
		_ = entry.Wait()
	})
}

func (c *cluster) untilReady(i int) {
	require.Eventually(c.t, func() bool {
		request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+c.operators[i]+"/readyz", http.NoBody)
		require.NoError(c.t, err)
		response, err := c.client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, time.Minute, 20*time.Millisecond)
}

// runs returns how often a request began to run, at all workers together.
func (c *cluster) runs(id string) (runs int) {
	for _, worker := range c.workers {
		runs += worker.Runs(id)
	}
	return runs
}

// reply is one answer to one attempt of a caller; status 0 is a broken connection.
type reply struct {
	status  int
	outcome acaciatally.Outcome
	body    string
}

func (c *cluster) send(entry int, r *request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callers[entry]+"/coating/strip", bytes.NewBufferString(r.body))
	require.NoError(c.t, err)
	request.Header.Set(acaciatally.RequestIDHeader, r.id)
	request.Header.Set(acaciatally.UrgencyHeader, r.urgency.String())
	request.Header.Set(acaciatally.DeadlineHeader, "3s")
	request.Header.Set(acaciatally.IdempotentHeader, fmt.Sprint(r.idempotent))
	response, err := c.client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{response.StatusCode, acaciatally.Outcome(response.Header.Get(acaciatally.OutcomeHeader)), string(content)}
}

// request is one request of a caller that tries one entry after the other until it has an answer.
type request struct {
	id         string
	body       string
	idempotent bool
	urgency    acaciatally.Urgency
	replies    []reply
}

func (r *request) last() reply { return r.replies[len(r.replies)-1] }

// callerTries bounds a caller's own retries.
const callerTries = 12

func (c *cluster) persist(r *request, first int) {
	for try := range callerTries {
		answer := c.send((first+try)%len(c.entries), r)
		r.replies = append(r.replies, answer)
		if answer.status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// load sends count normal requests from eight callers, and runs the fault when a third has been answered.
func (c *cluster) load(count int, fault func()) (requests []*request) {
	return c.loadOf(count, 8, acaciatally.Normal, fault)
}

// loadOf sends count requests of a class from a number of callers, every second one idempotent.
func (c *cluster) loadOf(count, parallel int, urgency acaciatally.Urgency, fault func()) (requests []*request) {
	queue := make(chan *request)
	var callers sync.WaitGroup
	for caller := range parallel {
		callers.Go(func() {
			for r := range queue {
				c.persist(r, caller)
			}
		})
	}
	for i := range count {
		if i == count/3 {
			callers.Go(fault)
		}
		r := &request{id: ulid.Make().String(), body: fmt.Sprintf("mirror %d", i), idempotent: i%2 == 0, urgency: urgency}
		requests = append(requests, r)
		queue <- r
	}
	close(queue)
	callers.Wait()
	return requests
}
