package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// Ports of the stand-ins and the entries; each has a loopback address of its own.
const (
	storePort    = 8621
	frontendPort = 8624
	readyPort    = 8622
	metricsPort  = "9464"
	workerPort   = 8080
)

const (
	heartbeat      = 1500 * time.Millisecond
	rowBytes       = 65536
	startupTimeout = 15 * time.Second
	callTimeout    = 3 * time.Second
)

// route is a queue of the manifest.
type route struct{ name, prefix, service string }

// bench is a small deployment with its stand-ins.
type bench struct {
	dir     string
	program string
	subnet  string
	trouble bool
	log     *recorder

	store   *emulator.Store
	faults  []*emulator.Faults // of each entry's link to the store
	entries []*entry
	workers []*worker
	client  *http.Client
	stop    context.CancelFunc

	mutex   sync.Mutex
	servers []*http.Server
	closed  bool
	onRead  func(path string) // called for each call of the store; nil for none
}

// entry is an entry of the deployment, a process of its own.
type entry struct {
	name, ip string
	process  *exec.Cmd
	exited   chan struct{}
}

func (b *bench) start(s scenario) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout}
	b.store = emulator.NewStore()
	b.putManifest(s.routes)
	b.workers = s.workers(b)
	if err := b.serve(b.subnet+".2:8621", http.HandlerFunc(b.listMachines)); err != nil {
		return err
	}
	for i, w := range b.workers {
		w.address = fmt.Sprintf("%s.%d:%d", b.subnet, 100+i, workerPort)
		if err := b.serve(w.address, w); err != nil {
			return err
		}
		go b.beat(ctx, w)
	}
	for i := range s.entries {
		if err := b.addEntry(i + 1); err != nil {
			return err
		}
	}
	return b.waitReady()
}

// serve serves HTTP on an address until the case ends.
func (b *bench) serve(address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	b.mutex.Lock()
	b.servers = append(b.servers, server)
	b.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (b *bench) putManifest(routes []route) {
	var rows []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "hostname": "a.example", "prefix": r.prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 0, "service": r.service, "attempts": 3, "stretch": 1.6,
		})
		services[r.service] = true
	}
	var list []map[string]any
	for name := range services {
		list = append(list, map[string]any{"name": name, "enforcesCapacity": false})
	}
	b.store.Put("op", "config", map[string]any{
		"version": 1, "routes": rows, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
	})
}

// beat writes the worker's entry in the store every heartbeat, and removes it after three heartbeats of silence.
func (b *bench) beat(ctx context.Context, w *worker) {
	lastBeat := time.Now()
	listed := false
	for ctx.Err() == nil {
		switch {
		case !w.silent():
			b.store.Put("servers", w.id, w.entry())
			lastBeat, listed = time.Now(), true
		case listed && time.Since(lastBeat) > 3*heartbeat:
			b.store.Delete("servers", w.id)
			listed = false
		}
		sleep(ctx, heartbeat)
	}
}

// beatNow writes the worker's entry at once, as a change of what it says does.
func (b *bench) beatNow(w *worker) { b.store.Put("servers", w.id, w.entry()) }

// listMachines serves the platform's list of machines. It accepts no orders: each machine is busy.
func (b *bench) listMachines(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	if request.Method != http.MethodGet {
		b.log.note("order on a machine: %s", request.URL.Path)
		writer.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(writer, `{"reason":"busy"}`)
		return
	}
	var list []map[string]any
	for _, w := range b.workers {
		state := "up"
		if w.silent() {
			state = "down"
		}
		list = append(list, map[string]any{
			"machine": w.machine, "pool": w.service, "state": state, "zone": "hall-a", "labels": []string{w.kind, w.rack},
			"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "id": w.id,
		})
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"machines": list, "nextToken": ""})
}

