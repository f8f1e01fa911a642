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

// cluster is a set of entries, each a separate process, with a simulated platform and simulated workers in the test process.
type cluster struct {
	t                 *testing.T
	faults            *standin.Faults
	machines          *standin.Machines
	workers           []*standin.Worker
	endpoints         []*httptest.Server
	settings          string
	entries           []*exec.Cmd
	callerAddresses   []string
	operatorAddresses []string
	client            *http.Client
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

var dataCentres = []string{"hall-a", "hall-b", "annex"}

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
			ID: id, Address: address, DataCentre: acaciatally.DataCentre(dataCentres[i]), Rack: acaciatally.Rack(dataCentres[i]), Host: worker,
		})
		fmt.Fprintf(settings, "  - {ID: %s, DataCentre: %s, Rack: %s, Address: %q}\n", id, dataCentres[i], dataCentres[i], address)
	}
}

func (c *cluster) startEntries(settings *strings.Builder, entries int) {
	settings.WriteString("Entries:\n")
	for i := range entries {
		c.callerAddresses, c.operatorAddresses = append(c.callerAddresses, freeAddress(c.t)), append(c.operatorAddresses, freeAddress(c.t))
		fmt.Fprintf(settings, "- {ID: entry-%d, DataCentre: %s, CallerAddress: %q, OperatorAddress: %q, PeerAddress: %q}\n",
			i+1, dataCentres[i%len(dataCentres)], c.callerAddresses[i], c.operatorAddresses[i], freeAddress(c.t))
	}
	c.settings = filepath.Join(c.t.TempDir(), "settings.yaml")
	require.NoError(c.t, os.WriteFile(c.settings, []byte(settings.String()), 0o600))
	c.entries = make([]*exec.Cmd, entries)
	for i := range entries {
		c.startEntry(i)
	}
	for i := range entries {
		c.awaitReady(i)
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

func (c *cluster) awaitReady(i int) {
	require.Eventually(c.t, func() bool {
		request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+c.operatorAddresses[i]+"/readyz", http.NoBody)
		require.NoError(c.t, err)
		response, err := c.client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, time.Minute, 20*time.Millisecond)
}

// runs returns how many runs of a request all workers have started.
func (c *cluster) runs(id string) (runs int) {
	for _, worker := range c.workers {
		runs += worker.Runs(id)
	}
	return runs
}

// attempt is the result of one attempt of a caller; status 0 means that there was no complete response.
type attempt struct {
	status  int
	outcome acaciatally.Outcome
	body    string
}

func (c *cluster) send(entry int, r *request) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callerAddresses[entry]+"/coating/strip", bytes.NewBufferString(r.body))
	require.NoError(c.t, err)
	request.Header.Set(acaciatally.RequestIDHeader, r.id)
	request.Header.Set(acaciatally.UrgencyHeader, r.urgency.String())
	request.Header.Set(acaciatally.DeadlineHeader, "3s")
	request.Header.Set(acaciatally.IdempotentHeader, fmt.Sprint(r.idempotent))
	response, err := c.client.Do(request)
	if err != nil {
		return attempt{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{}
	}
	return attempt{response.StatusCode, acaciatally.Outcome(response.Header.Get(acaciatally.OutcomeHeader)), string(content)}
}

// request is one request of a caller with the results of its attempts.
type request struct {
	id         string
	body       string
	idempotent bool
	urgency    acaciatally.Urgency
	attempts   []attempt
}

func (r *request) lastAttempt() attempt { return r.attempts[len(r.attempts)-1] }

// maxAttempts is the maximum number of attempts of a caller for one request.
const maxAttempts = 12

// sendWithRetries sends the request to one entry after the other until it succeeds.
func (c *cluster) sendWithRetries(r *request, first int) {
	for try := range maxAttempts {
		result := c.send((first+try)%len(c.entries), r)
		r.attempts = append(r.attempts, result)
		if result.status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendLoad sends count requests of normal urgency from eight callers and injects the fault after a third of them.
func (c *cluster) sendLoad(count int, fault func()) (requests []*request) {
	return c.sendLoadOf(count, 8, acaciatally.Normal, fault)
}

// sendLoadOf sends count requests of one urgency from a number of parallel callers, every second one idempotent. It injects the fault after
// a third of the requests and returns when all callers are done.
func (c *cluster) sendLoadOf(count, parallel int, urgency acaciatally.Urgency, fault func()) (requests []*request) {
	queue := make(chan *request)
	var callers sync.WaitGroup
	for caller := range parallel {
		callers.Go(func() {
			for r := range queue {
				c.sendWithRetries(r, caller)
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
