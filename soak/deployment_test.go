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

// The bounds of the deployment, as its settings state them.
const (
	grace        = 6 * time.Second
	longestLease = 10 * time.Second
	awayTime     = 1500 * time.Millisecond
	contact      = 3 * time.Second // after the last fault, everything counts as in touch
)

// deployment is the platform's stand-in and the entries, which are processes of their own.
type deployment struct {
	t       *testing.T
	dir     string
	program string
	subnet  string // the first three parts of its loopback addresses
	store   *emulator.Store
	control *emulator.Control
	ledger  *emulator.Ledger
	entries []*entry
	behave  emulator.Behaviour
	version int

	mutex   sync.Mutex
	workers []*workerLink
	lives   int
	servers []*http.Server
}

// workerLink is a worker and the proxy before it.
type workerLink struct {
	worker *emulator.Worker
	proxy  *proxy
}

// entry is one process of the program.
type entry struct {
	name    string
	ip      string
	faults  *emulator.Faults
	proxy   *proxy // before the store
	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}

	missed atomic.Int32 // readiness checks without a good answer, one after another

	disturbedUntil time.Time // faults other than a planned stop are near until then
}

var subnets struct {
	sync.Mutex
	used int
}

// newSubnet returns a loopback subnet of its own for each deployment of this process.
func newSubnet() string {
	subnets.Lock()
	defer subnets.Unlock()
	subnets.used++
	return fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, subnets.used%250)
}

func newDeployment(t *testing.T, program string, entries, machines int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, dir: t.TempDir(), program: program, subnet: newSubnet(), store: emulator.NewStore(),
		control: emulator.NewControl(awayTime), ledger: &emulator.Ledger{},
		behave: emulator.Behaviour{Took: func(string) time.Duration { return 400 * time.Millisecond }},
	}
	d.control.Boot = d.boot
	d.control.Gone = func(w *emulator.Worker) { d.store.Drop("servers", w.ID()) }
	d.serve(d.subnet+".2:8001", d.control)
	d.configure(0)
	pools := []string{"intake", "intake", "coating", "reserve"}
	for i := range machines {
		m := &emulator.Machine{
			ID: fmt.Sprintf("m-%02d", i), Pool: pools[i%len(pools)], Zone: "hall-a", Rack: fmt.Sprintf("r-%d", i/4), CPU: 8000, Memory: 65536,
		}
		d.control.Add(m)
		m.Worker = d.boot(m)
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

// configure writes the next version of the configuration with a number of additional queues.
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

// boot starts a worker on a machine, behind a proxy, and lists it; a machine on standby has none.
func (d *deployment) boot(m *emulator.Machine) *emulator.Worker {
	if m.Pool == "reserve" {
		return nil
	}
	d.mutex.Lock()
	d.lives++
	life := d.lives
	d.mutex.Unlock()
	ip := fmt.Sprintf("%s.%d", d.subnet, 50+life%200)
	port := 8100 + life/200
	address := fmt.Sprintf("%s:%d", ip, port+1000)
	worker := emulator.NewWorker(emulator.WorkerConfig{
		ID: fmt.Sprintf("i-%03d", life), Address: address, Pool: m.Pool, Machine: m.ID, Zone: m.Zone, Rack: m.Rack, CPU: m.CPU,
		Memory: m.Memory, LongestMS: longestLease.Milliseconds(), Behaviour: d.behave, Ledger: d.ledger,
	})
	target := fmt.Sprintf("%s:%d", ip, port)
	d.serve(target, worker)
	link := &workerLink{worker: worker, proxy: newProxy(d.t, address, target)}
	d.mutex.Lock()
	d.workers = append(d.workers, link)
	d.mutex.Unlock()
	d.store.Put("servers", worker.ID(), worker.Entry())
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

// The load balancer's checks, as the platform does them.
const (
	checkEvery   = time.Second
	checkTimeout = 900 * time.Millisecond
	mostMissed   = 2 // after which an entry gets no new connections
)

// balance checks the readiness of all entries until ctx ends.
func (d *deployment) balance(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, e := range d.entries {
			go e.checkReady(ctx, client)
		}
		time.Sleep(checkEvery)
	}
}

// checkReady counts the readiness checks that an entry has missed.
func (e *entry) checkReady(ctx context.Context, client *http.Client) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":8622/-/ready", http.NoBody)
	if err != nil {
		return // a fixed address always parses
	}
	response, err := client.Do(request)
	if err != nil {
		e.missed.Add(1)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		e.missed.Add(1)
		return
	}
	e.missed.Store(0)
}

// client returns a caller's connections: open ones are used as long as they last, new ones only reach entries in rotation.
func (d *deployment) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, e := range d.entries {
			if address == e.ip+":8624" && e.missed.Load() >= mostMissed {
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
			"gracePeriodS": grace.Seconds(), "holdMaxMs": longestLease.Milliseconds(), "status_s": 120, "migrateS": awayTime.Seconds(),
			"maintenanceS": awayTime.Seconds(), "contactMs": contact.Milliseconds(),
		},
		"platform": map[string]any{"address": e.proxy.listener.Addr().String(), "form": "table", "writesPerS": 800, "readsPerS": 2000},
		"cloudApi": map[string]any{"address": d.subnet + ".2:8001", "ratePerS": 64, "dutyPerS": 64},
	})
	require.NoError(d.t, err)
	require.NoError(d.t, os.WriteFile(d.settingsPath(e), content, 0o600))
}

// start runs the entry's process; its log goes on in the same file.
func (d *deployment) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	process := exec.CommandContext(context.Background(), d.program, "attend", "-settings", d.settingsPath(e))
	process.Stdout, process.Stderr = log, log
	require.NoError(d.t, process.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_, _ = process.Wait(), log.Close() // a killed process has an error, too
	}()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.exited = process, exited
}

func (e *entry) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.process.Process.Signal(signal) // one that has ended needs none
}

// wait waits until the process has ended.
func (e *entry) wait() {
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	<-exited
}

// running reports whether the process has not ended.
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

// disturb notes a fault at the entry that is over at the time.
func (e *entry) disturb(until time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if end := until.Add(contact); end.After(e.disturbedUntil) {
		e.disturbedUntil = end
	}
}

// calm reports whether no fault but a planned stop was near since the time.
func (e *entry) calm(since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return since.After(e.disturbedUntil)
}
