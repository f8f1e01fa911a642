package site_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/platform/emulator"
	"github.com/acaciatally/acaciatally/site"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	maxLease         = 10 * time.Second
	instanceDowntime = 1500 * time.Millisecond
	dialTimeout      = 700 * time.Millisecond
)

// deployment is a complete deployment in virtual time: the platform's emulator, entries with the real platform client, and a caller.
type deployment struct {
	t                *testing.T
	network          *standin.Network
	store            *emulator.Store
	instanceControl  *emulator.InstanceControl
	runLog           *emulator.RunLog
	startedAt        time.Time
	mu               sync.Mutex
	workers          map[string]*emulator.Worker
	entries          []*entry
	servers          []*http.Server
	callerClient     *http.Client
	workerCount      int
	behaviour        emulator.Behaviour
	instanceCount    int
	serverGoroutines sync.WaitGroup
	log              io.Writer
	// adaptConfig changes the configuration of the entries' processes added from now on; nil leaves it.
	adaptConfig  func(config *site.Config)
	processors   float64           // cores of the entries added from now on
	interference interference.Mode // of the entries added from now on
	clockRate    float64           // of the clocks of the workers added from now on; 0 is 1
	linkBits     float64           // link speed of the entries added from now on, in bits per second; 0 is unlimited
}

type entry struct {
	name   string
	ip     netip.Addr
	faults *emulator.Faults
	stop   context.CancelFunc
	done   chan struct{}
	paused atomic.Int64 // time in nanoseconds for which the entry was suspended, by which its clock is ahead of its timers
}

// newDeployment returns a deployment with two queues, two serving pools and one standby pool.
func newDeployment(t *testing.T, entries int) *deployment {
	d := &deployment{
		t: t, network: standin.NewNetwork(), store: emulator.NewStore(), instanceControl: emulator.NewInstanceControl(instanceDowntime),
		runLog: &emulator.RunLog{}, startedAt: time.Now(), workers: map[string]*emulator.Worker{}, log: io.Discard, processors: 1,
	}
	d.behaviour = emulator.Behaviour{Duration: func(string) time.Duration { return 800 * time.Millisecond }}
	d.instanceControl.StartWorker = d.startWorker
	d.instanceControl.WorkerEnded = func(worker *emulator.Worker) { d.store.Delete("servers", worker.ID()) }
	d.serve(webAddress("10.8.0.1"), d.instanceControl)
	d.callerClient = &http.Client{Transport: &http.Transport{DialContext: d.dial(netip.MustParseAddr("10.7.0.1")), MaxIdleConnsPerHost: 8}}
	d.configure(1, 0)
	for range entries {
		d.addEntry()
	}
	t.Cleanup(d.close)
	return d
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.stop()
	}
	for _, e := range d.entries {
		<-e.done
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.callerClient.CloseIdleConnections()
	d.mu.Lock()
	for _, worker := range d.workers {
		worker.Crash()
	}
	d.mu.Unlock()
	d.serverGoroutines.Wait()
	time.Sleep(2 * dialTimeout) // pending dials have failed by then
}

// webAddress returns the address of a simulated host's only server.
func webAddress(ip string) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), 80) }

func (d *deployment) serve(address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := d.network.Listen(address)
	d.servers = append(d.servers, server)
	d.serverGoroutines.Go(func() { _ = server.Serve(listener) })
}

func (d *deployment) dial(from netip.Addr) platform.Dial {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := d.network.Dial(netip.AddrPortFrom(from, 0))(ctx, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return conn, nil
	}
}

// configure stores a version of the configuration, with a number of extra queues of the pool intake.
func (d *deployment) configure(version, extra int) {
	routes := []map[string]any{
		{"name": "quotes", "hostname": "a.example", "prefix": "/quotes/", "service": "intake", "priority": 0, "attempts": 2, "stretch": 1.6, "targetLatencyMs": 600},
		{"name": "plans", "hostname": "a.example", "prefix": "/plans/", "service": "coating", "priority": 1, "attempts": 2, "stretch": 1.6, "targetLatencyMs": 600},
	}
	for i := range extra {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("idle-%d", i), "hostname": "a.example", "prefix": fmt.Sprintf("/idle%d/", i), "service": "intake",
		})
	}
	d.store.Put("op", "config", map[string]any{"version": version, "routes": routes, "services": []map[string]any{
		{"name": "intake", "healthPath": "/health"},
		{"name": "coating", "healthPath": "/health"},
		{"name": "reserve", "healthPath": "/health", "standby": true},
	}})
}

