package entry

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/membership"
	"github.com/acaciatally/acaciatally/task"
)

const (
	// taskCandidates is the number of entries that contend for the lease on a pool's tasks. If all entries did, reading 61 leases
	// would use up the capacity of the table service.
	taskCandidates = 3
	// poolCheckInterval is the time between two checks for new and removed pools and changed candidates.
	poolCheckInterval = time.Second
	// taskPageSize is the number of rows in one scan of the table, maxTaskRows the limit of one operator's query.
	taskPageSize = 50
	maxTaskRows  = 5000
)

// taskControl runs a task.Runner for each pool for which this entry is a candidate, and holds the frontend for callers' tasks.
type taskControl struct {
	process  *Process
	frontend *task.Frontend
}

func newTaskControl(p *Process) *taskControl {
	if p.config.Tasks == nil {
		return nil
	}
	return &taskControl{process: p, frontend: task.NewFrontend(task.FrontendConfig{
		Table: p.config.Table, Leases: p.config.Tasks, Clock: p.config.Clock,
	})}
}

// run starts and stops the runners of pools as pools are added and removed and the candidates change.
func (t *taskControl) run(ctx context.Context) error {
	running := map[acaciatally.PoolName]context.CancelFunc{}
	var runners sync.WaitGroup
	defer runners.Wait()
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for {
		state := t.process.log.State()
		for pool := range state.Pools {
			if running[pool] != nil || !t.isCandidate(pool) {
				continue
			}
			runnerCtx, cancel := context.WithCancel(ctx)
			running[pool] = cancel
			runner := t.newRunner(pool)
			runners.Go(func() { _ = runner.Run(runnerCtx) })
		}
		for pool, cancel := range running {
			if _, found := state.Pools[pool]; !found || !t.isCandidate(pool) {
				cancel()
				delete(running, pool)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *taskControl) isCandidate(pool acaciatally.PoolName) bool {
	ids := []acaciatally.EntryID{t.process.config.Entry.ID}
	for _, peer := range t.process.peers.membership.Live() {
		ids = append(ids, peer.ID)
	}
	for _, id := range membership.Rendezvous("tasks/"+string(pool), ids, taskCandidates) {
		if id == t.process.config.Entry.ID {
			return true
		}
	}
	return false
}

func (t *taskControl) newRunner(pool acaciatally.PoolName) *task.Runner {
	p := t.process
	limits := p.config.Settings.Control
	lease := changelog.NewLease(changelog.LeaseConfig{
		Table: p.config.Table, Clock: p.config.Clock, Name: "Tasks/" + string(pool), Term: limits.LeaseTerm, Renewal: limits.LeaseRenewal,
		Holder: string(p.config.Entry.ID) + holderSeparator + p.peers.self.Incarnation,
	})
	view := &poolViewCache{log: p.log, pool: pool}
	return task.NewRunner(task.RunnerConfig{
		Scheduler: task.SchedulerConfig{Pool: pool, MaxBytes: task.DefaultMaxBytes(int64(p.config.Entry.Memory), len(p.log.State().Pools))},
		Table:     p.config.Table, Leases: p.config.Tasks, Lease: runnerLease{lease},
		Clock: p.config.Clock, PoolView: view.get, Fresh: p.peers.membership.MayChange, Quarantine: t.quarantine, Metrics: p.metrics,
	})
}

// quarantine commits the phase Quarantined for a serving worker. The command id contains the worker's version, so that a
// repeated call changes nothing.
func (t *taskControl) quarantine(ctx context.Context, worker acaciatally.InstanceID, reason string) error {
	instance, found := t.process.log.State().Instances[worker]
	if !found || instance.Phase != fleet.Serving {
		return nil
	}
	_, err := t.process.log.Commit(ctx, changelog.Proposal{
		CommandID: "quarantine-" + string(worker) + "-" + strconv.FormatUint(instance.Version, 10),
		By:        string(t.process.config.Entry.ID), Reason: reason,
		Decide: func(state *fleet.State) ([]fleet.Change, error) {
			if state.Instances[worker].Phase != fleet.Serving {
				return nil, nil
			}
			return []fleet.Change{{SetPhase: &fleet.SetPhase{ID: worker, Phase: fleet.Quarantined, Cause: fleet.CauseFailure}}}, nil
		},
	})
	return err
}

// runnerLease adapts a changelog.Lease to task.Lease.
type runnerLease struct{ *changelog.Lease }

// Held returns the epoch and the commit condition of the lease while it is held.
func (l runnerLease) Held() (lease task.HeldLease, held bool) {
	heldLease, held := l.Lease.Held()
	return task.HeldLease{Epoch: heldLease.Epoch, Condition: heldLease.Condition}, held
}

// poolViewCache caches a pool's view for each version of the state, since a runner reads it four times a second.
type poolViewCache struct {
	log   *changelog.Log
	pool  acaciatally.PoolName
	state *fleet.State
	view  task.PoolView
}

func (v *poolViewCache) get() task.PoolView {
	if state := v.log.State(); state != v.state {
		v.state, v.view = state, task.NewPoolView(state, v.pool)
	}
	return v.view
}

// operatorTasks lists and cancels the tasks of all teams for operators.
type operatorTasks struct{ control *taskControl }

// List returns all tasks ordered by pool and id; it stops reading once it has maxTaskRows.
func (o operatorTasks) List(ctx context.Context) (tasks []command.Task, err error) {
	after := ""
	for len(tasks) < maxTaskRows {
		rows, err := o.control.process.config.Table.Scan(ctx, task.RowPrefix, after, taskPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record, err := task.Decode(row.Value)
			if err != nil {
				return nil, err
			}
			tasks = append(tasks, newCommandTask(record))
		}
		if len(rows) < taskPageSize {
			return tasks, nil
		}
		after = rows[len(rows)-1].Key
	}
	return tasks, nil
}

func newCommandTask(record task.Record) command.Task {
	view := command.Task{
		ID: record.Spec.ID, Team: record.Spec.Team, Pool: record.Spec.Pool, Urgency: record.Spec.Urgency,
		Phase: string(record.Phase), Worker: record.Worker, Attempts: record.Attempt, Reason: record.Reason,
	}
	for i := len(record.Decisions) - 1; i >= 0; i-- {
		decision := record.Decisions[i]
		view.History = append(view.History, fmt.Sprintf("%s %s %s: %s",
			decision.At.Format(time.RFC3339), decision.Phase, decision.Worker, decision.Reason))
	}
	return view
}

// Cancel cancels the tasks with the ids, whatever their team; it stops at the first error.
func (o operatorTasks) Cancel(ctx context.Context, _ string, ids ...string) (err error) {
	tasks, err := o.List(ctx)
	if err != nil {
		return err
	}
	teams := map[string]acaciatally.TeamName{}
	for _, known := range tasks {
		teams[known.ID] = known.Team
	}
	for _, id := range ids {
		if _, err = o.control.frontend.Cancel(ctx, teams[id], id); err != nil {
			return err
		}
	}
	return nil
}
