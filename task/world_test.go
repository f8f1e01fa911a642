package task_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

const (
	gibibyte  = int64(1) << 30
	leaseTerm = 10 * time.Second
	pool      = acaciatally.PoolName("chamber")
)

// world is a pool of simulated workers with a frontend and any number of controllers.
type world struct {
	t        *testing.T
	ctx      context.Context
	table    *standin.Table
	tasks    *standin.Tasks
	faults   *standin.Faults // between the system and the platform
	fleet    *task.Fleet
	frontend *task.Frontend
	mu       sync.Mutex    // guards fleet
	round    time.Duration // of the controllers; 0 is the default
	fresh    func() bool
	quaran   map[acaciatally.InstanceID]string
}

var workerSize = acaciatally.Resources{Processors: 64, Memory: 256 * gibibyte}

func newWorld(t *testing.T, workers int) *world {
	t.Helper()
	w := &world{
		t: t, table: standin.NewTable(), fleet: &task.Fleet{}, quaran: map[acaciatally.InstanceID]string{},
		tasks: standin.NewTasks(standin.TasksConfig{ReportLag: 2 * time.Second, CheckpointTime: 300 * time.Millisecond}),
	}
	w.faults = standin.NewFaults(standin.FaultsConfig{Table: w.table, Leases: w.tasks, Seed: 1})
	for i := range workers {
		w.addWorker(acaciatally.InstanceID(fmt.Sprintf("chamber-%d", i+1)), workerSize)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	w.ctx = ctx
	w.frontend = task.NewFrontend(task.FrontendConfig{Table: w.faults, Leases: w.faults})
	go func() { _ = w.frontend.Run(ctx) }()
	return w
}

func (w *world) view() task.Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return task.Fleet{Workers: slices.Clone(w.fleet.Workers), Elsewhere: w.fleet.Elsewhere, Quotas: w.fleet.Quotas}
}

func (w *world) setState(id acaciatally.InstanceID, state task.WorkerState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.fleet.Workers {
		if w.fleet.Workers[i].ID == id {
			w.fleet.Workers[i].State = state
		}
	}
}

func (w *world) removeWorker(id acaciatally.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Workers = slices.DeleteFunc(w.fleet.Workers, func(worker task.Worker) bool { return worker.ID == id })
}

func (w *world) addWorker(id acaciatally.InstanceID, size acaciatally.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.AddWorker(id, size)
	w.fleet.Workers = append(w.fleet.Workers, task.Worker{ID: id, Capacity: size})
}

// control starts a controller that runs until the returned function is called.
func (w *world) control(holder string) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	runner := w.runnerOver(holder, w.faults, w.faults)
	ended := make(chan struct{})
	go func() { _ = runner.Run(ctx); close(ended) }()
	return func() { cancel(); <-ended }
}

func (w *world) runnerOver(holder string, table acaciatally.TableService, leases acaciatally.TaskLeases) *task.Runner {
	return task.NewRunner(task.RunnerConfig{
		Machine: task.MachineConfig{Pool: pool}, Table: table, Leases: leases,
		Lease: &testLease{table: table, holder: holder},
		Fleet: w.view, Round: w.round, Fresh: w.fresh,
		Quarantine: func(_ context.Context, worker acaciatally.InstanceID, reason string) error {
			w.quaran[worker] = reason
			return nil
		},
	})
}

func spec(id string, profile standin.TaskProfile) task.Spec {
	return task.Spec{
		ID: id, Team: "survey", Pool: pool, Kind: "reduce", Urgency: acaciatally.Normal, Idempotent: true, Checkpoints: profile.Checkpoints,
		Declared: profile.Uses, Command: profile.Command(),
	}
}

func uses(processors float64, gibibytes int64, work time.Duration) standin.TaskProfile {
	return standin.TaskProfile{Uses: acaciatally.Resources{Processors: processors, Memory: gibibytes * gibibyte}, Work: work}
}