// addInstances adds instances to a pool, each with a worker unless the pool is on standby.
func (d *deployment) addInstances(pool string, count int) {
	for range count {
		d.instanceCount++
		instance := &emulator.Instance{
			ID: fmt.Sprintf("m-%02d", d.instanceCount), Pool: pool, Zone: "hall-a", Rack: fmt.Sprintf("r-%d", d.instanceCount/4), CPU: 8000, Memory: 65536,
		}
		instance.Worker = d.startWorker(instance)
		d.instanceControl.AddInstance(instance)
	}
}

// startWorker starts a worker on an instance and stores its record; it returns nil for the standby pool.
func (d *deployment) startWorker(instance *emulator.Instance) *emulator.Worker {
	if instance.Pool == "reserve" {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workerCount++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(d.workerCount >> 8), byte(d.workerCount)}), 8080)
	worker := emulator.NewWorker(emulator.WorkerConfig{
		ID: fmt.Sprintf("i-%03d", d.workerCount), Address: address.String(), Pool: instance.Pool, Instance: instance.ID, Zone: instance.Zone, Rack: instance.Rack,
		CPU: instance.CPU, Memory: instance.Memory, MaxLeaseMS: maxLease.Milliseconds(), ClockRate: d.clockRate,
		Behaviour: d.behaviour, RunLog: d.runLog,
	})
	d.workers[worker.ID()] = worker
	d.serve(address, worker)
	d.store.Put("servers", worker.ID(), worker.Record())
	return worker
}

func (d *deployment) addEntry() *entry { return d.addEntryWithFaults(func(*emulator.Faults) {}) }

// addEntryWithFaults adds an entry whose connection to the store has faults from the start.
func (d *deployment) addEntryWithFaults(set func(faults *emulator.Faults)) *entry {
	number := len(d.entries) + 1
	e := &entry{
		name: fmt.Sprintf("entry-%d", number), ip: netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), faults: emulator.NewFaults(),
	}
	set(e.faults)
	d.serve(webAddress(fmt.Sprintf("10.9.0.%d", number)), d.store.Handler(e.faults))
	d.entries = append(d.entries, e)
	if d.linkBits > 0 {
		d.network.LimitLink(e.ip, d.linkBits)
	}
	d.startProcess(e, number)
	return e
}

// startProcess starts the entry's process; number determines the address of its store and its takeover jitter.
func (d *deployment) startProcess(e *entry, number int) {
	ctx, stop := context.WithCancel(d.t.Context())
	e.stop, e.done = stop, make(chan struct{})
	dial := d.dial(e.ip)
	logger := eventlog.New(d.log, e.name)
	config := site.Config{
		Name: e.name, CallerListen: netip.AddrPortFrom(e.ip, 80), ReadyListen: netip.AddrPortFrom(e.ip, 81), GracePeriod: 6 * time.Second,
		Store:  platform.NewStore(platform.StoreConfig{Address: webAddress(fmt.Sprintf("10.9.0.%d", number)), Dial: dial, LinkBitsPerSecond: d.linkBits}),
		Orders: platform.NewWorkerClient(dial),
		Fleet:  platform.NewFleetClient(webAddress("10.8.0.1"), dial), WaveStatus: platform.WaveStatus,
		Operators: site.OperatorRecords{
			Table: platform.OperatorTable, ConfigurationKey: platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWave: platform.DecodeWave,
		},
		WorkerTable: platform.WorkerTable, DecodeWorker: platform.DecodeWorker,
		NewJobAPI: func(jobs acaciatally.JobService, ready func() bool) site.JobAPI {
			return platform.NewJobAPI(jobs, ready)
		},
		MaxLease: maxLease, Retention: time.Minute, MoveTime: instanceDowntime, MaintenanceTime: instanceDowntime,
		EventLog: logger, TakeoverJitter: float64(number) / 10, Processors: d.processors, LinkBitsPerSecond: d.linkBits,
		Now: func() time.Duration { return time.Since(d.startedAt) + time.Duration(e.paused.Load()) }, Interference: d.interference,
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			return d.network.Listen(netip.MustParseAddrPort(address)), nil
		},
	}
	if d.adaptConfig != nil {
		d.adaptConfig(&config)
	}
	process := site.New(config)
	go func() {
		defer close(e.done)
		_ = process.Run(ctx) // ends with the test
		_ = logger.Close()
	}()
}

