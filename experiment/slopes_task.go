package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

const (
	slopeTaskDuration = 20 * time.Second
	slopeTaskLimit    = 10 * time.Minute // of simulated time
)

// measureTasks measures the table calls for tasks that are submitted and run to completion in one pool, without the calls of an idle
// controller.
func (s *slopesRun) measureTasks() error {
	for _, count := range []int{50, 200, 800} {
		table, clock := newCountingTable(), model.NewManualClock()
		leases := standin.NewTasks(standin.TasksConfig{Clock: clock})
		state, err := sizedState(2 * slopePoolWorkers)
		if err != nil {
			return err
		}
		pool := state.PoolNames()[1]
		view := task.NewPoolView(state, pool)
		for _, worker := range view.Workers {
			leases.AddWorker(worker.ID, worker.Capacity)
		}
		if err = submitAll(s.ctx, task.NewFrontend(task.FrontendConfig{Table: table, Leases: leases, Clock: clock}), pool, count); err != nil {
			return err
		}
		s.addCalls("TaskIntake", count, "Tasks", table.counts().perUnitSince(callCounts{}, float64(count)), "task")
		runner := task.NewRunner(task.RunnerConfig{
			Scheduler: task.SchedulerConfig{Pool: pool}, Table: table, Leases: leases, Clock: clock,
			Lease: taskLease{newLeaseCandidates(table, clock, "Tasks/"+string(pool), 1)[0]}, PoolView: func() task.PoolView { return view },
		})
		before := table.counts()
		if err = runTasks(s.ctx, runner, table, clock); err != nil {
			return err
		}
		total := table.counts()
		s.addCalls("TaskControl", count, "Tasks", total.perUnitSince(before, float64(count)), "task")
		s.add("TaskRowsWritten", count, "Tasks", total.rows/float64(count), "rows/task")
	}
	return nil
}

func submitAll(ctx context.Context, frontend *task.Frontend, pool acaciatally.PoolName, count int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- frontend.Run(ctx) }()
	profile := standin.TaskProfile{Uses: acaciatally.Resources{Processors: 2, Memory: gibibyte}, Work: slopeTaskDuration}
	var calls errgroup.Group
	for n := range count {
		calls.Go(func() error {
			_, err := frontend.Submit(ctx, task.Spec{
				ID: fmt.Sprintf("task-%d", n), Team: acaciatally.TeamName(fmt.Sprintf("team-%d", n%urgentTeams)), Pool: pool, Kind: "reduce",
				Urgency: acaciatally.Normal, Idempotent: true, Declared: profile.Uses, Command: profile.Command(),
			})
			return err
		})
	}
	err := calls.Wait()
	cancel()
	return errors.Join(err, <-runErr)
}

// runTasks runs controller steps until all tasks are done.
func runTasks(ctx context.Context, runner *task.Runner, table *countingTable, clock *model.ManualClock) error {
	for end := clock.Now().Add(slopeTaskLimit); clock.Now().Before(end); clock.Advance(slopeTaskInterval) {
		runner.Step(ctx)
		rows, err := table.TableService.Scan(ctx, task.RowPrefix, "", maxSlopeTasks)
		if err != nil {
			return err
		}
		done := 0
		for _, row := range rows {
			record, err := task.Decode(row.Value)
			if err != nil {
				return err
			}
			if record.Phase == task.Done {
				done++
			}
		}
		if done == len(rows) {
			return nil
		}
	}
	return errors.Join(errors.New("tasks did not finish within the limit"), ctx.Err())
}

const maxSlopeTasks = 2000
