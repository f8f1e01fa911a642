package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	holdMaxMS   = 10_000 // holdMaxMs of the settings
	finishedMax = 500    // ends that one answer lists
)

// workerConfig says what a worker is and how its runs behave.
type workerConfig struct {
	id, machine, service, rack string
	cpu, memMB                 int
	kind                       string // first of its labels
	// duration returns how long a run of the task takes; a negative value means until it is stopped.
	duration func(task string) time.Duration
	// crashAfter returns how long after its start a run brings the worker down; 0 if it does not.
	crashAfter func(task string) time.Duration
	fails      func() bool // whether what the worker starts now ends as failed; nil for never
	checkpoint bool        // runs report a checkpoint
}

// worker is a stand-in for a worker of the platform, which runs subtasks under a lease.
type worker struct {
	workerConfig
	log     *recorder
	address string

	mutex    sync.Mutex
	life     int
	cut      bool // no packet reaches it or leaves it
	down     bool // its process does not run
	dark     bool // its machine does not answer at all while it is down
	draining bool
	drops    func(path, task string) bool // whether a call is left unanswered; nil for none
	sequence int
	lives
}

// lives is the state of one boot.
type lives struct {
	bootedAt  time.Time
	fence     uint64
	leaseEnd  int64 // in ms of the worker's clock
	lapseTick *time.Timer
	running   map[string]*runState
	highest   map[string]int // highest run that was stopped or has ended
	finished  []endRow
	lastEnd   uint64
	cursor    uint64
	changed   chan struct{}
}

type runState struct {
	task      string
	attempt   int
	startedAt time.Time
	timer     *time.Timer
}

type endRow struct {
	number  uint64
	task    string
	attempt int
	how     string
}

func newLife() lives {
	return lives{bootedAt: time.Now(), running: map[string]*runState{}, highest: map[string]int{}, changed: make(chan struct{})}
}

func newWorker(log *recorder, config workerConfig) *worker {
	if config.kind == "" {
		config.kind = "a"
	}
	w := &worker{workerConfig: config, log: log, life: 1, lives: newLife()}
	log.add(event{kind: eventBoot, worker: config.id, life: 1, how: w.describe()})
	return w
}

func (w *worker) describe() string { return fmt.Sprintf("cpu %d labels %s %s", w.cpu, w.kind, w.rack) }

// entry returns what the worker writes about itself in the store.
func (w *worker) entry() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "hall-a", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"clockMs": w.clock(), "sequence": w.sequence, "born": w.bootedAt.UnixMilli(), "machine": w.machine,
	}
}

func (w *worker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() }

// setCut cuts the worker off, or ends the cut.
func (w *worker) setCut(on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cut = on
	w.log.note("worker %s cut off: %v", w.id, on)
}

// silent reports whether the worker can't write to the store.
func (w *worker) silent() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut || w.down
}

// goDark crashes the worker so that nothing answers at its address until it boots again.
func (w *worker) goDark() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dark = true
	w.crashLocked()
}

// crashLocked ends the worker's process with all that it runs.
func (w *worker) crashLocked() {
	if w.down {
		return
	}
	w.down = true
	for _, run := range w.running {
		run.timer.Stop()
		w.log.add(event{kind: eventCrash, worker: w.id, life: w.life, task: run.task, attempt: run.attempt})
	}
	if len(w.running) == 0 {
		w.log.add(event{kind: eventCrash, worker: w.id, life: w.life})
	}
	if w.lapseTick != nil {
		w.lapseTick.Stop()
	}
	w.running = map[string]*runState{}
}

// boot starts the worker again under its id, with the given kind and capacity.
func (w *worker) boot(kind string, cpu int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.life++
	w.kind, w.cpu = kind, cpu
	w.down, w.dark, w.draining, w.sequence, w.lives = false, false, false, 0, newLife()
	w.log.add(event{kind: eventBoot, worker: w.id, life: w.life, how: w.describe()})
}

// runs returns how many subtasks run.
func (w *worker) runs() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.running)
}

