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

// TasksConfig configures Tasks.
type TasksConfig struct {
	ReportLag       time.Duration     // delay with which usage reports show changes
	ReportRetention time.Duration     // how long ended attempts stay in the reports; 0 means forever
	CheckpointTime  time.Duration     // time to write a checkpoint
	Clock           acaciatally.Clock // nil uses the system clock
}

// Tasks simulates workers that run tasks under leases; it is safe for concurrent use.
type Tasks struct {
	config      TasksConfig
	mu          sync.Mutex
	workers     map[acaciatally.InstanceID]*taskWorker
	runs        map[taskKey]*taskRun
	checkpoints map[string]time.Duration // progress saved by each checkpoint, by name
	excess      acaciatally.Resources    // largest amount by which a worker's use ever exceeded its capacity
}

// NewTasks returns a simulation without workers.
func NewTasks(config TasksConfig) *Tasks {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Tasks{
		config:      config,
		workers:     map[acaciatally.InstanceID]*taskWorker{},
		runs:        map[taskKey]*taskRun{},
		checkpoints: map[string]time.Duration{},
	}
}

// AddWorker adds a worker that can run tasks, or replaces it by one without runs.
func (t *Tasks) AddWorker(id acaciatally.InstanceID, capacity acaciatally.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workers[id] = &taskWorker{capacity: capacity, now: t.config.Clock.Now()}
}

// SetFaults replaces the faults of a worker; it has no effect on an unknown worker.
func (t *Tasks) SetFaults(id acaciatally.InstanceID, faults TaskWorkerFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if worker, found := t.workers[id]; found {
		worker.faults = faults
	}
}

// Crash ends all runs of a worker; the usage reports show it only after their leases have expired.
func (t *Tasks) Crash(id acaciatally.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	for _, run := range t.workers[id].runs {
		if run.running() {
			run.state = acaciatally.TaskLeaseExpired
			run.addReport(run.lease.Expires)
		}
	}
}

// Start starts an attempt. It is idempotent: a repeated call returns the result of the first, and an attempt that was stopped before
// its start is rejected.
func (t *Tasks) Start(_ context.Context, lease acaciatally.TaskLease) (err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	key := taskKey{task: lease.Task, attempt: lease.Attempt}
	if existing, found := t.runs[key]; found {
		return startResult(existing)
	}
	worker, found := t.workers[lease.Worker]
	if found && worker.faults.Silent {
		return acaciatally.ErrUnknownCommit
	}
	run := &taskRun{lease: lease, share: 1, state: acaciatally.TaskRunning, started: t.config.Clock.Now(), checkpoint: lease.Checkpoint}
	t.runs[key] = run
	if !found || !lease.Expires.After(t.config.Clock.Now()) || json.Unmarshal(lease.Command, &run.profile) != nil || !worker.hasAccelerators(run) {
		run.rejected, run.state = true, acaciatally.TaskStopped
		return acaciatally.ErrRejected
	}
	run.resumedFrom = t.checkpoints[lease.Checkpoint]
	run.progress = run.resumedFrom
	t.addRun(worker, run)
	return nil
}

func (w *taskWorker) hasAccelerators(run *taskRun) bool {
	return w.totalUse().Accelerators+run.profile.Uses.Accelerators <= w.capacity.Accelerators
}

func (t *Tasks) addRun(worker *taskWorker, run *taskRun) {
	worker.runs = append(worker.runs, run)
	worker.reported = append(worker.reported, run)
	run.addReport(worker.now)
	if worker.faults.FailsEverything {
		run.finish(worker.now, acaciatally.TaskFailed, "exit status 127")
		return
	}
	use := worker.totalUse()
	t.excess.Processors = max(t.excess.Processors, use.Processors-worker.capacity.Processors)
	t.excess.Memory = max(t.excess.Memory, use.Memory-worker.capacity.Memory)
	worker.freeMemory()
}

