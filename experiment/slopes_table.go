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
	slopeSeconds    = 60 // of modelled time
	slopeTaskRound  = 250 * time.Millisecond
	slopeClaimSpan  = 2 * time.Second // of real time
	slopeClaimEvery = 20 * time.Millisecond
	slopeTaskLeases = 3 // entries that contend for the tasks of a pool
)

func newCountingTable() *countingTable { return &countingTable{TableService: standin.NewTable()} }

// polls measures the reads of all entries that each poll the log once a second, without changes and with one a second.
func (s *slopes) polls() error {
	for _, entries := range slopeEntries {
		table, clock := newCountingTable(), model.NewClock()
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
				before := table.calls()
				for _, log := range logs {
					if err := log.Poll(s.ctx); err != nil {
						return err
					}
				}
				reads += table.calls().since(before, 1).reads
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

// leases measures the calls of all entries that contend for the control lease, which they tend in each round.
func (s *slopes) leases() error {
	for _, entries := range slopeEntries {
		table, clock := newCountingTable(), model.NewClock()
		leases := contenders(table, clock, control.LeaseName, entries)
		for range slopeSeconds {
			clock.Advance(time.Second)
			for _, lease := range leases {
				if err := lease.Tend(s.ctx); err != nil {
					return err
				}
			}
		}
		s.addCalls("ControlLease", entries, "Entries", table.calls().since(calls{}, slopeSeconds), "s")
	}
	return nil
}

func contenders(table acaciatally.TableService, clock *model.Clock, name string, count int) (leases []*changelog.Lease) {
	for n := range count {
		leases = append(leases, changelog.NewLease(changelog.LeaseConfig{
			Table: table, Clock: clock, Name: name, Holder: fmt.Sprintf("entry-%d/1", n),
		}))
	}
	return leases
}

// heldLease is a contender's part in a lease in the terms of package task.
type heldLease struct{ *changelog.Lease }

// Hold returns the right to write.
func (l heldLease) Hold() (hold task.Hold, held bool) {
	known, held := l.Lease.Hold()
	return task.Hold{Epoch: known.Epoch, Condition: known.Condition}, held
}

// taskRunners measures the calls and the processor time of the task controllers of all pools without tasks.
func (s *slopes) taskRunners() error {
	for _, pools := range slopePools {
		state, err := sizedState(pools * slopePoolWorkers)
		if err != nil {
			return err
		}
		table, clock := newCountingTable(), model.NewClock()
		runners := idleRunners(table, clock, state)
		work := func(int) error {
			clock.Advance(slopeTaskRound)
			for _, runner := range runners {
				runner.Step(s.ctx)
			}
			return s.ctx.Err()
		}
		if _, err = timed(slopeSeconds, work); err != nil { // takes the leases
			return err
		}
		before := table.calls()
		const rounds = slopeSeconds * int(time.Second/slopeTaskRound)
		micros, err := timed(rounds, work)
		if err != nil {
			return err
		}
		s.addCalls("IdleTaskControl", pools, "Pools", table.calls().since(before, slopeSeconds), "s")
		s.add("IdleTaskControlTime", pools, "Pools", micros*float64(rounds)/slopeSeconds/float64(pools), "us/s/pool")
	}
	return nil
}

func idleRunners(table acaciatally.TableService, clock *model.Clock, state *fleet.State) (runners []*task.Runner) {
	leases := standin.NewTasks(standin.TasksConfig{Clock: clock})
	for _, pool := range state.PoolNames() {
		view := task.FleetOf(state, pool)
		for _, lease := range contenders(table, clock, "Tasks/"+string(pool), slopeTaskLeases) {
			runners = append(runners, task.NewRunner(task.RunnerConfig{
				Machine: task.MachineConfig{Pool: pool}, Table: table, Leases: leases, Lease: heldLease{lease}, Clock: clock,
				Fleet: func() task.Fleet { return view },
			}))
		}
	}
	return runners
}

// claims measures the calls of one entry that claims and settles requests at several rates.
func (s *slopes) claims() error {
	for _, rate := range []int{50, 500, 2000} {
		table := newCountingTable()
		ctx, cancel := context.WithCancel(s.ctx)
		runner := claim.NewRunner(claim.RunnerConfig{Table: table, Interval: slopeClaimEvery, Metrics: metrics.NewSet()})
		var running, requests sync.WaitGroup
		running.Go(func() { _ = runner.Run(ctx) })
		began := time.Now()
		count := rate * int(slopeClaimSpan/time.Second)
		for n := range count {
			if !wait(ctx, time.Until(began.Add(time.Duration(n)*time.Second/time.Duration(rate)))) {
				break
			}
			requests.Go(func() { claimOnce(ctx, runner, fmt.Sprintf("%d-%d", rate, n)) })
		}
		requests.Wait()
		span := time.Since(began).Seconds()
		cancel()
		running.Wait()
		if err := s.ctx.Err(); err != nil {
			return err
		}
		total := table.calls()
		s.addCalls("Claims", rate, "Requests", total.since(calls{}, span), "s")
		s.addCalls("ClaimsShare", rate, "Requests", total.since(calls{}, float64(count)), "request")
	}
	return nil
}

func claimOnce(ctx context.Context, runner *claim.Runner, id string) {
	operation := &claim.Operation{ID: id, Row: claim.Row{Holder: "entry-1", Nonce: id, State: claim.Claimed}}
	result, err := runner.Claim(ctx, operation)
	if err != nil || result.Verdict != claim.Won {
		return
	}
	done := operation.Row
	done.State = claim.Done
	runner.Settle(&claim.Operation{ID: id, Row: done, Version: result.Version})
}
