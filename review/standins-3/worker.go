package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform that the workers keep to, in the settings of the entries.
const (
	maxLease       = 10 * time.Second
	gangTimeout    = 3 * time.Second
	checkpointTime = time.Second
	restoreTime    = 250 * time.Millisecond
	maxListedEnds  = 500
	slowestClock   = 0.98 // rate of the workers' clocks
)

// behaviour is what the spec of a job tells the workers about the work of its tasks.
type behaviour struct {
	WorkMS int64 `json:"work_ms"` // work of one task on a sound worker; 0 or less runs until it is stopped
	Fails  int   `json:"fails"`   // the first runs of a task that fail, at half of their work
	Note   string
}

// run is one run of a task on a worker.
type run struct {
	task        string
	attempt     int
	spec        behaviour
	step        *stepSpec
	startedAt   time.Time
	workFrom    time.Time // when it works, or will work; zero while a gang waits for its members
	done        time.Duration
	checkpoint  string
	timer       *time.Timer
	checkpoints *time.Timer
	entry       *logEntry
}

// worker is one worker of the platform: it runs tasks under a lease and answers the orders of the system.
type worker struct {
	sim     *simulation
	address string
	rack    string
	kind    string
	pool    string
	machine string

	mutex      sync.Mutex
	id         string
	born       time.Time
	cpu, mem   int
	shrunkAt   time.Time // since when cpu is half of what it was; zero if it is not
	fence      uint64
	leaseEnd   int64
	leaseTimer *time.Timer
	running    map[string]*run
	highest    map[string]int
	ends       [][]any
	entries    map[uint64]*logEntry
	number     uint64
	changed    chan struct{}
	down       bool
	draining   bool
	silentTo   time.Time // orders that arrive before are not answered, though the worker runs on
	lateShare  float64   // share of the orders that are carried out late and not answered
}

func newWorker(sim *simulation, id, machine, address, pool, rack, kind string, cpu, mem int) *worker {
	w := &worker{sim: sim, id: id, machine: machine, address: address, pool: pool, rack: rack, kind: kind, cpu: cpu, mem: mem}
	w.reset()
	return w
}

// reset begins a new life of the worker.
func (w *worker) reset() {
	w.born, w.fence, w.leaseEnd, w.number, w.down, w.draining = time.Now(), 0, 0, 0, false, false
	w.running, w.highest, w.entries = map[string]*run{}, map[string]int{}, map[uint64]*logEntry{}
	w.ends, w.changed = nil, make(chan struct{})
}

func (w *worker) record() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service": w.pool, "address": w.address, "zone": "hall-a", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack}, "machine": w.machine,
		"sequence": time.Since(w.born).Milliseconds()/1500 + 1, "born": w.born.UnixMilli(),
	}
}

func (w *worker) clock() int64 {
	return int64(slowestClock * float64(time.Since(w.born).Milliseconds()))
}

// crash ends all runs; the worker is silent until restart.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.down = true
	for _, r := range w.running {
		w.drop(r, "crashed")
	}
}

// restart begins a new life under an ID, which may be the one before.
func (w *worker) restart(id string) {
	w.crash()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.id = id
	w.reset()
}

// drop ends a run without listing its end. The mutex is held.
func (w *worker) drop(r *run, how string) {
	r.stopTimers()
	delete(w.running, r.task)
	w.sim.judge.ended(r.entry, how)
	w.sim.gangs.leave(w.sim, r)
}

func (r *run) stopTimers() {
	for _, timer := range []*time.Timer{r.timer, r.checkpoints} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// end lists the end of a run. The mutex is held.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	r.stopTimers()
	delete(w.running, r.task)
	w.number++
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, []any{w.number, r.task, r.attempt, how, r.checkpoint})
	w.entries[w.number] = r.entry
	w.sim.judge.ended(r.entry, how)
	close(w.changed)
	w.changed = make(chan struct{})
	w.sim.gangs.leave(w.sim, r)
}

type orderRequest struct {
	Task       string  `json:"task"`
	Attempt    int     `json:"attempt"`
	Spec       string  `json:"spec"`
	DeadlineMS int64   `json:"deadlineMs"`
	Fence      uint64  `json:"fencingToken"`
	Checkpoint string  `json:"checkpoint"`
	Ticket     string  `json:"ticket"`
	AckCursor  uint64  `json:"ackCursor"`
	WaitMS     int64   `json:"waitMs"`
	Percent    float64 `json:"percent"`
}

