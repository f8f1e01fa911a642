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
	// taskCandidates is the number of entries that contend for the tasks of a pool; with all of them, the reads of 61 leases would
	// use up the table service.
	taskCandidates = 3
	// poolsInterval is the time between two looks for new and removed pools.
	poolsInterval = time.Second
	// taskPage and maxTaskRows bound the rows of one page and of one operator's query.
	taskPage    = 500
	maxTaskRows = 5000
)

// taskControl runs the tasks of the pools for which this entry is a candidate.
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

// run starts and ends the pools' runners as pools come and go and candidates change.
func (t *taskControl) run(ctx context.Context) error {
	running := map[acaciatally.PoolName]context.CancelFunc{}
	var runners sync.WaitGroup
	defer runners.Wait()
	ticker := time.NewTicker(poolsInterval)
	defer ticker.Stop()
	for {
		state := t.process.log.State()
		for pool := range state.Pools {
			if running[pool] != nil || !t.candidate(pool) {
				continue
			}
			runContext, cancel := context.WithCancel(ctx)
			running[pool] = cancel
			runner := t.runner(pool)
			runners.Go(func() { _ = runner.Run(runContext) })
		}
		for pool, cancel := range running {
			if _, found := state.Pools[pool]; !found || !t.candidate(pool) {
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

func (t *taskControl) candidate(pool acaciatally.PoolName) bool {
	ids := []acaciatally.EntryID{t.process.config.Entry.ID}
	for _, peer := range t.process.peers.keeper.Live() {
		ids = append(ids, peer.ID)
	}
	for _, id := range membership.Rendezvous("tasks/"+string(pool), ids, taskCandidates) {
		if id == t.process.config.Entry.ID {
			return true
		}
	}
	return false
}

func (t *taskControl) runner(pool acaciatally.PoolName) *task.Runner {
	p := t.process
	limits := p.config.Settings.Control
	lease := changelog.NewLease(changelog.LeaseConfig{
		Table: p.config.Table, Clock: p.config.Clock, Name: "Tasks/" + string(pool), Term: limits.LeaseTerm, Renewal: limits.LeaseRenewal,
		Holder: string(p.config.Entry.ID) + holderSeparator + p.peers.self.Incarnation,
	})
	view := &poolView{log: p.log, pool: pool}
	return task.NewRunner(task.RunnerConfig{
		Machine: task.MachineConfig{Pool: pool}, Table: p.config.Table, Leases: p.config.Tasks, Lease: taskLease{lease},
		Clock: p.config.Clock, Fleet: view.get, Fresh: p.peers.keeper.Fresh, Quarantine: t.quarantine, Metrics: p.metrics,
	})
}

// quarantine takes a worker out of service; the id of the command makes a repetition change nothing.
func (t *taskControl) quarantine(ctx context.Context, worker acaciatally.InstanceID, reason string) error {
	known, found := t.process.log.State().Instances[worker]
	if !found || known.Phase != fleet.Serving {
		return nil
	}
	_, err := t.process.log.Commit(ctx, changelog.Proposal{
		CommandID: "quarantine-" + string(worker) + "-" + strconv.FormatUint(known.Version, 10),
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

// taskLease gives the runner the lease in its own terms.
type taskLease struct{ *changelog.Lease }

// Hold returns the right to write.
func (l taskLease) Hold() (hold task.Hold, held bool) {
	known, held := l.Lease.Hold()
	return task.Hold{Epoch: known.Epoch, Condition: known.Condition}, held
}

// poolView computes a pool's view once for each version of the state, since a runner asks four times a second.
type poolView struct {
	log   *changelog.Log
	pool  acaciatally.PoolName
	state *fleet.State
	view  task.Fleet
}

func (v *poolView) get() task.Fleet {
	if state := v.log.State(); state != v.state {
		v.state, v.view = state, task.FleetOf(state, v.pool)
	}
	return v.view
}

// taskBook lists and cancels tasks for operators.
type taskBook struct{ control *taskControl }

// List returns all tasks in order of pool and id, up to maxTaskRows.
func (b taskBook) List(ctx context.Context) (tasks []command.Task, err error) {
	after := ""
	for len(tasks) < maxTaskRows {
		rows, err := b.control.process.config.Table.Scan(ctx, task.RowPrefix, after, taskPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record, err := task.Decode(row.Value)
			if err != nil {
				return nil, err
			}
			tasks = append(tasks, viewOfTask(record))
		}
		if len(rows) < taskPage {
			return tasks, nil
		}
		after = rows[len(rows)-1].Key
	}
	return tasks, nil
}

func viewOfTask(record task.Record) command.Task {
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

// Cancel cancels tasks of any team.
func (b taskBook) Cancel(ctx context.Context, _ string, ids ...string) (err error) {
	tasks, err := b.List(ctx)
	if err != nil {
		return err
	}
	teams := map[string]acaciatally.TeamName{}
	for _, known := range tasks {
		teams[known.ID] = known.Team
	}
	for _, id := range ids {
		if _, err = b.control.frontend.Cancel(ctx, teams[id], id); err != nil {
			return err
		}
	}
	return nil
}
