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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/logbook"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/platform/emulator"
	"github.com/acaciatally/acaciatally/site"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	longestLease = 10 * time.Second
	awayTime     = 1500 * time.Millisecond
	dialTimeout  = 700 * time.Millisecond
)

// world is a whole deployment in virtual time: the platform's stand-in, entries with the real adapter, and callers.
type world struct {
	t        *testing.T
	network  *standin.Network
	store    *emulator.Store
	control  *emulator.Control
	ledger   *emulator.Ledger
	epoch    time.Time
	mu       sync.Mutex
	workers  map[string]*emulator.Worker
	entries  []*entry
	servers  []*http.Server
	caller   *http.Client
	lives    int
	behave   emulator.Behaviour
	machines int
	waiting  sync.WaitGroup
	log      io.Writer
	cores    float64 // of the entries added from now on
}

type entry struct {
	name   string
	ip     netip.Addr
	faults *emulator.Faults
	stop   context.CancelFunc
	done   chan struct{}
}

// newWorld returns a deployment with two queues, two serving pools and one on standby.
func newWorld(t *testing.T, entries int) *world {
	w := &world{
		t: t, network: standin.NewNetwork(), store: emulator.NewStore(), control: emulator.NewControl(awayTime),
		ledger: &emulator.Ledger{}, epoch: time.Now(), workers: map[string]*emulator.Worker{}, log: io.Discard, cores: 1,
	}
	w.behave = emulator.Behaviour{Took: func(string) time.Duration { return 800 * time.Millisecond }}
	w.control.Boot = w.boot
	w.control.Gone = func(worker *emulator.Worker) { w.store.Drop("servers", worker.ID()) }
	w.serve(webAddress("10.8.0.1"), w.control)
	w.caller = &http.Client{Transport: &http.Transport{DialContext: w.dial(netip.MustParseAddr("10.7.0.1")), MaxIdleConnsPerHost: 8}}
	w.configure(1, 0)
	for range entries {
		w.addEntry()
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	for _, e := range w.entries {
		e.stop()
	}
	for _, e := range w.entries {
		<-e.done
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.caller.CloseIdleConnections()
	w.mu.Lock()
	for _, worker := range w.workers {
		worker.Crash()
	}
	w.mu.Unlock()
	w.waiting.Wait()
	time.Sleep(2 * dialTimeout) // until connections that were being opened have failed
}

// webAddress returns the address of a simulated host's only server.
func webAddress(ip string) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), 80) }

func (w *world) serve(address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := w.network.Listen(address)
	w.servers = append(w.servers, server)
	w.waiting.Go(func() { _ = server.Serve(listener) })
}

func (w *world) dial(from netip.Addr) platform.Dial {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := w.network.Dial(netip.AddrPortFrom(from, 0))(ctx, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return conn, nil
	}
}

// configure writes a version of the configuration; extra queues are idle.
func (w *world) configure(version, extra int) {
	routes := []map[string]any{
		{"name": "quotes", "hostname": "a.example", "prefix": "/quotes/", "service": "intake", "priority": 0, "attempts": 2, "stretch": 1.6, "targetLatencyMs": 600},
		{"name": "plans", "hostname": "a.example", "prefix": "/plans/", "service": "coating", "priority": 1, "attempts": 2, "stretch": 1.6, "targetLatencyMs": 600},
	}
	for i := range extra {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("idle-%d", i), "hostname": "b.example", "prefix": fmt.Sprintf("/idle%d/", i), "service": "intake",
		})
	}
	w.store.Put("op", "config", map[string]any{"version": version, "routes": routes, "services": []map[string]any{
		{"name": "intake", "healthPath": "/health"},
		{"name": "coating", "healthPath": "/health"},
		{"name": "reserve", "healthPath": "/health", "standby": true},
	}})
}

// addMachines adds instances with workers to a pool; those of the pool on standby have no worker.
func (w *world) addMachines(pool string, count int) {
	for range count {
		w.machines++
		m := &emulator.Machine{
			ID: fmt.Sprintf("m-%02d", w.machines), Pool: pool, Zone: "hall-a", Rack: fmt.Sprintf("r-%d", w.machines/4), CPU: 8000, Memory: 65536,
		}
		w.control.Add(m)
		m.Worker = w.boot(m)
	}
}

// boot starts a worker on a machine and lists it.
func (w *world) boot(m *emulator.Machine) *emulator.Worker {
	if m.Pool == "reserve" {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(w.lives >> 8), byte(w.lives)}), 8080)
	worker := emulator.NewWorker(emulator.WorkerConfig{
		ID: fmt.Sprintf("i-%03d", w.lives), Address: address.String(), Pool: m.Pool, Machine: m.ID, Zone: m.Zone, Rack: m.Rack,
		CPU: m.CPU, Memory: m.Memory, LongestMS: longestLease.Milliseconds(), Behaviour: w.behave, Ledger: w.ledger,
	})
	w.workers[worker.ID()] = worker
	w.serve(address, worker)
	w.store.Put("servers", worker.ID(), worker.Entry())
	return worker
}

