package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// Bounds of the platform's pages that the settings of the entries state.
const (
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	earlyTime   = 250 * time.Millisecond
	finishTime  = 14 * time.Second
	beatTime    = 1500 * time.Millisecond
	restartTime = 500 * time.Millisecond
	maxParts    = 1000 // parts of a table in one response
)

// simulation is the platform, the workers and the clients, with the entries as separate processes.
type simulation struct {
	dir, program, subnet string
	started              time.Time
	log                  io.Writer
	logMutex             sync.Mutex
	store                *emulator.Store
	judge                *judge
	gangs                *gangs
	advice               *advice
	entries              []*entryProcess
	workers              []*worker
	routes               []map[string]any
	services             []map[string]any
	version              int
	settings             map[string]any // added to the settings of the entries
	stopping             atomic.Bool
	disturbed            atomic.Int64 // Unix ns until which disturbances last
}

// entryProcess is one process of the system.
type entryProcess struct {
	sim      *simulation
	name, ip string
	faults   *emulator.Faults
	mutex    sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	failures atomic.Int32
}

func newSimulation(dir, program string, log io.Writer) *simulation {
	s := &simulation{
		dir: dir, program: program, log: log, started: time.Now(), store: emulator.NewStore(), gangs: &gangs{present: map[string]*gang{}},
		subnet: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250), settings: map[string]any{},
	}
	s.judge = newJudge(s)
	s.advice = &advice{sim: s, decide: 20 * time.Millisecond, each: 3 * time.Millisecond, valid: 3 * time.Second, callers: map[string]*adviceCaller{}, given: map[string]time.Time{}}
	return s
}

// record writes a line of the record.
func (s *simulation) record(format string, arguments ...any) {
	s.logMutex.Lock()
	defer s.logMutex.Unlock()
	_, _ = fmt.Fprintf(s.log, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// disturb notes a disturbance that lasts for a time.
func (s *simulation) disturb(lasts time.Duration, format string, arguments ...any) {
	s.record("DISTURBANCE for %s: %s", lasts, fmt.Sprintf(format, arguments...))
	until := time.Now().Add(lasts).UnixNano()
	for {
		before := s.disturbed.Load()
		if until <= before || s.disturbed.CompareAndSwap(before, until) {
			return
		}
	}
}

// calmAt returns when contactTime has passed since the last disturbance.
func (s *simulation) calmAt() time.Time { return time.Unix(0, s.disturbed.Load()).Add(contactTime) }

func (s *simulation) serve(address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return nil
}

// storeHandler serves the store to one entry. It lists at most maxParts parts in one response, as the platform's pages say.
func (s *simulation) storeHandler(faults *emulator.Faults) http.Handler {
	inner := s.store.Handler(faults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/rows-parts" {
			inner.ServeHTTP(w, r)
			return
		}
		captured := &capture{header: http.Header{}}
		inner.ServeHTTP(captured, r)
		if captured.status != http.StatusOK {
			w.WriteHeader(captured.status)
			return
		}
		var all struct {
			Parts []string `json:"parts"`
		}
		_ = json.Unmarshal(captured.body, &all) // the emulator's own response
		after, part := r.URL.Query().Get("dependsOn"), []string{}
		for _, name := range all.Parts {
			if name > after && len(part) < maxParts {
				part = append(part, name)
			}
		}
		s.record("rows-parts of %s after %q: %d of %d", r.URL.Query().Get("table"), after, len(part), len(all.Parts))
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"parts": part}) // the caller may have left
	})
}

// capture keeps a response.
type capture struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the header of the response.
func (c *capture) Header() http.Header { return c.header }

// WriteHeader keeps the status.
func (c *capture) WriteHeader(status int) { c.status = status }

// Write keeps a part of the body.
func (c *capture) Write(content []byte) (int, error) {
	if c.status == 0 {
		c.status = http.StatusOK
	}
	c.body = append(c.body, content...)
	return len(content), nil
}

// configure stores the next version of the configuration.
func (s *simulation) configure() {
	s.version += 3
	s.store.Put("op", "config", map[string]any{"version": s.version, "routes": s.routes, "services": s.services})
	s.record("manifest %d with %d routes", s.version, len(s.routes))
}

func (s *simulation) addRoute(name, service string, attempts, priority int, more map[string]any) {
	route := map[string]any{
		"name": name, "hostname": "jobs.example", "prefix": "/" + name + "/", "service": service, "attempts": attempts, "priority": priority,
		"stretch": 1.6, "targetLatencyMs": 600, "timeoutMs": 3000,
	}
	for key, value := range more {
		route[key] = value
	}
	s.routes = append(s.routes, route)
}

func (s *simulation) addWorkers(pool string, count, cpu, mem int) error {
	for range count {
		number := len(s.workers) + 1
		kind := []string{"a", "b"}[number%2]
		w := newWorker(s, fmt.Sprintf("i-%03d", number), fmt.Sprintf("m-%03d", number), fmt.Sprintf("%s.%d:8100", s.subnet, 50+number), pool,
			fmt.Sprintf("r-%d", number/4), kind, cpu, mem)
		if err := s.serve(w.address, w); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		s.store.Put("servers", w.id, w.record())
	}
	return nil
}

