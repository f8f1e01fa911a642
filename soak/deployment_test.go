package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// Time bounds that the settings of the entries state.
const (
	gracePeriod      = 6 * time.Second
	maxLease         = 10 * time.Second
	instanceDowntime = 1500 * time.Millisecond
	reconnectTime    = 3 * time.Second // after a fault, until all connections count as restored
)

// deployment is the platform's emulator and the entries, each of which is a separate process.
type deployment struct {
	t         *testing.T
	dir       string
	program   string
	subnet    string // first three octets of its loopback addresses
	store     *emulator.Store
	control   *emulator.InstanceControl
	runLog    *emulator.RunLog
	entries   []*entry
	behaviour emulator.Behaviour
	version   int

	mutex       sync.Mutex
	workers     []*proxiedWorker
	workerCount int
	servers     []*http.Server
}

// proxiedWorker is a worker with the proxy in front of it.
type proxiedWorker struct {
	worker *emulator.Worker
	proxy  *proxy
}

// entry is an entry of the deployment with its current process.
type entry struct {
	name    string
	ip      string
	faults  *emulator.Faults
	proxy   *proxy // in front of the store
	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}

	failedChecks atomic.Int32 // consecutive failed readiness checks

	disturbedUntil time.Time // end of the time in which faults other than a planned stop may have effects
}

var subnets struct {
	sync.Mutex
	used int
}

// newSubnet returns a loopback subnet that no other deployment of this test process uses.
func newSubnet() string {
	subnets.Lock()
	defer subnets.Unlock()
	subnets.used++
	return fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, subnets.used%250)
}

func newDeployment(t *testing.T, program string, entries, instances int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, dir: t.TempDir(), program: program, subnet: newSubnet(), store: emulator.NewStore(),
		control: emulator.NewInstanceControl(instanceDowntime), runLog: &emulator.RunLog{},
		behaviour: emulator.Behaviour{Duration: func(string) time.Duration { return 400 * time.Millisecond }},
	}
	d.control.StartWorker = d.startWorker
	d.control.WorkerEnded = func(w *emulator.Worker) { d.store.Delete("servers", w.ID()) }
	d.serve(d.subnet+".2:8001", d.control)
	d.configure(0)
	pools := []string{"intake", "intake", "coating", "reserve"}
	for i := range instances {
		instance := &emulator.Instance{
			ID: fmt.Sprintf("m-%02d", i), Pool: pools[i%len(pools)], Zone: "hall-a", Rack: fmt.Sprintf("r-%d", i/4), CPU: 8000, Memory: 65536,
		}
		d.control.AddInstance(instance)
		instance.Worker = d.startWorker(instance)
	}
	for i := range entries {
		d.addEntry(i + 1)
	}
	t.Cleanup(d.close)
	return d
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.wait()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
}

func (d *deployment) serve(address string, handler http.Handler) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	require.NoError(d.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.mutex.Lock()
	d.servers = append(d.servers, server)
	d.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// configure stores the next version of the configuration, with a number of extra queues.
func (d *deployment) configure(extra int) {
	d.version++
	routes := []map[string]any{
		{"name": "quotes", "hostname": "a.example", "prefix": "/quotes/", "service": "intake", "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600},
		{"name": "plans", "hostname": "a.example", "prefix": "/plans/", "service": "coating", "priority": 1, "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600},
	}
	for i := range extra {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("extra-%d", i+1), "hostname": "a.example", "prefix": fmt.Sprintf("/extra%d/", i+1), "service": "intake", "attempts": 3,
		})
	}
	d.store.Put("op", "config", map[string]any{"version": d.version, "routes": routes, "services": []map[string]any{
		{"name": "intake"}, {"name": "coating"}, {"name": "reserve", "standby": true},
	}})
}

// startWorker starts a worker on an instance, behind a proxy, and stores its record; it returns nil for the standby pool.
func (d *deployment) startWorker(instance *emulator.Instance) *emulator.Worker {
	if instance.Pool == "reserve" {
		return nil
	}
	d.mutex.Lock()
	d.workerCount++
	number := d.workerCount
	d.mutex.Unlock()
	ip := fmt.Sprintf("%s.%d", d.subnet, 50+number%200)
	port := 8100 + number/200
	address := fmt.Sprintf("%s:%d", ip, port+1000)
	worker := emulator.NewWorker(emulator.WorkerConfig{
		ID: fmt.Sprintf("i-%03d", number), Address: address, Pool: instance.Pool, Instance: instance.ID, Zone: instance.Zone, Rack: instance.Rack, CPU: instance.CPU,
		Memory: instance.Memory, MaxLeaseMS: maxLease.Milliseconds(), Behaviour: d.behaviour, RunLog: d.runLog,
	})
	target := fmt.Sprintf("%s:%d", ip, port)
	d.serve(target, worker)
	proxied := &proxiedWorker{worker: worker, proxy: newProxy(d.t, address, target)}
	d.mutex.Lock()
	d.workers = append(d.workers, proxied)
	d.mutex.Unlock()
	d.store.Put("servers", worker.ID(), worker.Record())
	return worker
}

func (d *deployment) addEntry(number int) {
	e := &entry{name: fmt.Sprintf("entry-%d", number), ip: fmt.Sprintf("%s.%d", d.subnet, 10+number), faults: emulator.NewFaults()}
	store := fmt.Sprintf("%s.%d:8000", d.subnet, 30+number)
	d.serve(store, d.store.Handler(e.faults))
	e.proxy = newProxy(d.t, fmt.Sprintf("%s.%d:9000", d.subnet, 30+number), store)
	d.writeSettings(e)
	d.entries = append(d.entries, e)
	d.start(e)
}

// Parameters of the platform's load balancer.
const (
	checkInterval   = time.Second
	checkTimeout    = 900 * time.Millisecond
	maxFailedChecks = 2 // consecutive failures after which an entry gets no new connections
)

// runHealthChecks checks the readiness of all entries periodically until ctx ends, as the platform's load balancer does.
func (d *deployment) runHealthChecks(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, e := range d.entries {
			go e.checkReady(ctx, client)
		}
		time.Sleep(checkInterval)
	}
}

