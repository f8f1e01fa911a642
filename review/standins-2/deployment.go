package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// Figures of the deployment; the bounds are those of the standard sites.
const (
	zone          = "hall-a"
	workerCPU     = 8000
	workerMemory  = 65536
	heartbeat     = 1500 * time.Millisecond
	silentBeats   = 3 // liveness reports that may be missing before a worker's entry is removed
	maxLease      = 10 * time.Second
	upkeepTime    = 2 * time.Second
	cancelBound   = 3 * time.Second
	stopBound     = 200 * time.Millisecond
	clientBudget  = 3 * time.Second
	callerHost    = "quotes.example"
	callerPrefix  = "/quotes/"
	pool          = "intake"
	startDeadline = 20 * time.Second
	entryCount    = 3
)

// lateWrite decides on a transaction of an entry: it returns after how long the store carries it out without an answer, or 0 if it is
// answered at once.
type lateWrite func(entry string, body []byte) time.Duration

// deployment is the platform, the workers and the entries of one case.
type deployment struct {
	record  *recorder
	dir     string
	subnet  string
	store   *emulator.Store
	control *machineControl
	advice  *advisor
	work    workload
	// lateWrite may be nil.
	lateWrite lateWrite

	mutex   sync.Mutex
	workers []*worker
	lives   map[*worker]*life
	entries []*entry
	servers []*http.Server
	version int
	closed  chan struct{}

	closeOnce sync.Once
}

// life is the server and the liveness reports of a worker.
type life struct {
	server *http.Server
	ended  chan struct{}
}

func newDeployment(record *recorder, work workload) (d *deployment, err error) {
	dir, err := os.MkdirTemp("", "acaciatally-review-")
	if err != nil {
		return nil, err
	}
	d = &deployment{
		record: record, dir: dir, store: emulator.NewStore(), work: work, lives: map[*worker]*life{}, closed: make(chan struct{}),
	}
	d.control = &machineControl{record: record, downtime: upkeepTime, end: func(w *worker) { d.endWorker(w, "machine order", true) }, up: d.startWorker}
	d.advice = &advisor{record: record, allows: func(string) bool { return true }, machineOf: d.machineOf, tickets: map[string]ticket{}}
	d.subnet, err = freeSubnet()
	played.Store(d)
	return d, err
}