// storeHandler serves the store to one entry, and refuses values above the limit of a row.
func (b *bench) storeHandler(faults *emulator.Faults) http.Handler {
	inner := b.store.Handler(faults)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if b.onRead != nil {
			b.onRead(request.URL.Path)
		}
		if request.URL.Path != "/-/rows-tx" {
			inner.ServeHTTP(writer, request)
			return
		}
		content, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var tx struct {
			Writes []struct {
				Table string `json:"table"`
				Part  string `json:"part"`
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"writes"`
		}
		if err := json.Unmarshal(content, &tx); err == nil {
			for _, row := range tx.Writes {
				if len(row.Value) > rowBytes {
					b.log.note("store refuses %s %s/%s: value of %d bytes", row.Table, row.Part, row.Key, len(row.Value))
					writer.WriteHeader(http.StatusBadRequest)
					return
				}
			}
		}
		request.Body = io.NopCloser(bytes.NewReader(content))
		inner.ServeHTTP(writer, request)
	})
}

func (b *bench) addEntry(number int) error {
	e := &entry{name: fmt.Sprintf("edge-hall-a-%d", number), ip: fmt.Sprintf("%s.%d", b.subnet, 10+number)}
	faults := emulator.NewFaults()
	store := fmt.Sprintf("%s.%d:%d", b.subnet, 30+number, storePort)
	if err := b.serve(store, b.storeHandler(faults)); err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": e.ip,
		"zone": "hall-a", "region": "nanyuki", "zones": map[string]string{"hall-a": "nanyuki"}, "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(),
		"listenAddrs": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", e.ip, frontendPort), "ready": fmt.Sprintf("%s:%d", e.ip, readyPort), "controlPlane": e.ip + ":8623",
		},
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"contactMs": 3000, "drainMs": 2000, "gracePeriodS": 6, "holdMaxMs": holdMaxMS, "stopTimeoutMs": 200, "gangTimeoutMs": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpointS": 1, "restoreMs": 250,
			"noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "leaseTtlMs": 3000, "fencingEnabled": true,
		},
		"commands": "invoke",
		"platform": map[string]any{
			"address": store, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txnMs": 3.0, "partWritesPerS": 300, "rowBytes": rowBytes,
			"crossPartition": true, "historyS": 20,
		},
		"cloudApi": map[string]any{"address": b.subnet + ".2:8621", "ratePerS": 64, "dutyPerS": 64},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(b.dir, e.name+".json"), settings, 0o600); err != nil {
		return err
	}
	b.faults = append(b.faults, faults)
	b.entries = append(b.entries, e)
	return b.startEntry(e)
}

// startEntry starts the entry's process with the command of the deploy file.
func (b *bench) startEntry(e *entry) error {
	output, err := os.OpenFile(filepath.Join(b.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), b.program, "attend", "-metrics", metricsPort)
	process.Env = append(os.Environ(), "ACACIATALLY_CONFIG="+filepath.Join(b.dir, e.name+".json"))
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return err
	}
	b.log.note("entry %s starts", e.name)
	exited := make(chan struct{})
	e.process, e.exited = process, exited
	go func() {
		defer close(exited)
		_, _ = process.Wait(), output.Close() // a killed process also returns an error
		b.log.note("entry %s has ended", e.name)
	}()
	return nil
}

// kill sends SIGKILL to the entry.
func (b *bench) kill(e *entry) {
	b.log.note("entry %s is killed", e.name)
	_ = e.process.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// powerOff kills all entries at once and starts them again after a time.
func (b *bench) powerOff(duration time.Duration) {
	for _, e := range b.entries {
		_ = e.process.Process.Signal(syscall.SIGKILL)
	}
	b.log.note("all entries lose power")
	time.Sleep(duration)
	for _, e := range b.entries {
		<-e.exited
		if err := b.startEntry(e); err != nil {
			b.log.note("entry %s does not start: %v", e.name, err)
		}
	}
}

// busiest returns the worker that runs the most subtasks.
func (b *bench) busiest() *worker {
	busiest := b.workers[0]
	for _, w := range b.workers {
		if w.runs() > busiest.runs() {
			busiest = w
		}
	}
	return busiest
}

// waitReady waits until all entries are ready.
func (b *bench) waitReady() error {
	end := time.Now().Add(startupTimeout)
	for _, e := range b.entries {
		for !b.ready(e) {
			if time.Now().After(end) {
				return errors.New("an entry did not get ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (b *bench) ready(e *entry) bool {
	status, _, err := b.call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", e.ip, readyPort), nil)
	return err == nil && status == http.StatusOK
}

// leader returns the entry that holds the lease on leading, or nil.
func (b *bench) leader() *entry {
	for _, row := range b.store.Rows("Lease") {
		var lease struct{ Holder string }
		if row.Key != "Dispatch" || json.Unmarshal(row.Value, &lease) != nil {
			continue
		}
		for _, e := range b.entries {
			if e.name == lease.Holder {
				return e
			}
		}
	}
	return nil
}

func (b *bench) call(method, url string, body any) (status int, content []byte, err error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	request.Host = "a.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Acaciatally-Deadline-Ms", "3000")
	response, err := b.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// request sends a caller's request for a submission to an entry and records the answer.
func (b *bench) request(method string, e *entry, path string, body any) (status int, content []byte) {
	status, content, err := b.call(method, fmt.Sprintf("http://%s:%d%s", e.ip, frontendPort, path), body)
	b.log.note("caller: %s %s at %s: %d %s %v", method, path, e.name, status, bytes.TrimSpace(content), errText(err))
	return status, content
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submit hands a submission in, at any entry, until it is accepted or the attempts are used up.
func (b *bench) submit(path string, body any, attempts int) error {
	for i := range attempts {
		if status, _ := b.request(http.MethodPost, b.entries[i%len(b.entries)], path, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted", path)
}

// state asks for the state of a submission, at any entry; it is empty without an answer.
func (b *bench) state(path string) string {
	for _, e := range b.entries {
		status, content := b.request(http.MethodGet, e, path, nil)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal(content, &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// setStore changes the faults of all links to the store.
func (b *bench) setStore(change func(f *emulator.Faults)) {
	for _, f := range b.faults {
		change(f)
	}
}

// close ends all processes and servers of the case.
func (b *bench) close() {
	b.mutex.Lock()
	if b.closed {
		b.mutex.Unlock()
		return
	}
	b.closed = true
	servers := b.servers
	b.mutex.Unlock()
	for _, e := range b.entries {
		if e.process != nil {
			_ = e.process.Process.Signal(syscall.SIGCONT)
			_ = e.process.Process.Signal(syscall.SIGKILL)
			<-e.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(b.dir))
	}
	if b.stop != nil {
		b.stop()
	}
	for _, server := range servers {
		_ = server.Close()
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