// checkReady checks the readiness of an entry and counts consecutive failures.
func (e *entry) checkReady(ctx context.Context, client *http.Client) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":8622/-/ready", http.NoBody)
	if err != nil {
		return // does not happen: the URL is valid
	}
	response, err := client.Do(request)
	if err != nil {
		e.failedChecks.Add(1)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		e.failedChecks.Add(1)
		return
	}
	e.failedChecks.Store(0)
}

// client returns an HTTP client that reuses open connections but opens new ones only to entries that the load balancer considers ready.
func (d *deployment) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, e := range d.entries {
			if address == e.ip+":8624" && e.failedChecks.Load() >= maxFailedChecks {
				return nil, errNotSent
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}}
}

func (d *deployment) settingsPath(e *entry) string { return filepath.Join(d.dir, e.name+".json") }

func (d *deployment) writeSettings(e *entry) {
	content, err := json.Marshal(map[string]any{
		"nodeName": e.name, "ip": e.ip, "zone": "hall-a", "bootstrap": true, "heartbeatMs": 1500, "commands": "invoke",
		"listenAddrs": map[string]string{"frontend": e.ip + ":8624", "ready": e.ip + ":8622"},
		"limits":      map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": 284, "linkMbps": 1000},
		"bounds": map[string]any{
			"gracePeriodS": gracePeriod.Seconds(), "holdMaxMs": maxLease.Milliseconds(), "status_s": 120, "migrateS": instanceDowntime.Seconds(),
			"maintenanceS": instanceDowntime.Seconds(), "contactMs": reconnectTime.Milliseconds(),
		},
		"platform": map[string]any{"address": e.proxy.listener.Addr().String(), "form": "table", "writesPerS": 800, "readsPerS": 2000},
		"cloudApi": map[string]any{"address": d.subnet + ".2:8001", "ratePerS": 64, "dutyPerS": 64},
	})
	require.NoError(d.t, err)
	require.NoError(d.t, os.WriteFile(d.settingsPath(e), content, 0o600))
}

// start starts the entry's process; its output is appended to the entry's log file.
func (d *deployment) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	process := exec.CommandContext(context.Background(), d.program, "attend", "-settings", d.settingsPath(e))
	process.Stdout, process.Stderr = log, log
	require.NoError(d.t, process.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_, _ = process.Wait(), log.Close() // a killed process also returns an error
	}()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.exited = process, exited
}

func (e *entry) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.process.Process.Signal(signal) // fails if the process has already ended
}

// wait waits until the process has ended.
func (e *entry) wait() {
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	<-exited
}

// running reports whether the process has not exited.
func (e *entry) running() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// markDisturbed records a fault at the entry that ends at the given time.
func (e *entry) markDisturbed(until time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if end := until.Add(reconnectTime); end.After(e.disturbedUntil) {
		e.disturbedUntil = end
	}
}

// undisturbedSince reports whether no fault other than a planned stop can have had effects on the entry since the given time.
func (e *entry) undisturbedSince(since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return since.After(e.disturbedUntil)
}