func startResult(run *taskRun) error {
	if run.rejected {
		return acaciatally.ErrRejected
	}
	return nil
}

// Renew extends the lease of an attempt; it never shortens one.
func (t *Tasks) Renew(_ context.Context, task string, attempt int, expires time.Time) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		if expires.After(run.lease.Expires) {
			run.lease.Expires = expires
		}
	})
}

// Checkpoint starts writing a checkpoint, which is complete after CheckpointTime; it has no effect while another
// is being written or if the task does not support checkpoints.
func (t *Tasks) Checkpoint(_ context.Context, task string, attempt int) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		if !run.profile.Checkpoints || !run.checkpointAt.IsZero() {
			return
		}
		run.checkpointAt = t.config.Clock.Now().Add(t.config.CheckpointTime)
		run.progress = max(run.progress, run.resumedFrom)
		run.pendingCheckpoint = checkpointName(run)
		t.checkpoints[run.pendingCheckpoint] = run.progress
	})
}

func checkpointName(run *taskRun) string {
	return fmt.Sprintf("Checkpoint/%s/%d/%d", run.lease.Task, run.lease.Attempt, run.progress)
}

// Throttle limits an attempt to a share of its processors between 0 and 1; 0 pauses it.
func (t *Tasks) Throttle(_ context.Context, task string, attempt int, share float64) (err error) {
	return t.order(task, attempt, func(run *taskRun) {
		run.share = min(max(share, 0), 1)
		run.addReport(t.config.Clock.Now())
	})
}

// Stop ends an attempt, or prevents a later Start of it.
func (t *Tasks) Stop(_ context.Context, task string, attempt int) (err error) {
	key := taskKey{task: task, attempt: attempt}
	t.mu.Lock()
	if _, found := t.runs[key]; !found {
		t.runs[key] = &taskRun{lease: acaciatally.TaskLease{Task: task, Attempt: attempt}, state: acaciatally.TaskStopped, rejected: true}
	}
	t.mu.Unlock()
	err = t.order(task, attempt, func(run *taskRun) { run.finish(t.config.Clock.Now(), acaciatally.TaskStopped, "") })
	if err == acaciatally.ErrLeaseExpired { //nolint:errorlint // the value is set by order
		return nil
	}
	return err
}

// order applies a change to a running attempt; it fails with ErrLeaseExpired if the attempt is not running, and with ErrUnknownCommit
// if its worker has the fault Silent.
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

// Usage returns the reports on the workers' attempts as of ReportLag ago, sorted by task and attempt.
func (t *Tasks) Usage(_ context.Context, workers ...acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	asOf := t.config.Clock.Now().Add(-t.config.ReportLag)
	for _, id := range workers {
		worker, found := t.workers[id]
		if !found || worker.faults.Silent {
			continue
		}
		worker.dropOldReports(t.config.ReportRetention)
		for _, run := range worker.reported {
			if report, found := run.reportAt(asOf); found {
				usage = append(usage, report)
			}
		}
	}
	slices.SortFunc(usage, func(a, b acaciatally.TaskUsage) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return usage, nil
}

// advance simulates all workers up to the present time.
func (t *Tasks) advance() {
	now := t.config.Clock.Now()
	for _, worker := range t.workers {
		worker.advance(now)
	}
}

// Trace returns what each attempt of a task did, sorted by attempt.
func (t *Tasks) Trace(task string) (traces []TaskTrace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	for key, run := range t.runs {
		if key.task == task && !run.rejected {
			traces = append(traces, TaskTrace{
				Attempt: key.attempt, Worker: run.lease.Worker, StartProgress: run.resumedFrom, EndProgress: run.progress, State: run.state, Started: run.started,
			})
		}
	}
	slices.SortFunc(traces, func(a, b TaskTrace) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return traces
}

// MaxOveruse returns the largest amounts by which the processors and memory in use on a worker ever exceeded its capacity.
func (t *Tasks) MaxOveruse() acaciatally.Resources {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.excess
}