// ServeHTTP serves the orders of the system.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order orderRequest
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	down, silent, life := w.down, time.Now().Before(w.silentTo), w.born
	late := w.lateShare > 0 && rand.Float64() < w.lateShare && request.URL.Path != "/-/hold"
	id := w.id
	w.mutex.Unlock()
	if late && !down {
		delay := time.Duration(2+8*rand.Float64()) * time.Second
		w.sim.record("late %s %s#%d on %s in %s", request.URL.Path, order.Task, order.Attempt, id, delay.Round(time.Millisecond))
		time.AfterFunc(delay, func() {
			w.mutex.Lock()
			same := w.born.Equal(life) && !w.down
			w.mutex.Unlock()
			if same {
				w.handle(request.URL.Path, order, nil)
			}
		})
	}
	if down || silent || late {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("Acaciatally-Expected-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, response := w.handle(request.URL.Path, order, request.Context().Done())
	w.mutex.Lock()
	gone := w.down || time.Now().Before(w.silentTo)
	w.mutex.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(response) // the caller may have left
}

func (w *worker) handle(path string, order orderRequest, left <-chan struct{}) (status int, response map[string]any) {
	switch path {
	case "/-/run-start":
		return w.start(order)
	case "/-/run-stop":
		return w.stop(order)
	case "/-/hold":
		return w.hold(order, left)
	case "/-/pace":
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	return http.StatusNotFound, nil
}

func (w *worker) stale(order orderRequest) bool {
	if order.Fence < w.fence {
		return true
	}
	w.fence = order.Fence
	return false
}

func (w *worker) reject(reason string) (status int, response map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
}

func (w *worker) extend(until int64) {
	until = min(until, w.clock()+maxLease.Milliseconds())
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	life := w.born
	wait := time.Duration(float64(until-w.clock())/slowestClock) * time.Millisecond
	w.leaseTimer = time.AfterFunc(wait, func() { w.lapse(life) })
}

func (w *worker) lapse(life time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.down || !w.born.Equal(life) {
		return
	}
	if w.clock() < w.leaseEnd { // by the rounding of the clock
		w.leaseTimer = time.AfterFunc(time.Millisecond, func() { w.lapse(life) })
		return
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
	for _, entry := range w.entries {
		w.sim.judge.lapsed(entry)
	}
}

func (w *worker) start(order orderRequest) (status int, response map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stale(order) {
		return w.reject("fence")
	}
	w.extend(order.DeadlineMS)
	if r := w.running[order.Task]; r != nil && r.attempt == order.Attempt {
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	if order.Attempt <= w.highest[order.Task] || w.running[order.Task] != nil {
		return w.reject("old")
	}
	if w.leaseEnd <= w.clock() {
		return w.reject("late")
	}
	step := w.sim.judge.step(order.Task)
	if step != nil && step.advice && !w.sim.advice.holds(order.Task, w.id, order.Ticket, w.born) {
		return w.reject("ticket")
	}
	r := &run{task: order.Task, attempt: order.Attempt, step: step, startedAt: time.Now(), checkpoint: order.Checkpoint}
	_ = json.Unmarshal([]byte(order.Spec), &r.spec) // the judge checks the spec
	r.done = parseCheckpoint(order.Checkpoint)
	r.entry = w.sim.judge.started(w, order)
	w.running[order.Task] = r
	if step != nil && step.Gang {
		w.sim.gangs.join(w.sim, w, r)
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	w.work(r)
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

// work lets a run work from now on. The mutex is held.
func (w *worker) work(r *run) {
	r.workFrom = time.Now()
	if r.checkpoint != "" {
		r.workFrom = r.workFrom.Add(restoreTime)
	}
	if r.spec.WorkMS > 0 {
		left, how := time.Duration(r.spec.WorkMS)*time.Millisecond-r.done, "done"
		if r.attempt <= r.spec.Fails {
			left, how = left/2, "failed"
		}
		gang := r.step != nil && r.step.Gang
		r.timer = time.AfterFunc(time.Until(r.workFrom)+max(0, left), func() {
			if gang {
				w.sim.gangs.finish(w.sim, r, how)
				return
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.end(r, how)
		})
	}
	if r.step != nil && r.step.Checkpointing {
		w.nextCheckpoint(r)
	}
}

func (w *worker) nextCheckpoint(r *run) {
	r.checkpoints = time.AfterFunc(checkpointTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.running[r.task] != r {
			return
		}
		w.save(r)
		w.nextCheckpoint(r)
	})
}

// save produces a checkpoint of the work that is done. The mutex is held.
func (w *worker) save(r *run) {
	if r.step == nil || !r.step.Checkpointing || r.workFrom.IsZero() || time.Now().Before(r.workFrom) {
		return
	}
	done := r.done + time.Since(r.workFrom)
	r.checkpoint = fmt.Sprintf("%08x%s", done.Milliseconds(), checkpointOwner(r.task, r.step))
	w.sim.judge.saved(r.task, r.checkpoint)
}

// checkpointOwner names a task, or the gang to which it belongs.
func checkpointOwner(task string, step *stepSpec) string {
	if step.Gang {
		return "-" + task[:strings.LastIndexByte(task, '.')]
	}
	return "-" + task
}

func parseCheckpoint(checkpoint string) time.Duration {
	var done int64
	if len(checkpoint) >= 8 {
		_, _ = fmt.Sscanf(checkpoint[:8], "%x", &done) // one that can't be read is of no work
	}
	return time.Duration(done) * time.Millisecond
}

func (w *worker) stop(order orderRequest) (status int, response map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stale(order) {
		return w.reject("fence")
	}
	if r := w.running[order.Task]; r != nil && r.attempt <= order.Attempt {
		w.save(r)
		w.end(r, "stopped")
	}
	w.highest[order.Task] = max(w.highest[order.Task], order.Attempt)
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

func (w *worker) hold(order orderRequest, left <-chan struct{}) (status int, response map[string]any) {
	w.mutex.Lock()
	if w.stale(order) {
		defer w.mutex.Unlock()
		return w.reject("fence")
	}
	w.extend(order.DeadlineMS)
	for len(w.ends) > 0 && w.ends[0][0].(uint64) <= order.AckCursor {
		number := w.ends[0][0].(uint64)
		w.sim.judge.acknowledged(w.entries[number])
		delete(w.entries, number)
		w.ends = w.ends[1:]
	}
	changed, wait := w.changed, len(w.ends) == 0 && order.WaitMS > 0
	w.mutex.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(order.WaitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-left:
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, r.checkpoint, r.percent(), 0})
	}
	ends := append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": ends}
}

func (r *run) percent() int {
	switch {
	case r.workFrom.IsZero() || time.Now().Before(r.workFrom):
		return 0
	case r.spec.WorkMS <= 0 && time.Since(r.workFrom) > 300*time.Millisecond:
		return 100
	case r.spec.WorkMS <= 0:
		return 0
	}
	done := r.done + time.Since(r.workFrom)
	return int(min(99, 100*done.Milliseconds()/r.spec.WorkMS))
}

// gangs lets the runs of a gang work together.
type gangs struct {
	mutex   sync.Mutex
	present map[string]*gang
}

// gang is one run of a gang: the runs of its members with the same attempt.
type gang struct {
	members map[string]*member
	working bool
	over    bool
}

type member struct {
	worker *worker
	run    *run
	alone  *time.Timer
}

func gangKey(r *run) string {
	return fmt.Sprintf("%s#%d", r.task[:strings.LastIndexByte(r.task, '.')], r.attempt)
}

// join adds a run to its gang. The worker's mutex is held.
func (g *gangs) join(sim *simulation, w *worker, r *run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	key := gangKey(r)
	if g.present[key] == nil {
		g.present[key] = &gang{members: map[string]*member{}}
	}
	joined := g.present[key]
	m := &member{worker: w, run: r}
	joined.members[r.task] = m
	m.alone = time.AfterFunc(gangTimeout, func() { g.timeOut(sim, key, m) })
	if len(joined.members) < r.step.Count || joined.over {
		return
	}
	joined.working = true
	for _, other := range joined.members {
		other.alone.Stop()
		go func() {
			other.worker.mutex.Lock()
			defer other.worker.mutex.Unlock()
			if other.worker.running[other.run.task] == other.run {
				other.worker.work(other.run)
			}
		}()
	}
}

func (g *gangs) timeOut(sim *simulation, key string, m *member) {
	g.mutex.Lock()
	waits := g.present[key] != nil && !g.present[key].working
	g.mutex.Unlock()
	if !waits {
		return
	}
	m.worker.mutex.Lock()
	defer m.worker.mutex.Unlock()
	sim.record("alone %s#%d on %s", m.run.task, m.run.attempt, m.worker.id)
	m.worker.end(m.run, "alone")
}

// finish ends all runs of a gang that is whole.
func (g *gangs) finish(sim *simulation, r *run, how string) {
	g.mutex.Lock()
	ended := g.present[gangKey(r)]
	if ended == nil || ended.over {
		g.mutex.Unlock()
		return
	}
	ended.over = true
	members := make([]*member, 0, len(ended.members))
	for _, m := range ended.members {
		members = append(members, m)
	}
	g.mutex.Unlock()
	_ = sim
	for _, m := range members {
		m.worker.mutex.Lock()
		memberHow := how
		if how == "failed" && m.run != r {
			memberHow = "broken"
		}
		m.worker.end(m.run, memberHow)
		m.worker.mutex.Unlock()
	}
}

// leave handles that a run has ended: the others of its gang can't work on.
func (g *gangs) leave(_ *simulation, r *run) {
	if r.step == nil || !r.step.Gang {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	key := gangKey(r)
	left := g.present[key]
	if left == nil {
		return
	}
	if m := left.members[r.task]; m != nil {
		m.alone.Stop()
		delete(left.members, r.task)
	}
	if left.working && !left.over {
		left.over = true
		for _, other := range left.members {
			go func() {
				other.worker.mutex.Lock()
				defer other.worker.mutex.Unlock()
				other.worker.end(other.run, "broken")
			}()
		}
	}
	if len(left.members) == 0 {
		delete(g.present, key)
	}
}
