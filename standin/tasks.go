package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// TasksConfig tunes the simulated task leases.
type TasksConfig struct {
	ReportLag       time.Duration // age of the usage reports
	ReportRetention time.Duration // how long ended attempts are reported; 0 is for ever
	CheckpointTime  time.Duration // time to write a checkpoint
	Clock           acaciatally.Clock
}

// Tasks runs simulated tasks on workers under leases; it is safe for concurrent use.
type Tasks struct {
	config  TasksConfig
	mu      sync.Mutex
	workers map[acaciatally.InstanceID]*taskWorker
	runs    map[taskKey]*taskRun
	saved   map[string]time.Duration // progress held by each checkpoint
	over    acaciatally.Resources    // largest amount by which a worker's use exceeded its capacity
}

// NewTasks returns task leases without workers.
func NewTasks(config TasksConfig) *Tasks {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Tasks{
		config:  config,
		workers: map[acaciatally.InstanceID]*taskWorker{},
		runs:    map[taskKey]*taskRun{},
		saved:   map[string]time.Duration{},
	}
}

// AddWorker adds a worker that runs tasks.
func (t *Tasks) AddWorker(id acaciatally.InstanceID, capacity acaciatally.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workers[id] = &taskWorker{capacity: capacity, now: t.config.Clock.Now()}
}

// SetFaults replaces the faults of a worker.
func (t *Tasks) SetFaults(id acaciatally.InstanceID, faults TaskWorkerFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if worker, found := t.workers[id]; found {
		worker.faults = faults
	}
}

// Crash ends all runs of a worker without a report until their leases have expired.
func (t *Tasks) Crash(id acaciatally.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	for _, run := range t.workers[id].runs {
		if run.running() {
			run.state = acaciatally.TaskLeaseExpired
			run.record(run.lease.Expires)
		}
	}
}

// Start orders an attempt; repeating it gives the first answer again, also after a Stop that came before it.
func (t *Tasks) Start(_ context.Context, lease acaciatally.TaskLease) (err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	key := taskKey{task: lease.Task, attempt: lease.Attempt}
	if known, found := t.runs[key]; found {
		return answerOf(known)
	}
	worker, found := t.workers[lease.Worker]
	if found && worker.faults.Silent {
		return acaciatally.ErrUnknownCommit
	}
	run := &taskRun{lease: lease, share: 1, state: acaciatally.TaskRunning, started: t.config.Clock.Now(), checkpoint: lease.Checkpoint}
	t.runs[key] = run
	if !found || !lease.Expires.After(t.config.Clock.Now()) || json.Unmarshal(lease.Command, &run.profile) != nil || !worker.fits(run) {
		run.rejected, run.state = true, acaciatally.TaskStopped
		return acaciatally.ErrRejected
	}
	run.from = t.saved[lease.Checkpoint]
	run.progress = run.from
	t.launch(worker, run)
	return nil
}

func (w *taskWorker) fits(run *taskRun) bool {
	return w.sum().Accelerators+run.profile.Uses.Accelerators <= w.capacity.Accelerators
}

func (t *Tasks) launch(worker *taskWorker, run *taskRun) {
	worker.runs = append(worker.runs, run)
	worker.reported = append(worker.reported, run)
	run.record(worker.now)
	if worker.faults.FailsEverything {
		run.end(worker.now, acaciatally.TaskFailed, "exit status 127")
		return
	}
	sum := worker.sum()
	t.over.Processors = max(t.over.Processors, sum.Processors-worker.capacity.Processors)
	t.over.Memory = max(t.over.Memory, sum.Memory-worker.capacity.Memory)
	worker.relieve()
}

func answerOf(run *taskRun) error {
	if run.rejected {
		return acaciatally.ErrRejected
	}
	return nil
}

// Renew extends the lease of an attempt.
func (t *Tasks) Renew(_ context.Context, task string, attempt int, expires time.Time) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		if expires.After(run.lease.Expires) {
			run.lease.Expires = expires
		}
	})
}

// Checkpoint orders a checkpoint, which is written after the checkpoint time.
func (t *Tasks) Checkpoint(_ context.Context, task string, attempt int) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		if !run.profile.Checkpoints || !run.checkpointAt.IsZero() {
			return
		}
		run.checkpointAt = t.config.Clock.Now().Add(t.config.CheckpointTime)
		run.progress = max(run.progress, run.from)
		run.pending = checkpointName(run)
		t.saved[run.pending] = run.progress
	})
}

func checkpointName(run *taskRun) string {
	return fmt.Sprintf("Checkpoint/%s/%d/%d", run.lease.Task, run.lease.Attempt, run.progress)
}

// Throttle limits an attempt's processors; 0 pauses it.
func (t *Tasks) Throttle(_ context.Context, task string, attempt int, share float64) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		run.share = min(max(share, 0), 1)
		run.record(t.config.Clock.Now())
	})
}

// Stop ends an attempt, or keeps one that has not started from ever starting.
func (t *Tasks) Stop(_ context.Context, task string, attempt int) (err error) {
	key := taskKey{task: task, attempt: attempt}
	t.mu.Lock()
	if _, found := t.runs[key]; !found {
		t.runs[key] = &taskRun{lease: acaciatally.TaskLease{Task: task, Attempt: attempt}, state: acaciatally.TaskStopped, rejected: true}
	}
	t.mu.Unlock()
	err = t.order(task, attempt, func(run *taskRun) { run.end(t.config.Clock.Now(), acaciatally.TaskStopped, "") })
	if err == acaciatally.ErrLeaseExpired { //nolint:errorlint // the value is set by order
		return nil
	}
	return err
}

func (t *Tasks) order(task string, attempt int, apply func(run *taskRun)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	run, found := t.runs[taskKey{task: task, attempt: attempt}]
	if !found || !run.running() {
		return acaciatally.ErrLeaseExpired
	}
	if t.workers[run.lease.Worker].faults.Silent {
		return acaciatally.ErrUnknownCommit
	}
	apply(run)
	return nil
}

// Usage returns the reports of the workers' attempts as they were one lag ago.
func (t *Tasks) Usage(_ context.Context, workers ...acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	seen := t.config.Clock.Now().Add(-t.config.ReportLag)
	for _, id := range workers {
		worker, found := t.workers[id]
		if !found || worker.faults.Silent {
			continue
		}
		worker.forget(t.config.ReportRetention)
		for _, run := range worker.reported {
			if report, found := run.visible(seen); found {
				usage = append(usage, report)
			}
		}
	}
	slices.SortFunc(usage, func(a, b acaciatally.TaskUsage) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return usage, nil
}

func (t *Tasks) advance() {
	now := t.config.Clock.Now()
	for _, worker := range t.workers {
		worker.advance(now)
	}
}

// Trace returns what each attempt of a task did, in order of attempts.
func (t *Tasks) Trace(task string) (traces []TaskTrace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	for key, run := range t.runs {
		if key.task == task && !run.rejected {
			traces = append(traces, TaskTrace{
				Attempt: key.attempt, Worker: run.lease.Worker, From: run.from, To: run.progress, State: run.state, Started: run.started,
			})
		}
	}
	slices.SortFunc(traces, func(a, b TaskTrace) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return traces
}

// Excess returns the largest amount by which a worker's use ever exceeded its capacity.
func (t *Tasks) Excess() acaciatally.Resources {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over
}
