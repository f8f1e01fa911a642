package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxListedEnds is the number of ends in one response.
const maxListedEnds = 500

// workload says how long the tasks work.
type workload struct {
	// duration of a run of the task; negative for a task that lasts until it is stopped.
	duration func(task string) time.Duration
	// crashAfter is the run time at which the task crashes its worker; 0 if it does not.
	crashAfter func(task string) time.Duration
	// tail is the tail of the response times of a serving task in ms beside tasks that fill at the share in percent; nil if no task serves.
	tail func(fillShare int) int
	// serves and fills report whether the task serves or fills; nil if none does.
	serves, fills func(task string) bool
	// latePace returns how long a pace order that gets no answer is held up, or 0 if it is answered at once; nil if none is held up.
	latePace func(task string, percent int) time.Duration
	// ticketed reports whether a start of the task needs a ticket; nil if none does.
	ticketed func(task string) bool
}

// run is one run of a task on a worker.
type run struct {
	task      string
	attempt   int
	worker    string
	startedAt time.Time
	endedAt   time.Time // zero while it runs
	end       string
	share     int // at which it is paced, in percent
}

// worker is one life of a machine. It follows the section on running subtasks of the platform's protocol.
type worker struct {
	id, machine, pool, zone, rack, address string
	cpu, memory                            int
	maxLease                               time.Duration
	work                                   workload
	record                                 *recorder
	onCrash                                func(w *worker, task string)
	validTicket                            func(name, task, worker string) bool

	mutex    sync.Mutex
	born     time.Time
	dead     bool
	fence    uint64
	leaseEnd time.Duration // on the worker's clock
	running  map[string]*run
	timers   map[*run][]*time.Timer
	highest  map[string]int // highest attempt of each task that was stopped or has ended
	ends     [][]any
	lastEnd  int
	changed  chan struct{}
	runs     []*run
	sequence int
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// entry is what the worker writes about itself in the store.
func (w *worker) entry() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": []string{"a", w.rack},
		"clockMs": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": w.machine,
	}
}

// die ends the worker and all that it runs.
func (w *worker) die(end string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	for _, r := range w.running {
		w.stopTimers(r)
		r.endedAt, r.end = time.Now(), end
		w.record.printf("worker %s: run %s #%d ends with its worker (%s)", w.id, r.task, r.attempt, end)
	}
	w.running = map[string]*run{}
}

// history returns copies of all runs of the worker.
func (w *worker) history() (runs []run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs
}