// beat lets the workers write their entries, and removes those of workers that are down, until the simulation ends.
func (s *simulation) beat() {
	for !s.stopping.Load() {
		time.Sleep(beatTime)
		for _, w := range s.workers {
			w.mutex.Lock()
			down, id := w.down, w.id
			w.mutex.Unlock()
			if !down {
				s.store.Put("servers", id, w.record())
			}
		}
	}
}

func (s *simulation) addEntry(number int) error {
	e := &entryProcess{sim: s, name: fmt.Sprintf("edge-%d", number), ip: fmt.Sprintf("%s.%d", s.subnet, 10+number), faults: emulator.NewFaults()}
	e.faults.SetDelay(3 * time.Millisecond)
	if err := s.serve(fmt.Sprintf("%s.%d:8000", s.subnet, 30+number), s.storeHandler(e.faults)); err != nil {
		return err
	}
	settings := map[string]any{
		"nodeName": e.name, "ip": e.ip, "zone": "hall-a", "bootstrap": true, "heartbeatMs": beatTime.Milliseconds(), "commands": "invoke",
		"listenAddrs": map[string]string{"frontend": e.ip + ":8624", "ready": e.ip + ":8622"},
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000},
		"bounds": map[string]any{
			"gracePeriodS": 6, "holdMaxMs": maxLease.Milliseconds(), "status_s": 120, "migrateS": 1.5, "maintenanceS": 2, "early_ms": 250,
			"contactMs": contactTime.Milliseconds(), "cancel_ms": cancelTime.Milliseconds(), "gangTimeoutMs": gangTimeout.Milliseconds(),
			"stopTimeoutMs": 200, "checkpointS": 1, "restoreMs": 250, "noticeMs": 4500, "leaseTtlMs": 3000, "fencingEnabled": true,
		},
		"advice":   s.subnet + ".2:8621",
		"platform": map[string]any{"address": fmt.Sprintf("%s.%d:8000", s.subnet, 30+number), "form": "table", "writesPerS": 800, "readsPerS": 2000, "rowBytes": 65536},
	}
	for key, value := range s.settings {
		settings[key] = value
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err = os.WriteFile(e.path(".json"), content, 0o600); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return e.start()
}

func (e *entryProcess) path(suffix string) string { return filepath.Join(e.sim.dir, e.name+suffix) }

// start starts the process, as the deploy file says.
func (e *entryProcess) start() error {
	log, err := os.OpenFile(e.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), e.sim.program, "attend", "-metrics", "9464")
	process.Env = []string{"ACACIATALLY_CONFIG=" + e.path(".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + e.sim.dir}
	process.Stdout, process.Stderr = log, log
	if err = process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_, _ = process.Wait(), log.Close() // a killed process also returns an error
	}()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.exited = process, exited
	e.sim.record("%s started", e.name)
	return nil
}

func (e *entryProcess) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.process.Process.Signal(signal) // fails if the process has already ended
}

// kill kills the process and starts it again after a time.
func (e *entryProcess) kill(away time.Duration) {
	e.sim.disturb(away, "%s is killed", e.name)
	e.signal(syscall.SIGKILL)
	e.await()
	time.AfterFunc(away, func() {
		if !e.sim.stopping.Load() {
			_ = e.start() // a process that does not start fails the checks of the clients
		}
	})
}

// freeze stops the process for a time.
func (e *entryProcess) freeze(away time.Duration) {
	e.sim.disturb(away, "%s is frozen", e.name)
	e.signal(syscall.SIGSTOP)
	time.AfterFunc(away, func() { e.signal(syscall.SIGCONT) })
}

// term stops the process as planned and starts it again.
func (e *entryProcess) term() {
	e.sim.disturb(6*time.Second, "%s gets SIGTERM", e.name)
	e.signal(syscall.SIGTERM)
	go func() {
		e.await()
		time.Sleep(restartTime)
		if !e.sim.stopping.Load() {
			_ = e.start()
		}
	}()
}

func (e *entryProcess) await() {
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	<-exited
}

// leader returns the entry that holds the lease, or nil.
func (s *simulation) leader() *entryProcess {
	for _, row := range s.store.Rows("Lease") {
		var lease struct{ Holder string }
		if row.Key != "Dispatch" || json.Unmarshal(row.Value, &lease) != nil {
			continue
		}
		for _, e := range s.entries {
			if e.name == lease.Holder {
				return e
			}
		}
	}
	return nil
}

// checkReady checks the readiness of the entries each second, as the platform does.
func (s *simulation) checkReady() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for !s.stopping.Load() {
		for _, e := range s.entries {
			go func() {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+e.ip+":8622/-/ready", http.NoBody)
				if err != nil {
					return
				}
				response, err := client.Do(request)
				if err != nil {
					e.failures.Add(1)
					return
				}
				_ = response.Body.Close() // nothing is read
				if response.StatusCode == http.StatusOK {
					e.failures.Store(0)
				} else {
					e.failures.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// close ends all processes.
func (s *simulation) close() {
	s.stopping.Store(true)
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.await()
	}
}