func (w *world) addEntry() *entry {
	number := len(w.entries) + 1
	e := &entry{
		name: fmt.Sprintf("entry-%d", number), ip: netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), faults: emulator.NewFaults(),
	}
	w.serve(webAddress(fmt.Sprintf("10.9.0.%d", number)), w.store.Handler(e.faults))
	w.entries = append(w.entries, e)
	w.run(e, number)
	return e
}

// run starts the entry's process.
func (w *world) run(e *entry, number int) {
	ctx, stop := context.WithCancel(w.t.Context())
	e.stop, e.done = stop, make(chan struct{})
	dial := w.dial(e.ip)
	book := logbook.New(w.log, e.name)
	process := site.New(site.Config{
		Name: e.name, CallerListen: netip.AddrPortFrom(e.ip, 80), ReadyListen: netip.AddrPortFrom(e.ip, 81), Grace: 6 * time.Second,
		Store:  platform.NewStore(webAddress(fmt.Sprintf("10.9.0.%d", number)), dial),
		Orders: platform.NewOrders(dial),
		Fleet:  platform.NewFleet(webAddress("10.8.0.1"), dial), WaveStatus: platform.WaveStatus,
		Operators: site.OperatorRecords{
			Table: platform.OperatorTable, ConfigurationKey: platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWave: platform.DecodeWave,
		},
		WorkerTable: platform.WorkerTable, DecodeWorker: platform.DecodeWorker,
		NewFront:     func(desk acaciatally.JobDesk, ready func() bool) site.Front { return platform.NewFront(desk, ready) },
		LongestLease: longestLease, Retention: time.Minute, MoveTime: awayTime, MaintenanceTime: awayTime,
		Journal: book, Spread: float64(number) / 10, Processors: w.cores,
		Now: func() time.Duration { return time.Since(w.epoch) },
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			return w.network.Listen(netip.MustParseAddrPort(address)), nil
		},
	})
	go func() {
		defer close(e.done)
		_ = process.Run(ctx) // ends with the test
		_ = book.Close()
	}()
}

// call sends a request of a caller to the entry and returns the status and body; status 0 is no answer.
func (w *world) call(e *entry, method, path string, body any) (status int, answer map[string]any) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 3*time.Second)
	defer cancel()
	content, err := json.Marshal(body)
	require.NoError(w.t, err)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip.String()+":80"+path, strings.NewReader(string(content)))
	require.NoError(w.t, err)
	request.Host = "a.example"
	response, err := w.caller.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer) // some answers have no body
	return response.StatusCode, answer
}

// submit hands a job in and requires that it is accepted.
func (w *world) submit(e *entry, path string, body any) {
	w.t.Helper()
	status, _ := w.call(e, http.MethodPost, path, body)
	require.Equal(w.t, http.StatusOK, status)
}

// state returns the state that an entry tells of a job.
func (w *world) state(e *entry, path string) string {
	_, answer := w.call(e, http.MethodGet, path, nil)
	text, _ := answer["state"].(string)
	return text
}

// await waits until the job is in the state.
func (w *world) await(e *entry, path, state string, limit time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(limit)
	for w.state(e, path) != state {
		require.True(w.t, time.Now().Before(deadline), "%s is %q, not %q", path, w.state(e, path), state)
		time.Sleep(50 * time.Millisecond)
	}
}

// checkOnce requires that no task ran twice at the same time or again after its end was recorded.
func (w *world) checkOnce() {
	w.t.Helper()
	byTask := map[string][]emulator.Run{}
	for _, run := range w.ledger.Runs() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for task, runs := range byTask {
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				over := !earlier.Ended.IsZero() && !earlier.Ended.After(later.Began)
				require.True(w.t, over, "%s runs twice at once: %+v %+v", task, earlier, later)
				require.False(w.t, earlier.End == "done" && earlier.Noted, "%s started after it was done", task)
			}
		}
	}
}

// leader returns the entry that holds the lease.
func (w *world) leader() *entry {
	w.t.Helper()
	for _, row := range w.store.Rows("Lease") {
		var lease struct{ Holder string }
		require.NoError(w.t, json.Unmarshal(row.Value, &lease))
		for _, e := range w.entries {
			if e.name == lease.Holder {
				return e
			}
		}
	}
	require.Fail(w.t, "no entry leads")
	return nil
}

// other returns an entry that does not lead.
func (w *world) other() *entry {
	for _, e := range w.entries {
		if e != w.leader() {
			return e
		}
	}
	return nil
}
