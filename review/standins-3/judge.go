package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step of a job, as clients send it.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstimateMS    int    `json:"estimateMs,omitempty"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MayMiss       int    `json:"mayMiss,omitempty"`
	advice        bool
}

// jobSpec is a job, as clients send it.
type jobSpec struct {
	Spec        string     `json:"spec"`
	Steps       []stepSpec `json:"steps"`
	RepeatCount int        `json:"repeatCount,omitempty"`
	StartAtMS   int64      `json:"startAtMs,omitempty"`
	IntervalMS  int64      `json:"intervalMs,omitempty"`
}

// job is what a client knows of a job.
type job struct {
	id, path    string
	pool        string
	attempts    int
	spec        jobSpec
	sentAt      time.Time
	acceptedAt  time.Time // zero before
	cancelledAt time.Time // when its cancellation was acknowledged; zero before
	cancelSent  time.Time
	rejected    bool // all attempts were rejected
	state       string
}

// logEntry is one run, as the workers see it.
type logEntry struct {
	task      string
	attempt   int
	worker    *worker
	workerID  string
	startedAt time.Time
	endedAt   time.Time
	how       string
	ackedAt   time.Time
	lapsed    bool // the worker's lease lapsed before the end was acknowledged
}

// judge checks the rules from what clients and workers see.
type judge struct {
	sim   *simulation
	mutex sync.Mutex
	jobs  map[string]*job
	runs  map[string][]*logEntry // by task
	saves map[string]bool        // checkpoints, with their owner
	live  map[*worker]map[*logEntry]bool
	broke []string
}

func newJudge(sim *simulation) *judge {
	return &judge{sim: sim, jobs: map[string]*job{}, runs: map[string][]*logEntry{}, saves: map[string]bool{}, live: map[*worker]map[*logEntry]bool{}}
}

// broken records that a rule is broken. The mutex is held.
func (j *judge) broken(rule, format string, arguments ...any) {
	text := rule + ": " + fmt.Sprintf(format, arguments...)
	j.broke = append(j.broke, text)
	j.sim.record("BROKEN %s", text)
}

// parseTask splits ID.K.STEP.INDEX.
func parseTask(name string) (id string, occurrence, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var errs [3]error
	occurrence, errs[0] = strconv.Atoi(parts[1])
	step, errs[1] = strconv.Atoi(parts[2])
	index, errs[2] = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index, errs[0] == nil && errs[1] == nil && errs[2] == nil
}

// step returns the step of a task, or nil if no client has sent it.
func (j *judge) step(task string) *stepSpec {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	_, step := j.find(task)
	return step
}

func (j *judge) find(task string) (found *job, step *stepSpec) {
	id, _, number, index, ok := parseTask(task)
	found = j.jobs[id]
	if !ok || found == nil || number < 0 || number >= len(found.spec.Steps) || index < 0 || index >= found.spec.Steps[number].Count {
		return found, nil
	}
	return found, &found.spec.Steps[number]
}

func (j *judge) started(w *worker, order orderRequest) *logEntry {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := time.Now()
	entry := &logEntry{task: order.Task, attempt: order.Attempt, worker: w, workerID: w.id, startedAt: now}
	j.sim.record("start %s#%d on %s checkpoint %q", order.Task, order.Attempt, w.id, order.Checkpoint)
	of, step := j.find(order.Task)
	if step == nil {
		j.broken("UNASKED", "%s was never sent", order.Task)
		return entry
	}
	j.checkStart(of, step, entry, w, order, now)
	j.runs[order.Task] = append(j.runs[order.Task], entry)
	if j.live[w] == nil {
		j.live[w] = map[*logEntry]bool{}
	}
	j.live[w][entry] = true
	j.checkRoom(w)
	return entry
}

// checkStart checks the rules on a start that do not need the room of the worker.
func (j *judge) checkStart(of *job, step *stepSpec, entry *logEntry, w *worker, order orderRequest, now time.Time) {
	if order.Spec != of.spec.Spec {
		j.broken("UNASKED", "%s started with another spec", order.Task)
	}
	if order.Checkpoint != "" && !j.saves[checkpointKey(order.Checkpoint, order.Task, step)] {
		j.broken("UNASKED", "%s started with a checkpoint that it never saved: %s", order.Task, order.Checkpoint)
	}
	if !of.cancelledAt.IsZero() && now.After(of.cancelledAt.Add(cancelTime)) && now.After(j.sim.calmAt()) {
		j.broken("UNASKED", "%s started %s after its cancellation", order.Task, now.Sub(of.cancelledAt))
	}
	if w.pool != of.pool || step.Requirements != "" && step.Requirements != w.kind {
		j.broken("ROUTE", "%s started on %s of %s, kind %s", order.Task, w.id, w.pool, w.kind)
	}
	failed := 0
	for _, other := range j.runs[order.Task] {
		switch {
		case other.endedAt.IsZero() && !other.worker.down:
			j.broken("TWICE", "%s#%d started on %s while #%d runs on %s", order.Task, order.Attempt, w.id, other.attempt, other.workerID)
		case other.how == "done" && !step.LongRunning && !other.ackedAt.IsZero() && !other.lapsed:
			j.broken("TWICE", "%s#%d started after #%d was done and acknowledged", order.Task, order.Attempt, other.attempt)
		case other.how == "failed" && !other.ackedAt.IsZero():
			failed++
		}
	}
	if failed >= of.attempts && !step.LongRunning {
		j.broken("BUDGET", "%s#%d started after %d failures", order.Task, order.Attempt, failed)
	}
	j.checkOrder(of, step, order.Task, now)
	j.checkSpread(of, step, entry, w)
}

func checkpointKey(checkpoint, task string, step *stepSpec) string {
	return checkpoint + "|" + checkpointOwner(task, step)
}

func (j *judge) checkOrder(of *job, step *stepSpec, task string, now time.Time) {
	id, occurrence, _, _, _ := parseTask(task)
	if of.spec.RepeatCount > 0 {
		due := time.UnixMilli(of.spec.StartAtMS + int64(occurrence)*of.spec.IntervalMS)
		if now.Before(due.Add(-earlyTime)) {
			j.broken("ORDER", "%s started %s before its time", task, due.Sub(now))
		}
	}
	for _, earlier := range step.DependsOn {
		gangDone := false
		missing := ""
		for index := range of.spec.Steps[earlier].Count {
			name := fmt.Sprintf("%s.%d.%d.%d", id, occurrence, earlier, index)
			done := slices.ContainsFunc(j.runs[name], func(e *logEntry) bool { return e.how == "done" })
			gangDone = gangDone || done
			if !done {
				missing = name
			}
		}
		if missing != "" && (!of.spec.Steps[earlier].Gang || !gangDone) {
			j.broken("ORDER", "%s started before %s was done", task, missing)
		}
	}
}

func (j *judge) checkSpread(_ *job, step *stepSpec, entry *logEntry, w *worker) {
	if step.AntiAffinity == 0 {
		return
	}
	prefix := entry.task[:strings.LastIndexByte(entry.task, '.')+1]
	count := 1
	for other := range j.live[w] {
		if other.endedAt.IsZero() && strings.HasPrefix(other.task, prefix) {
			count++
		}
	}
	if count > step.AntiAffinity {
		j.broken("ROUTE", "%s is number %d of its step on %s, at most %d", entry.task, count, w.id, step.AntiAffinity)
	}
}

func (j *judge) checkRoom(w *worker) {
	cpu, mem := 0, 0
	for entry := range j.live[w] {
		if _, step := j.find(entry.task); step != nil && entry.endedAt.IsZero() {
			cpu += step.CPU
			mem += step.MemMB
		}
	}
	room := w.cpu
	if !w.shrunkAt.IsZero() && time.Since(w.shrunkAt) < contactTime+beatTime {
		room *= 2
	}
	if cpu > room || mem > w.mem {
		j.broken("LIMIT", "%s has %d of %d cpu, %d of %d MB in use", w.id, cpu, room, mem, w.mem)
	}
}

func (j *judge) ended(entry *logEntry, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry.endedAt, entry.how = time.Now(), how
	delete(j.live[entry.worker], entry)
	j.sim.record("end %s#%d on %s: %s", entry.task, entry.attempt, entry.workerID, how)
	if how == "alone" && time.Now().After(j.sim.calmAt()) {
		if of, _ := j.find(entry.task); of != nil && of.cancelSent.IsZero() {
			j.broken("GANG", "%s#%d ended alone", entry.task, entry.attempt)
		}
	}
}

func (j *judge) acknowledged(entry *logEntry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if entry == nil {
		return
	}
	entry.ackedAt = time.Now()
	_, step := j.find(entry.task)
	if entry.how != "done" || entry.lapsed || step == nil || step.LongRunning {
		return
	}
	for _, other := range j.runs[entry.task] {
		if other.startedAt.After(entry.endedAt) {
			j.broken("TWICE", "%s#%d was done, then #%d started, then the end was acknowledged", entry.task, entry.attempt, other.attempt)
		}
	}
}

func (j *judge) lapsed(entry *logEntry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry.lapsed = true
}

func (j *judge) saved(task, checkpoint string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	_, step := j.find(task)
	j.saves[checkpointKey(checkpoint, task, step)] = true
}

// unfinished returns the accepted jobs that are neither ended nor cancelled.
func (j *judge) unfinished() (list []*job) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, of := range j.jobs {
		ended := of.state == "completed" || of.state == "failed" || of.state == "cancelled"
		if !of.acceptedAt.IsZero() && of.cancelSent.IsZero() && !ended {
			list = append(list, of)
		}
	}
	return list
}

func encodeBehaviour(b behaviour) string {
	content, _ := json.Marshal(b) // plain data always encodes
	return string(content)
}
