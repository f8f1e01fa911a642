package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/claim"
	"github.com/acaciatally/acaciatally/control"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

const (
	slopeSeconds         = 60 // of simulated time
	slopeTaskInterval    = 250 * time.Millisecond
	slopeClaimTime       = 2 * time.Second // of wall-clock time
	slopeClaimInterval   = 20 * time.Millisecond
	slopeLeaseCandidates = 3 // candidates for the lease of a pool's task controller
)

func newCountingTable() *countingTable { return &countingTable{TableService: standin.NewTable()} }

// measurePolls measures the table reads of entries that poll the log once per second, without changes and with one change per second.
func (s *slopesRun) measurePolls() error {
	for _, entries := range slopeEntries {
		table, clock := newCountingTable(), model.NewManualClock()
		writer := changelog.New(changelog.Config{Table: table, Clock: clock})
		logs := make([]*changelog.Log, entries)
		for i := range logs {
			logs[i] = changelog.New(changelog.Config{Table: table, Clock: clock})
		}
		for _, changes := range []bool{false, true} {
			reads := 0.0
			for n := range slopeSeconds {
				clock.Advance(time.Second)
				if changes {
					if err := commitPool(s.ctx, writer, n); err != nil {
						return err
					}
				}
				before := table.counts()
				for _, log := range logs {
					if err := log.Poll(s.ctx); err != nil {
						return err
					}
				}
				reads += table.counts().perUnitSince(before, 1).reads
			}
			s.add(map[bool]string{false: "PollReads", true: "PollReadsOneChange"}[changes], entries, "Entries", reads/slopeSeconds, "reads/s")
		}
	}
	return nil
}

func commitPool(ctx context.Context, log *changelog.Log, n int) error {
	_, err := log.Commit(ctx, changelog.Proposal{
		CommandID: fmt.Sprintf("put-%d", n), By: "operator", Decide: func(*fleet.State) ([]fleet.Change, error) {
			return []fleet.Change{{PutPool: &fleet.Pool{Name: "coating", MaxUnavailable: n}}}, nil
		},
	})
	return err
}

// measureLeases measures the table calls of entries that compete for the control lease and renew it once per second.
func (s *slopesRun) measureLeases() error {
	for _, entries := range slopeEntries {
		table, clock := newCountingTable(), model.NewManualClock()
		leases := newLeaseCandidates(table, clock, control.LeaseName, entries)
		for range slopeSeconds {
			clock.Advance(time.Second)
			for _, lease := range leases {
				if err := lease.AcquireOrRenew(s.ctx); err != nil {
					return err
				}
			}
		}
		s.addCalls("ControlLease", entries, "Entries", table.counts().perUnitSince(callCounts{}, slopeSeconds), "s")
	}
	return nil
}

func newLeaseCandidates(table acaciatally.TableService, clock *model.ManualClock, name string, count int) (leases []*changelog.Lease) {
	for n := range count {
		leases = append(leases, changelog.NewLease(changelog.LeaseConfig{
			Table: table, Clock: clock, Name: name, Holder: fmt.Sprintf("entry-%d/1", n),
		}))
	}
	return leases
}

// taskLease adapts a lease to the interface of package task.
type taskLease struct{ *changelog.Lease }

// Held returns the epoch and the condition that the holder's writes require, or false if the lease is not held.
func (l taskLease) Held() (heldLease task.HeldLease, held bool) {
	known, held := l.Lease.Held()
	return task.HeldLease{Epoch: known.Epoch, Condition: known.Condition}, held
}

// measureIdleTaskControl measures the table calls and the CPU time of the task controllers of all pools while there are no tasks.
func (s *slopesRun) measureIdleTaskControl() error {
	for _, pools := range slopePools {
		state, err := sizedState(pools * slopePoolWorkers)
		if err != nil {
			return err
		}
		table, clock := newCountingTable(), model.NewManualClock()
		runners := idleRunners(table, clock, state)
		work := func(int) error {
			clock.Advance(slopeTaskInterval)
			for _, runner := range runners {
				runner.Step(s.ctx)
			}
			return s.ctx.Err()
		}
		if _, err = cpuTimePerRun(slopeSeconds, work); err != nil { // warm-up: acquires the leases
			return err
		}
		before := table.counts()
		const rounds = slopeSeconds * int(time.Second/slopeTaskInterval)
		micros, err := cpuTimePerRun(rounds, work)
		if err != nil {
			return err
		}
		s.addCalls("IdleTaskControl", pools, "Pools", table.counts().perUnitSince(before, slopeSeconds), "s")
		s.add("IdleTaskControlTime", pools, "Pools", micros*float64(rounds)/slopeSeconds/float64(pools), "us/s/pool")
	}
	return nil
}

func idleRunners(table acaciatally.TableService, clock *model.ManualClock, state *fleet.State) (runners []*task.Runner) {
	leases := standin.NewTasks(standin.TasksConfig{Clock: clock})
	for _, pool := range state.PoolNames() {
		view := task.NewPoolView(state, pool)
		for _, lease := range newLeaseCandidates(table, clock, "Tasks/"+string(pool), slopeLeaseCandidates) {
			runners = append(runners, task.NewRunner(task.RunnerConfig{
				Scheduler: task.SchedulerConfig{Pool: pool}, Table: table, Leases: leases, Lease: taskLease{lease}, Clock: clock,
				PoolView: func() task.PoolView { return view },
			}))
		}
	}
	return runners
}

// measureClaims measures the table calls of one entry that claims and settles requests at several rates.
func (s *slopesRun) measureClaims() error {
	for _, rate := range []int{50, 500, 2000} {
		table := newCountingTable()
		ctx, cancel := context.WithCancel(s.ctx)
		runner := claim.NewRunner(claim.RunnerConfig{Table: table, Interval: slopeClaimInterval, Metrics: metrics.NewSet()})
		var running, requests sync.WaitGroup
		running.Go(func() { _ = runner.Run(ctx) })
		start := time.Now()
		count := rate * int(slopeClaimTime/time.Second)
		for n := range count {
			if !acaciatally.Sleep(ctx, time.Until(start.Add(time.Duration(n)*time.Second/time.Duration(rate)))) {
				break
			}
			requests.Go(func() { claimOnce(ctx, runner, fmt.Sprintf("%d-%d", rate, n)) })
		}
		requests.Wait()
		duration := time.Since(start).Seconds()
		cancel()
		running.Wait()
		if err := s.ctx.Err(); err != nil {
			return err
		}
		total := table.counts()
		s.addCalls("Claims", rate, "Requests", total.perUnitSince(callCounts{}, duration), "s")
		s.addCalls("ClaimsShare", rate, "Requests", total.perUnitSince(callCounts{}, float64(count)), "request")
	}
	return nil
}

func claimOnce(ctx context.Context, runner *claim.Runner, id string) {
	operation := &claim.Operation{ID: id, Row: claim.Row{Holder: "entry-1", Nonce: id, State: claim.Claimed}}
	result, err := runner.Claim(ctx, operation)
	if err != nil || result.Status != claim.Won {
		return
	}
	done := operation.Row
	done.State = claim.Done
	runner.Settle(&claim.Operation{ID: id, Row: done, Version: result.Version})
}