// freeSubnet returns the first three octets of loopback addresses on which the fixed ports are free.
func freeSubnet() (subnet string, err error) {
	for range 50 {
		subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", subnet+".11:8624")
		if err == nil {
			return subnet, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (d *deployment) serve(address string, handler http.Handler) (server *http.Server, actual string, err error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.mutex.Lock()
	d.servers = append(d.servers, server)
	d.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return server, listener.Addr().String(), nil
}

// configure writes the next version of the manifest.
func (d *deployment) configure() {
	d.version++
	d.store.Put("op", "config", map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			{
				"name": "r-quotes", "hostname": callerHost, "prefix": callerPrefix, "type": "non_idempotent", "timeoutMs": 3000,
				"targetLatencyMs": 600, "priority": 0, "service": pool, "attempts": 4, "stretch": 1.6,
			},
			{
				"name": "r-audits", "hostname": callerHost, "prefix": auditPrefix, "type": "non_idempotent", "timeoutMs": 3000,
				"targetLatencyMs": 2500, "priority": 0, "service": pool, "attempts": 4, "stretch": 2.2, "advice": map[string]any{
					"decideMs": adviceDecide.Milliseconds(), "periodMs": advicePeriod.Milliseconds(), "validMs": adviceValid.Milliseconds(),
				},
			},
		},
		"services": []map[string]any{{"name": pool, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addMachines adds machines of the pool, each with a worker.
func (d *deployment) addMachines(count int) {
	for i := range count {
		m := &machine{id: fmt.Sprintf("m-%02d", i+1), pool: pool, rack: fmt.Sprintf("r-%d", i/4), state: "up", waves: map[int]bool{}}
		m.worker = d.startWorker(m)
		d.control.machines = append(d.control.machines, m)
	}
}

// startWorker starts a new life of a machine and its liveness reports.
func (d *deployment) startWorker(m *machine) *worker {
	d.mutex.Lock()
	number := len(d.workers) + 1
	d.mutex.Unlock()
	w := &worker{
		id: fmt.Sprintf("i-%010d", number), machine: m.id, pool: m.pool, zone: zone, rack: m.rack, cpu: workerCPU, memory: workerMemory, maxLease: maxLease,
		work: d.work, record: d.record, born: time.Now(), running: map[string]*run{}, timers: map[*run][]*time.Timer{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.onCrash, w.validTicket = d.crash, d.advice.valid
	server, address, err := d.serve(d.subnet+".50:0", w)
	if err != nil {
		panic(err) // no free port: the case can't run
	}
	w.address = address
	ended := make(chan struct{})
	d.mutex.Lock()
	d.workers = append(d.workers, w)
	d.lives[w] = &life{server: server, ended: ended}
	d.mutex.Unlock()
	d.store.Put("servers", w.id, w.entry())
	go d.report(w, ended)
	return w
}

// report writes the worker's entry at each liveness interval until its life has ended.
func (d *deployment) report(w *worker, ended chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-d.closed:
			return
		case <-ticker.C:
			d.store.Put("servers", w.id, w.entry())
		}
	}
}

// endWorker ends a life: its channels are reset, and its entry is removed at once if it left, or else after the missing liveness reports.
func (d *deployment) endWorker(w *worker, end string, left bool) {
	d.mutex.Lock()
	l := d.lives[w]
	delete(d.lives, w)
	d.mutex.Unlock()
	if l == nil {
		return
	}
	w.die(end)
	close(l.ended)
	_ = l.server.Close()
	if left {
		d.store.Delete("servers", w.id)
		return
	}
	time.AfterFunc(silentBeats*heartbeat, func() { d.store.Delete("servers", w.id) })
}

// backAfter is how long a crashed worker's machine is away.
const backAfter = 3 * time.Second

// crash ends the worker because of a task; its machine has a new life after backAfter.
func (d *deployment) crash(w *worker, task string) {
	d.record.printf("worker %s on %s crashes under %s", w.id, w.machine, task)
	d.endWorker(w, "crashed", false)
	d.control.replaceWorker(w.machine, nil)
	time.AfterFunc(backAfter, func() {
		select {
		case <-d.closed:
			return
		default:
		}
		next := d.startWorker(&machine{id: w.machine, pool: w.pool, rack: w.rack})
		d.control.replaceWorker(w.machine, next)
		d.record.printf("machine %s is back as worker %s", w.machine, next.id)
	})
}

// runs returns all runs of the tasks that match, in no order.
func (d *deployment) runs(matches func(task string) bool) (list []run) {
	d.mutex.Lock()
	workers := append([]*worker(nil), d.workers...)
	d.mutex.Unlock()
	for _, w := range workers {
		for _, r := range w.history() {
			if matches(r.task) {
				list = append(list, r)
			}
		}
	}
	return list
}

// storeHandler is the store as one entry reaches it.
func (d *deployment) storeHandler(entry string) http.Handler {
	handler := d.store.Handler(emulator.NewFaults())
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/-/rows-tx" || d.lateWrite == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		after := d.lateWrite(entry, body)
		if after == 0 {
			handler.ServeHTTP(writer, request)
			return
		}
		d.record.printf("store: a write of %s gets no answer and is carried out in %s", entry, after)
		time.AfterFunc(after, func() {
			late, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://store/-/rows-tx", bytes.NewReader(body))
			if err != nil {
				return // does not happen: the URL is valid
			}
			result := &statusWriter{header: http.Header{}}
			handler.ServeHTTP(result, late)
			d.record.printf("store: the late write of %s is carried out: %d", entry, result.status)
		})
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// statusWriter keeps only the status of a response.
type statusWriter struct {
	header http.Header
	status int
}

// Header returns the header.
func (w *statusWriter) Header() http.Header { return w.header }

// Write discards the body.
func (w *statusWriter) Write(content []byte) (n int, err error) { return len(content), nil }

// WriteHeader keeps the status.
func (w *statusWriter) WriteHeader(status int) { w.status = status }

// start brings up the platform and the entries, and waits until a job is done.
func (d *deployment) start(machines int) (err error) {
	if _, _, err = d.serve(d.subnet+".2:8621", d.control); err != nil {
		return err
	}
	if _, _, err = d.serve(d.subnet+".3:8621", d.advice); err != nil {
		return err
	}
	d.configure()
	d.addMachines(machines)
	for i := range entryCount {
		if err = d.addEntry(i + 1); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startDeadline)
	for _, e := range d.entries {
		for !d.ready(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if status := d.submit(d.entries[0], "00000000000000aa", job(step(1, 500, 300))); status != http.StatusOK {
		return fmt.Errorf("first submission answered %d", status)
	}
	for d.state(d.entries[0], "00000000000000aa") != "completed" {
		if time.Now().After(deadline) {
			return errors.New("the first submission is not done")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// close ends the entries and the platform, once.
func (d *deployment) close() { d.closeOnce.Do(d.end) }

func (d *deployment) end() {
	for _, e := range d.entries {
		e.end()
	}
	close(d.closed)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) writeSettings(e *entry, store string) error {
	content, err := json.MarshalIndent(map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": zone, "region": "nanyuki",
		"zones":       map[string]string{zone: "nanyuki"},
		"listenAddrs": map[string]string{"frontend": e.ip + ":8624", "ready": e.ip + ":8622"},
		"portRange":   []int{7060, 7075}, "seeds": []string{}, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"policies": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contactMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "gracePeriodS": 6, "configApplyMs": 2000,
			"holdMaxMs": maxLease.Milliseconds(), "stopTimeoutMs": stopBound.Milliseconds(), "gangTimeoutMs": 3000, "cancel_ms": cancelBound.Milliseconds(),
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpointS": 1, "restoreMs": 250, "noticeMs": 4500, "migrateS": 1.5,
			"maintenanceS": upkeepTime.Seconds(), "fencingEnabled": true, "leaseTtlMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
		},
		"commands": "invoke", "advice": d.subnet + ".3:8621",
		"platform": map[string]any{
			"address": store, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txnMs": 3.0, "partWritesPerS": 300, "rowBytes": 65536,
			"crossPartition": true, "historyS": 20,
		},
		"cloudApi": map[string]any{"address": d.subnet + ".2:8621", "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, content, 0o600)
}

func (d *deployment) addEntry(number int) (err error) {
	e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", d.subnet, 10+number), record: d.record}
	e.settings, e.log = filepath.Join(d.dir, e.name+".json"), filepath.Join(d.dir, e.name+".log")
	_, store, err := d.serve(fmt.Sprintf("%s.%d:8621", d.subnet, 30+number), d.storeHandler(e.name))
	if err != nil {
		return err
	}
	if err = d.writeSettings(e, store); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	return e.start()
}

// machineOf returns the machine of a worker.
func (d *deployment) machineOf(id string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, w := range d.workers {
		if w.id == id {
			return w.machine
		}
	}
	return ""
}

// leader returns the entry that holds the lease, or nil.
func (d *deployment) leader() *entry {
	for _, row := range d.store.Rows("Lease") {
		var lease struct{ Holder string }
		if row.Key != "Dispatch" || json.Unmarshal(row.Value, &lease) != nil {
			continue
		}
		for _, e := range d.entries {
			if e.name == lease.Holder {
				return e
			}
		}
	}
	return nil
}