type workerCall struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fencingToken"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP serves one call of an entry.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	w.mutex.Lock()
	cut, down, drops := w.cut || w.dark, w.down, w.drops
	w.mutex.Unlock()
	if cut {
		<-request.Context().Done() // the packets are lost
		panic(http.ErrAbortHandler)
	}
	if down || err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("Acaciatally-Expected-Instance"); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call workerCall
	if json.Unmarshal(content, &call) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if drops != nil && drops(request.URL.Path, call.Task) {
		w.log.note("worker %s leaves %s %s run %d unanswered", w.id, request.URL.Path, call.Task, call.Attempt)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, response := w.handle(request, call)
	w.mutex.Lock()
	lost := w.cut || w.down
	w.mutex.Unlock()
	if lost { // cut off or ended since: the answer is lost
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(response) // the caller may have left
}

func (w *worker) handle(request *http.Request, call workerCall) (status int, response map[string]any) {
	switch request.URL.Path {
	case "/-/run-start":
		return w.startRun(call)
	case "/-/run-stop":
		return w.stopRun(call)
	case "/-/hold":
		return w.hold(request, call)
	case "/-/pace":
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) reject(reason string) (status int, response map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
}

// lowFence reports whether a call carries a lower fence number than one before; otherwise it keeps the number.
func (w *worker) lowFence(call workerCall) bool {
	if call.Fence < w.fence {
		return true
	}
	w.fence = call.Fence
	return false
}

func (w *worker) startRun(call workerCall) (status int, response map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lowFence(call) {
		return w.reject("fence")
	}
	w.extend(call.DeadlineMS)
	if run := w.running[call.Task]; run != nil {
		if run.attempt == call.Attempt {
			return http.StatusOK, map[string]any{"clockMs": w.clock()}
		}
		return w.reject("old")
	}
	if call.Attempt <= w.highest[call.Task] {
		return w.reject("old")
	}
	if w.leaseEnd <= w.clock() {
		return w.reject("late")
	}
	w.begin(call)
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

func (w *worker) begin(call workerCall) {
	run := &runState{task: call.Task, attempt: call.Attempt, startedAt: time.Now()}
	w.running[call.Task] = run
	w.log.add(event{kind: eventStart, worker: w.id, life: w.life, task: call.Task, attempt: call.Attempt})
	duration := w.duration(call.Task)
	if duration < 0 {
		duration = time.Hour
	}
	life, how := w.life, "done"
	if w.fails != nil && w.fails() {
		duration, how = 200*time.Millisecond, "failed"
	}
	run.timer = time.AfterFunc(duration, func() { w.finish(run, life, how) })
	if w.crashAfter != nil {
		if after := w.crashAfter(call.Task); after > 0 {
			time.AfterFunc(after, func() { w.crashUnder(run, life) })
		}
	}
}

func (w *worker) finish(run *runState, life int, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life == life && w.running[run.task] == run {
		w.end(run, how)
	}
}

func (w *worker) crashUnder(run *runState, life int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life == life && w.running[run.task] == run {
		w.log.note("subtask %s crashes worker %s", run.task, w.id)
		w.crashLocked()
	}
}

// end moves a run from the running to the ended ones.
func (w *worker) end(run *runState, how string) {
	run.timer.Stop()
	delete(w.running, run.task)
	w.lastEnd++
	w.highest[run.task] = max(w.highest[run.task], run.attempt)
	w.finished = append(w.finished, endRow{w.lastEnd, run.task, run.attempt, how})
	w.log.add(event{kind: eventEnd, worker: w.id, life: w.life, task: run.task, attempt: run.attempt, how: how, number: w.lastEnd})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stopRun(call workerCall) (status int, response map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lowFence(call) {
		return w.reject("fence")
	}
	if run := w.running[call.Task]; run != nil && run.attempt <= call.Attempt {
		w.end(run, "stopped")
	}
	w.highest[call.Task] = max(w.highest[call.Task], call.Attempt)
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

// extend moves the end of the lease to a later time, at most holdMaxMS from now.
func (w *worker) extend(until int64) {
	until = min(until, w.clock()+holdMaxMS)
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	if w.lapseTick != nil {
		w.lapseTick.Stop()
	}
	life := w.life
	w.lapseTick = time.AfterFunc(time.Duration(until-w.clock())*time.Millisecond, func() { w.lapse(life) })
}

func (w *worker) lapse(life int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life != life || w.down || w.clock() < w.leaseEnd {
		return
	}
	w.log.add(event{kind: eventLapse, worker: w.id, life: w.life})
	for _, run := range w.running {
		w.end(run, "lapsed")
	}
}

func (w *worker) hold(request *http.Request, call workerCall) (status int, response map[string]any) {
	w.mutex.Lock()
	if w.lowFence(call) {
		defer w.mutex.Unlock()
		return w.reject("fence")
	}
	w.extend(call.DeadlineMS)
	w.acknowledge(call.AckCursor)
	changed, none, life := w.changed, len(w.finished) == 0, w.life
	w.mutex.Unlock()
	if none && call.WaitMS > 0 {
		timer := time.NewTimer(time.Duration(call.WaitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-request.Context().Done():
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life != life {
		panic(http.ErrAbortHandler)
	}
	return http.StatusOK, w.lists()
}

// lists returns the lists of running and ended runs.
func (w *worker) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 100
		if duration := w.duration(run.task); duration > 0 {
			percent = min(99, int(100*time.Since(run.startedAt)/duration))
		}
		checkpoint := ""
		if w.checkpoint {
			checkpoint = fmt.Sprintf("%016x", run.startedAt.UnixNano())
		}
		running = append(running, []any{run.task, run.attempt, checkpoint, percent, 0})
	}
	for _, end := range w.finished[:min(len(w.finished), finishedMax)] {
		finished = append(finished, []any{end.number, end.task, end.attempt, end.how, ""})
	}
	return map[string]any{"clockMs": w.clock(), "born": w.bootedAt.UnixMilli(), "running": running, "finished": finished}
}

func (w *worker) acknowledge(cursor uint64) {
	w.cursor = max(w.cursor, cursor)
	for len(w.finished) > 0 && w.finished[0].number <= w.cursor {
		end := w.finished[0]
		w.log.add(event{kind: eventAck, worker: w.id, life: w.life, task: end.task, attempt: end.attempt, how: end.how, number: end.number})
		w.finished = w.finished[1:]
	}
}
