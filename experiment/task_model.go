package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// modelClock is a clock that the experiment moves.
type modelClock struct{ now time.Time }

// Now returns the modelled time.
func (c *modelClock) Now() time.Time { return c.now }

// floodModel runs the state machine of the tasks against simulated workers in modelled time.
type floodModel struct {
	clock   *modelClock
	start   time.Time
	tasks   *standin.Tasks
	machine *task.Machine
	workers []acaciatally.InstanceID
	version uint64
}

func newFloodModel(deployment taskDeployment, baseline task.Baseline) *floodModel {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := &modelClock{now: start}
	model := &floodModel{
		clock: clock,
		start: start,
		tasks: standin.NewTasks(standin.TasksConfig{
			ReportLag: 2 * time.Second, ReportRetention: time.Minute, CheckpointTime: 300 * time.Millisecond, Clock: clock,
		}),
		machine: task.NewMachine(task.MachineConfig{Pool: "chamber", Baseline: baseline}, 1),
	}
	var view task.Fleet
	for i := range floodWorkers {
		id := acaciatally.InstanceID(fmt.Sprintf("chamber-%02d", i+1))
		model.tasks.AddWorker(id, deployment.worker)
		model.workers = append(model.workers, id)
		view.Workers = append(view.Workers, task.Worker{ID: id, Capacity: deployment.worker})
	}
	model.machine.SetFleet(view)
	return model
}

func runFlood(ctx context.Context, deployment taskDeployment, baseline task.Baseline, seed uint64) (result floodResult, err error) {
	load := floodLoad(deployment.worker, rand.New(rand.NewPCG(seed, seed)))
	slices.SortStableFunc(load, func(a, b floodTask) int { return cmp.Compare(a.at, b.at) })
	model := newFloodModel(deployment, baseline)
	pending := load
	for at := time.Duration(0); at < floodTime; at += floodStep {
		if err = ctx.Err(); err != nil {
			return result, err
		}
		model.clock.now = model.start.Add(at)
		for len(pending) > 0 && pending[0].at+floodIntakeDelay <= at {
			if err = model.accept(pending[0]); err != nil {
				return result, err
			}
			pending = pending[1:]
		}
		model.step(ctx, at)
	}
	return model.measure(load, deployment), nil
}

func (m *floodModel) accept(arrival floodTask) error {
	m.version++
	record := task.Record{Spec: arrival.spec, Phase: task.Waiting, Accepted: m.start.Add(arrival.at)}
	row := acaciatally.Row{Key: task.RowKey("chamber", arrival.spec.ID), Value: record.Encode(), Version: m.version}
	return m.machine.Load([]acaciatally.Row{row}, m.clock.now)
}

// step plans once a round, and carries out one transaction and its orders in each step.
func (m *floodModel) step(ctx context.Context, at time.Duration) {
	now := m.clock.now
	if at%floodUsageEvery == 0 {
		usage, _ := m.tasks.Usage(ctx, m.workers...)
		m.machine.Report(usage, now)
	}
	if at%floodRound == 0 {
		m.machine.Tick(now)
	}
	if saves := m.machine.Saves(now, floodSaves); len(saves) > 0 {
		m.version++
		m.machine.Saved(saves, m.version, now)
	}
	var results []task.Result
	for _, order := range m.machine.Orders(now, floodOrders) {
		results = append(results, task.Result{Order: order, Err: m.send(ctx, order)})
	}
	m.machine.Ordered(results, now)
}

const (
	floodSaves  = 100
	floodOrders = 64
)

func (m *floodModel) send(ctx context.Context, order task.Order) error {
	lease := order.Lease
	switch order.Kind {
	case task.OrderStart:
		return m.tasks.Start(ctx, lease)
	case task.OrderRenew:
		return m.tasks.Renew(ctx, lease.Task, lease.Attempt, lease.Expires)
	case task.OrderThrottle:
		return m.tasks.Throttle(ctx, lease.Task, lease.Attempt, order.Share)
	case task.OrderCheckpoint:
		return m.tasks.Checkpoint(ctx, lease.Task, lease.Attempt)
	case task.OrderStop:
		return m.tasks.Stop(ctx, lease.Task, lease.Attempt)
	}
	return nil
}

// measure reads from the workers what was done; unfinished background work counts as far as it can be resumed.
func (m *floodModel) measure(load []floodTask, deployment taskDeployment) (result floodResult) {
	result.available = deployment.worker.Processors * floodWorkers * floodTime.Seconds()
	for _, one := range load {
		traces := m.tasks.Trace(one.spec.ID)
		if one.spec.Urgency == acaciatally.Urgent {
			result.delays = append(result.delays, m.startDelay(one, traces))
		}
		worked, kept := 0.0, 0.0
		for _, trace := range traces {
			worked += (trace.To - trace.From).Seconds()
			kept = trace.To.Seconds()
		}
		cores := one.profile.Uses.Processors
		result.lost += (worked - kept) * cores
		if one.spec.Urgency == acaciatally.Urgent {
			result.available -= worked * cores
			continue
		}
		result.background += kept * cores
	}
	return result
}

func (m *floodModel) startDelay(one floodTask, traces []standin.TaskTrace) time.Duration {
	if len(traces) == 0 {
		return floodTime - one.at
	}
	return traces[0].Started.Sub(m.start.Add(one.at))
}