type workerRequest struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fencingToken"`
	AckCursor  int    `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// ServeHTTP serves the orders.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order workerRequest
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("Acaciatally-Expected-Instance"); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/-/hold" {
		w.hold(writer, request, order)
		return
	}
	if request.URL.Path == "/-/pace" && w.work.latePace != nil {
		if delay := w.work.latePace(order.Task, order.Percent); delay > 0 {
			w.carryOutLate(request, order, delay)
			panic(http.ErrAbortHandler)
		}
	}
	w.mutex.Lock()
	if w.dead {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason := w.order(request.URL.Path, order)
	clock := w.clock()
	w.mutex.Unlock()
	detail := ""
	if request.URL.Path == "/-/pace" {
		detail = fmt.Sprintf(" at %d", order.Percent)
	}
	w.record.printf("worker %s: %s %s #%d%s fence %d -> %s", w.id, request.URL.Path, order.Task, order.Attempt, detail, order.Fence, answerText(reason))
	if reason != "" {
		respond(writer, http.StatusConflict, map[string]any{"clockMs": clock.Milliseconds(), "reason": reason, "born": w.born.UnixMilli()})
		return
	}
	respond(writer, http.StatusOK, map[string]any{"clockMs": clock.Milliseconds(), "born": w.born.UnixMilli()})
}

// carryOutLate carries an order out after the delay and returns when its sender has left without an answer.
func (w *worker) carryOutLate(request *http.Request, order workerRequest, delay time.Duration) {
	w.record.printf("worker %s: pace %s #%d at %d fence %d -> no answer, carried out in %s", w.id, order.Task, order.Attempt, order.Percent, order.Fence, delay)
	path := request.URL.Path
	time.AfterFunc(delay, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		reason := w.order(path, order)
		w.record.printf("worker %s: the late pace %s #%d at %d fence %d is carried out: %s", w.id, order.Task, order.Attempt, order.Percent, order.Fence, answerText(reason))
	})
	<-request.Context().Done()
}

func answerText(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

// order carries out a start, a stop or a pace order and returns the reason why it is rejected, or an empty string.
func (w *worker) order(path string, order workerRequest) (reason string) {
	if order.Fence < w.fence {
		return "fence"
	}
	w.fence = order.Fence
	current := w.running[order.Task]
	switch path {
	case "/-/run-start":
		w.extend(order.DeadlineMS)
		switch {
		case current != nil && current.attempt == order.Attempt:
			return ""
		case current != nil || order.Attempt <= w.highest[order.Task]:
			return "old"
		case w.leaseEnd <= w.clock():
			return "late"
		case w.work.ticketed != nil && w.work.ticketed(order.Task) && !w.validTicket(order.Ticket, order.Task, w.id):
			return "ticket"
		}
		w.start(order.Task, order.Attempt)
	case "/-/run-stop":
		if current != nil && current.attempt <= order.Attempt {
			w.finish(current, "stopped")
		}
		w.highest[order.Task] = max(w.highest[order.Task], order.Attempt)
	case "/-/pace":
		if current == nil || current.attempt != order.Attempt {
			return "old"
		}
		current.share = order.Percent
	}
	return ""
}

// fillShare returns the highest share at which a task that fills works on the worker, in percent.
func (w *worker) fillShare() (share int) {
	for _, r := range w.running {
		if w.work.fills != nil && w.work.fills(r.task) {
			share = max(share, r.share)
		}
	}
	return share
}

// load is the last figure of a row of a running task: the tail of a serving one in ms, or the processors in use.
func (w *worker) load(r *run) int {
	if w.work.serves != nil && w.work.serves(r.task) {
		return w.work.tail(w.fillShare())
	}
	return 1000 * r.share / 100
}

func (w *worker) start(task string, attempt int) {
	r := &run{task: task, attempt: attempt, worker: w.id, startedAt: time.Now(), share: 100}
	w.running[task] = r
	w.runs = append(w.runs, r)
	if after := w.work.crashAfter(task); after > 0 {
		w.timers[r] = append(w.timers[r], time.AfterFunc(after, func() { w.onCrash(w, task) }))
	}
	if duration := w.work.duration(task); duration >= 0 {
		w.timers[r] = append(w.timers[r], time.AfterFunc(duration, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if w.running[task] == r {
				w.finish(r, "done")
			}
		}))
	}
}

func (w *worker) stopTimers(r *run) {
	for _, timer := range w.timers[r] {
		timer.Stop()
	}
	delete(w.timers, r)
}

// finish lists the end of a run.
func (w *worker) finish(r *run, end string) {
	w.stopTimers(r)
	delete(w.running, r.task)
	r.endedAt, r.end = time.Now(), end
	w.lastEnd++
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.attempt, end, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.record.printf("worker %s: run %s #%d ends %s", w.id, r.task, r.attempt, end)
}

// extend moves the end of the lease; it never becomes shorter.
func (w *worker) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+w.maxLease)
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	time.AfterFunc(deadline-w.clock(), func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.dead || w.clock() < w.leaseEnd {
			return
		}
		for _, r := range w.running {
			w.finish(r, "lapsed")
		}
	})
}

// hold extends the lease and answers with the runs and the ends, at the next end or after the time to wait.
func (w *worker) hold(writer http.ResponseWriter, request *http.Request, order workerRequest) {
	w.mutex.Lock()
	if w.dead {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if order.Fence < w.fence {
		clock := w.clock()
		w.mutex.Unlock()
		respond(writer, http.StatusConflict, map[string]any{"clockMs": clock.Milliseconds(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.fence = order.Fence
	w.extend(order.DeadlineMS)
	for len(w.ends) > 0 && w.ends[0][0].(int) <= order.AckCursor {
		w.ends = w.ends[1:]
	}
	changed, wait := w.changed, len(w.ends) == 0
	w.mutex.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(order.WaitMS) * time.Millisecond):
		case <-request.Context().Done():
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, "", w.percent(r), w.load(r)})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ends := append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)
	respond(writer, http.StatusOK, map[string]any{
		"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": ends,
	})
}

func (w *worker) percent(r *run) int {
	duration := w.work.duration(r.task)
	if duration < 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.startedAt)/max(1, duration)))
}

func respond(writer http.ResponseWriter, status int, response any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(response) // the client may have left
}
