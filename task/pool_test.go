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
	poolName  = acaciatally.PoolName("chamber")
)

// testPool is a pool of simulated workers with a frontend and any number of controllers.
type testPool struct {
	t                 *testing.T
	ctx               context.Context
	table             *standin.Table
	tasks             *standin.Tasks
	faults            *standin.Faults // injects faults between the system and the platform
	poolView          *task.PoolView
	frontend          *task.Frontend
	mu                sync.Mutex    // guards poolView
	interval          time.Duration // between the controllers' rounds; 0 is the default
	maxBytes          int64         // memory of the controllers started from now on; 0 is unlimited
	fresh             func() bool
	quarantineReasons map[acaciatally.InstanceID]string
}

var workerSize = acaciatally.Resources{Processors: 64, Memory: 256 * gibibyte}

func newTestPool(t *testing.T, workers int) *testPool {
	t.Helper()
	p := &testPool{
		t: t, table: standin.NewTable(), poolView: &task.PoolView{}, quarantineReasons: map[acaciatally.InstanceID]string{},
		tasks: standin.NewTasks(standin.TasksConfig{ReportLag: 2 * time.Second, CheckpointTime: 300 * time.Millisecond}),
	}
	p.faults = standin.NewFaults(standin.FaultsConfig{Table: p.table, Leases: p.tasks, Seed: 1})
	for i := range workers {
		p.addWorker(acaciatally.InstanceID(fmt.Sprintf("chamber-%d", i+1)), workerSize)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	p.ctx = ctx
	p.frontend = task.NewFrontend(task.FrontendConfig{Table: p.faults, Leases: p.faults})
	go func() { _ = p.frontend.Run(ctx) }()
	return p
}

func (p *testPool) view() task.PoolView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return task.PoolView{Workers: slices.Clone(p.poolView.Workers), OtherPoolCapacities: p.poolView.OtherPoolCapacities, Quotas: p.poolView.Quotas}
}

func (p *testPool) setState(id acaciatally.InstanceID, state task.WorkerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.poolView.Workers {
		if p.poolView.Workers[i].ID == id {
			p.poolView.Workers[i].State = state
		}
	}
}

func (p *testPool) removeWorker(id acaciatally.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolView.Workers = slices.DeleteFunc(p.poolView.Workers, func(worker task.Worker) bool { return worker.ID == id })
}

func (p *testPool) addWorker(id acaciatally.InstanceID, size acaciatally.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks.AddWorker(id, size)
	p.poolView.Workers = append(p.poolView.Workers, task.Worker{ID: id, Capacity: size})
}

// startController starts a controller that runs until the returned function is called.
func (p *testPool) startController(holder string) (stop func()) {
	ctx, cancel := context.WithCancel(p.ctx)
	runner := p.newRunner(holder, p.faults, p.faults)
	ended := make(chan struct{})
	go func() { _ = runner.Run(ctx); close(ended) }()
	return func() { cancel(); <-ended }
}

func (p *testPool) newRunner(holder string, table acaciatally.TableService, leases acaciatally.TaskLeases) *task.Runner {
	return task.NewRunner(task.RunnerConfig{
		Scheduler: task.SchedulerConfig{Pool: poolName, MaxBytes: p.maxBytes}, Table: table, Leases: leases,
		Lease:    &testLease{table: table, holder: holder},
		PoolView: p.view, Interval: p.interval, Fresh: p.fresh,
		Quarantine: func(_ context.Context, worker acaciatally.InstanceID, reason string) error {
			p.quarantineReasons[worker] = reason
			return nil
		},
	})
}

func spec(id string, profile standin.TaskProfile) task.Spec {
	return task.Spec{
		ID: id, Team: "survey", Pool: poolName, Kind: "reduce", Urgency: acaciatally.Normal, Idempotent: true, Checkpoints: profile.Checkpoints,
		Declared: profile.Uses, Command: profile.Command(),
	}
}

func uses(processors float64, gibibytes int64, work time.Duration) standin.TaskProfile {
	return standin.TaskProfile{Uses: acaciatally.Resources{Processors: processors, Memory: gibibytes * gibibyte}, Work: work}
}

func (p *testPool) submit(specs ...task.Spec) {
	p.t.Helper()
	errs := make(chan error, len(specs))
	for _, taskSpec := range specs {
		go func() { _, err := p.frontend.Submit(p.ctx, taskSpec); errs <- err }()
	}
	for range specs {
		require.NoError(p.t, <-errs)
	}
}

func (p *testPool) record(id string) task.Record {
	p.t.Helper()
	rows, err := p.table.Read(p.ctx, task.RowKey(poolName, id))
	require.NoError(p.t, err)
	require.Len(p.t, rows, 1, "row of %s is missing", id)
	record, err := task.Decode(rows[0].Value)
	require.NoError(p.t, err)
	return record
}

func (p *testPool) phases(specs []task.Spec) map[task.Phase]int {
	phases := map[task.Phase]int{}
	for _, taskSpec := range specs {
		phases[p.record(taskSpec.ID).Phase]++
	}
	return phases
}

// waitFor waits in virtual time until the condition holds.
func (p *testPool) waitFor(limit time.Duration, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(limit); !condition(); {
		require.True(p.t, time.Now().Before(end), "condition not met within %v", limit)
		time.Sleep(100 * time.Millisecond)
	}
}

// waitForDone waits until all tasks have run to completion, and returns how long it took.
func (p *testPool) waitForDone(specs []task.Spec, limit time.Duration) time.Duration {
	p.t.Helper()
	began := time.Now()
	for p.phases(specs)[task.Done] < len(specs) {
		require.Less(p.t, time.Since(began), limit, "%v", p.phases(specs))
		time.Sleep(5 * time.Second)
	}
	return time.Since(began)
}

func (p *testPool) waitForPhase(id string, phase task.Phase, limit time.Duration) task.Record {
	p.t.Helper()
	p.waitFor(limit, func() bool { return p.record(id).Phase == phase })
	return p.record(id)
}

// requireNoRepeatedWork fails when two attempts carried out the same part of a task's work.
func (p *testPool) requireNoRepeatedWork(id string) {
	p.t.Helper()
	var completed time.Duration
	for _, trace := range p.tasks.Trace(id) {
		if trace.EndProgress > trace.StartProgress {
			require.GreaterOrEqual(p.t, trace.StartProgress, completed, "work of %s was repeated: %+v", id, p.tasks.Trace(id))
			completed = trace.EndProgress
		}
	}
}

// testLease is a simplified lease: another process takes it over one term after its last renewal.
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

func (l *testLease) AcquireOrRenew(ctx context.Context) error {
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

func (l *testLease) Held() (heldLease task.HeldLease, held bool) {
	if !l.held || !time.Now().Before(l.expires) {
		return heldLease, false
	}
	return task.HeldLease{Epoch: l.row.Epoch, Condition: acaciatally.Condition{Key: leaseKey, Version: l.version}}, true
}

// submitMixedTasks submits tasks with and without checkpoints, both idempotent and not, for a controller to place, vacate, resume and end.
func submitMixedTasks(p *testPool) (specs []task.Spec) {
	resumes := uses(4, 8, 2*time.Minute)
	resumes.Checkpoints = true
	for i, idempotent := range []bool{true, false} {
		plain := spec(fmt.Sprintf("plain-%d", i), uses(2, 4, 90*time.Second))
		long := spec(fmt.Sprintf("long-%d", i), resumes)
		plain.Idempotent, long.Idempotent = idempotent, idempotent
		specs = append(specs, plain, long)
	}
	p.submit(specs...)
	return specs
}