// call sends a caller's request without a key to the entry and returns the status and the decoded body; status 0 means that there was no response.
func (d *deployment) call(e *entry, method, path string, body any) (status int, answer map[string]any) {
	d.t.Helper()
	return d.callWithKey(e, method, path, "", body)
}

// callWithKey is call with the key of an account; an empty one is not sent.
func (d *deployment) callWithKey(e *entry, method, path, key string, body any) (status int, answer map[string]any) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), 3*time.Second)
	defer cancel()
	content, err := json.Marshal(body)
	require.NoError(d.t, err)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip.String()+":80"+path, strings.NewReader(string(content)))
	require.NoError(d.t, err)
	request.Host = "a.example"
	if key != "" {
		request.Header.Set("Acaciatally-Key", key)
	}
	response, err := d.callerClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer) // some answers have no body
	return response.StatusCode, answer
}

// submit submits a job and requires that it is accepted.
func (d *deployment) submit(e *entry, path string, body any) {
	d.t.Helper()
	status, _ := d.call(e, http.MethodPost, path, body)
	require.Equal(d.t, http.StatusOK, status)
}

// state returns the state of a job as the entry reports it.
func (d *deployment) state(e *entry, path string) string {
	_, answer := d.call(e, http.MethodGet, path, nil)
	text, _ := answer["state"].(string)
	return text
}

// awaitState waits until the entry reports the job in the state.
func (d *deployment) awaitState(e *entry, path, state string, limit time.Duration) {
	d.t.Helper()
	deadline := time.Now().Add(limit)
	for d.state(e, path) != state {
		require.True(d.t, time.Now().Before(deadline), "%s is %q, not %q", path, d.state(e, path), state)
		time.Sleep(50 * time.Millisecond)
	}
}

// checkNoDuplicateRuns requires that no task ran twice at the same time, or again after its completion was recorded.
func (d *deployment) checkNoDuplicateRuns() {
	d.t.Helper()
	byTask := map[string][]emulator.Run{}
	for _, run := range d.runLog.Runs() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for task, runs := range byTask {
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				endedBefore := !earlier.EndedAt.IsZero() && !earlier.EndedAt.After(later.StartedAt)
				require.True(d.t, endedBefore, "%s has two runs at the same time: %+v %+v", task, earlier, later)
				require.False(d.t, earlier.End == "done" && earlier.Acknowledged, "%s was started again after its completion was recorded", task)
			}
		}
	}
}

// leader returns the entry that holds the lease.
func (d *deployment) leader() *entry {
	d.t.Helper()
	leader := d.findLeader()
	require.NotNil(d.t, leader, "no entry leads")
	return leader
}

// findLeader returns the entry that holds the lease, or nil if there is none.
func (d *deployment) findLeader() *entry {
	d.t.Helper()
	for _, row := range d.store.Rows("Lease") {
		var lease struct{ Holder string }
		require.NoError(d.t, json.Unmarshal(row.Value, &lease))
		for _, e := range d.entries {
			if e.name == lease.Holder {
				return e
			}
		}
	}
	return nil
}

// nonLeader returns an entry that does not lead.
func (d *deployment) nonLeader() *entry {
	for _, e := range d.entries {
		if e != d.leader() {
			return e
		}
	}
	return nil
}
