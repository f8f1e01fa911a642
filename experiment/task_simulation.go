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

// simulatedClock is a clock that the experiment advances.
type simulatedClock struct{ now time.Time }

// Now returns the simulated time.
func (c *simulatedClock) Now() time.Time { return c.now }

// floodSimulation runs the task state machine against simulated workers in simulated time.
type floodSimulation struct {
	clock     *simulatedClock
	start     time.Time
	tasks     *standin.Tasks
	scheduler *task.Scheduler
	workers   []acaciatally.InstanceID
	version   uint64
}

func newFloodSimulation(deployment taskDeployment, baseline task.Baseline) *floodSimulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := &simulatedClock{now: start}
	simulation := &floodSimulation{
		clock: clock,
		start: start,
		tasks: standin.NewTasks(standin.TasksConfig{
			ReportLag: 2 * time.Second, ReportRetention: time.Minute, CheckpointTime: 300 * time.Millisecond, Clock: clock,
		}),
		scheduler: task.NewScheduler(task.SchedulerConfig{Pool: "chamber", Baseline: baseline}, 1),
	}
	var view task.PoolView
	for i := range floodWorkers {
		id := acaciatally.InstanceID(fmt.Sprintf("chamber-%02d", i+1))
		simulation.tasks.AddWorker(id, deployment.worker)
		simulation.workers = append(simulation.workers, id)
		view.Workers = append(view.Workers, task.Worker{ID: id, Capacity: deployment.worker})
	}
	simulation.scheduler.SetFleet(view)
	return simulation
}

func runFlood(ctx context.Context, deployment taskDeployment, baseline task.Baseline, seed uint64) (result floodResult, err error) {
	arrivals := newFloodArrivals(deployment.worker, rand.New(rand.NewPCG(seed, seed)))
	slices.SortStableFunc(arrivals, func(a, b floodTask) int { return cmp.Compare(a.at, b.at) })
	simulation := newFloodSimulation(deployment, baseline)
	pending := arrivals
	for at := time.Duration(0); at < floodDuration; at += floodStep {
		if err = ctx.Err(); err != nil {
			return result, err
		}
		simulation.clock.now = simulation.start.Add(at)
		for len(pending) > 0 && pending[0].at+floodIntakeDelay <= at {
			if err = simulation.accept(pending[0]); err != nil {
				return result, err
			}
			pending = pending[1:]
		}
		simulation.step(ctx, at)
	}
	return simulation.measure(arrivals, deployment), nil
}

func (s *floodSimulation) accept(arrival floodTask) error {
	s.version++
	record := task.Record{Spec: arrival.spec, Phase: task.Waiting, Accepted: s.start.Add(arrival.at)}
	row := acaciatally.Row{Key: task.RowKey("chamber", arrival.spec.ID), Value: record.Encode(), Version: s.version}
	_, err := s.scheduler.Load([]acaciatally.Row{row}, s.clock.now) // its memory is not limited
	return err
}

// step plans once per floodRoundInterval; in each call it saves one batch of records and sends one batch of orders.
func (s *floodSimulation) step(ctx context.Context, at time.Duration) {
	now := s.clock.now
	if at%floodUsageInterval == 0 {
		usage, _ := s.tasks.Usage(ctx, s.workers...)
		s.scheduler.Report(usage, now)
	}
	if at%floodRoundInterval == 0 {
		s.scheduler.Tick(now)
	}
	if saves := s.scheduler.PendingWrites(now, floodSaveLimit); len(saves) > 0 {
		s.version++
		s.scheduler.ApplyWriteResults(saves, s.version, now)
	}
	var results []task.Result
	for _, order := range s.scheduler.Orders(now, floodOrderLimit) {
		results = append(results, task.Result{Order: order, Err: s.send(ctx, order)})
	}
	s.scheduler.ApplyOrderResults(results, now)
}

const (
	floodSaveLimit  = 100
	floodOrderLimit = 64
)

func (s *floodSimulation) send(ctx context.Context, order task.Order) error {
	lease := order.Lease
	switch order.Kind {
	case task.OrderStart:
		return s.tasks.Start(ctx, lease)
	case task.OrderRenew:
		return s.tasks.Renew(ctx, lease.Task, lease.Attempt, lease.Expires)
	case task.OrderThrottle:
		return s.tasks.Throttle(ctx, lease.Task, lease.Attempt, order.Share)
	case task.OrderCheckpoint:
		return s.tasks.Checkpoint(ctx, lease.Task, lease.Attempt)
	case task.OrderStop:
		return s.tasks.Stop(ctx, lease.Task, lease.Attempt)
	}
	return nil
}

// measure computes the result from the workers' traces. Unfinished background work counts as far as it can be resumed.
func (s *floodSimulation) measure(arrivals []floodTask, deployment taskDeployment) (result floodResult) {
	result.available = deployment.worker.Processors * floodWorkers * floodDuration.Seconds()
	for _, arrival := range arrivals {
		traces := s.tasks.Trace(arrival.spec.ID)
		if arrival.spec.Urgency == acaciatally.Urgent {
			result.delays = append(result.delays, s.startDelay(arrival, traces))
		}
		worked, preserved := 0.0, 0.0
		for _, trace := range traces {
			worked += (trace.EndProgress - trace.StartProgress).Seconds()
			preserved = trace.EndProgress.Seconds()
		}
		cores := arrival.profile.Uses.Processors
		result.lost += (worked - preserved) * cores
		if arrival.spec.Urgency == acaciatally.Urgent {
			result.available -= worked * cores
			continue
		}
		result.background += preserved * cores
	}
	return result
}

func (s *floodSimulation) startDelay(arrival floodTask, traces []standin.TaskTrace) time.Duration {
	if len(traces) == 0 {
		return floodDuration - arrival.at
	}
	return traces[0].Started.Sub(s.start.Add(arrival.at))
}