func (w *world) submit(specs ...task.Spec) {
	w.t.Helper()
	errs := make(chan error, len(specs))
	for _, one := range specs {
		go func() { _, err := w.frontend.Submit(w.ctx, one); errs <- err }()
	}
	for range specs {
		require.NoError(w.t, <-errs)
	}
}

func (w *world) record(id string) task.Record {
	w.t.Helper()
	rows, err := w.table.Read(w.ctx, task.RowKey(pool, id))
	require.NoError(w.t, err)
	require.Len(w.t, rows, 1, "the row of %s is lost", id)
	record, err := task.Decode(rows[0].Value)
	require.NoError(w.t, err)
	return record
}

func (w *world) phases(specs []task.Spec) map[task.Phase]int {
	phases := map[task.Phase]int{}
	for _, one := range specs {
		phases[w.record(one.ID).Phase]++
	}
	return phases
}

// until waits in virtual time until the condition holds.
func (w *world) until(limit time.Duration, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !condition(); {
		require.True(w.t, time.Now().Before(end), "the condition did not come true within %v", limit)
		time.Sleep(100 * time.Millisecond)
	}
}

// untilDone waits until all tasks have run to their end, and returns how long it took.
func (w *world) untilDone(specs []task.Spec, limit time.Duration) time.Duration {
	w.t.Helper()
	began := time.Now()
	for w.phases(specs)[task.Done] < len(specs) {
		require.Less(w.t, time.Since(began), limit, "%v", w.phases(specs))
		time.Sleep(5 * time.Second)
	}
	return time.Since(began)
}

func (w *world) untilPhase(id string, phase task.Phase, limit time.Duration) task.Record {
	w.t.Helper()
	w.until(limit, func() bool { return w.record(id).Phase == phase })
	return w.record(id)
}

// requireSingleEffect fails when two attempts carried out the same part of a task's work.
func (w *world) requireSingleEffect(id string) {
	w.t.Helper()
	var done time.Duration
	for _, trace := range w.tasks.Trace(id) {
		if trace.To > trace.From {
			require.GreaterOrEqual(w.t, trace.From, done, "%s ran twice: %+v", id, w.tasks.Trace(id))
			done = trace.To
		}
	}
}

// testLease is a lease row that a process takes over one term after its last renewal.
type testLease struct {
	table   acaciatally.TableService
	holder  string
	row     leaseRow
	version uint64
	held    bool
	expires time.Time
}

type leaseRow struct {
	Holder  string
	Epoch   uint64
	Expires time.Time
}

const leaseKey = "Lease/Tasks/chamber"

func (l *testLease) Tend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	now := time.Now()
	if l.held && l.expires.Sub(now) > leaseTerm*2/3 {
		return nil
	}
	rows, err := l.table.Read(ctx, leaseKey)
	if err != nil {
		return err
	}
	l.row, l.version = leaseRow{}, 0
	if len(rows) > 0 {
		l.version = rows[0].Version
		if err = json.Unmarshal(rows[0].Value, &l.row); err != nil {
			return err
		}
	}
	if l.row.Holder != l.holder {
		l.held = false
		if now.Before(l.row.Expires) {
			return nil
		}
		l.row.Epoch++
	}
	l.row.Holder, l.row.Expires = l.holder, now.Add(leaseTerm)
	value, err := json.Marshal(l.row)
	if err != nil {
		return err
	}
	l.held = false
	version, err := l.table.Commit(ctx, acaciatally.Transaction{
		Conditions: []acaciatally.Condition{{Key: leaseKey, Version: l.version}}, Writes: []acaciatally.Write{{Key: leaseKey, Value: value}},
	})
	if err != nil {
		return err
	}
	l.version, l.held, l.expires = version, true, l.row.Expires
	return nil
}

func (l *testLease) Hold() (hold task.Hold, held bool) {
	if !l.held || !time.Now().Before(l.expires) {
		return hold, false
	}
	return task.Hold{Epoch: l.row.Epoch, Condition: acaciatally.Condition{Key: leaseKey, Version: l.version}}, true
}
