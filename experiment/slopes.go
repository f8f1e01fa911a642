package experiment

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/observation/observationpb"
)

const (
	slopeApplies     = 200
	slopeRecords     = 500 // a tail as long as the interval of snapshots
	slopeCopies      = 4   // states in memory at once, which makes the collector's noise small beside them
	slopeRounds      = 100
	slopePoolWorkers = 41 // 2,500 workers in 61 pools
)

// The sizes at which the slopes are measured; the last ones are the target size, with 60 entries assumed.
var (
	slopeWorkers = []int{100, 800, 2500}
	slopePools   = []int{5, 20, 61}
	slopeEntries = []int{3, 9, 60}
)

// Slopes measures what the parts of the system cost at several sizes.
type Slopes struct{}

// String returns the experiment's name.
func (Slopes) String() string { return "Slopes" }

// Run measures each cost at three sizes; the seed changes only ids and modelled times.
func (Slopes) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	s := &slopes{ctx: ctx, seed: seed}
	for _, measure := range []func() error{
		s.states, s.controls, s.waves, s.observations, s.polls, s.leases, s.taskRunners, s.tasks, s.claims, s.grants, s.groups,
	} {
		if err = ctx.Err(); err != nil {
			return nil, err
		}
		if err = measure(); err != nil {
			return nil, err
		}
	}
	return s.figures, nil
}

// slopes collects the figures of one run.
type slopes struct {
	ctx     context.Context
	seed    uint64
	figures []Figure
}

func (s *slopes) add(measure string, size int, of string, value float64, unit string) {
	s.figures = append(s.figures, Figure{
		Measure: fmt.Sprintf("%s%s%d", measure, of, size), Deployment: "Sized", Policy: policyName, Value: value, Unit: unit, Seed: s.seed,
	})
}

// addCalls adds the reads and writes of a table service.
func (s *slopes) addCalls(measure string, size int, of string, calls calls, per string) {
	s.add(measure+"Reads", size, of, calls.reads, "reads/"+per)
	s.add(measure+"Writes", size, of, calls.writes, "writes/"+per)
}

// timed returns the processor time of one of several repetitions in microseconds.
func timed(count int, work func(n int) error) (micros float64, err error) {
	runtime.GC()
	before := processorTime()
	for n := range count {
		if err = work(n); err != nil {
			return 0, err
		}
	}
	return float64(processorTime()-before) / float64(time.Microsecond) / float64(count), nil
}

func sizedState(workers int) (state *fleet.State, err error) {
	return fleet.New().Apply(fleet.Record{Version: 1, At: time.Unix(1, 0), Changes: model.Sized(workers).Changes()})
}

// failures returns records that take the instances out of service in turn and back into it.
func failures(state *fleet.State) (records []fleet.Record) {
	var ids []fleet.SetPhase
	for _, pool := range state.PoolNames() {
		for _, member := range state.Members(pool) {
			ids = append(ids, fleet.SetPhase{ID: member.ID, Phase: fleet.Failed}, fleet.SetPhase{ID: member.ID, Phase: fleet.Serving})
		}
	}
	for i := range slopeRecords {
		change := ids[i%len(ids)]
		records = append(records, fleet.Record{
			Version: state.Version + uint64(i) + 1, At: time.Unix(int64(i), 0), Changes: []fleet.Change{{SetPhase: &change}},
		})
	}
	return records
}

// states measures the control state: one change, a tail of records, and memory.
func (s *slopes) states() error {
	for _, workers := range slopeWorkers {
		state, err := sizedState(workers)
		if err != nil {
			return err
		}
		records := failures(state)
		apply, err := timed(slopeApplies, func(int) error {
			_, err := state.Apply(records[0])
			return err
		})
		if err != nil {
			return err
		}
		replay, err := timed(10, func(int) error {
			_, err := state.Replay(records...)
			return err
		})
		if err != nil {
			return err
		}
		memory, err := stateMemory(workers)
		if err != nil {
			return err
		}
		s.add("ApplyChange", workers, "Workers", apply, "us")
		s.add("Replay500", workers, "Workers", replay, "us")
		s.add("StateMemory", workers, "Workers", memory, "B")
	}
	return nil
}

func stateMemory(workers int) (bytes float64, err error) {
	before := heap()
	kept := make([]*fleet.State, slopeCopies)
	for i := range kept {
		if kept[i], err = sizedState(workers); err != nil {
			return 0, err
		}
	}
	bytes = (heap() - before) / slopeCopies
	runtime.KeepAlive(kept)
	return bytes, nil
}

// controls measures rounds of the control pipeline on a modelled platform, without work and in a wave.
func (s *slopes) controls() error {
	for _, workers := range slopeWorkers {
		c, err := newControlled(s.ctx, model.Sized(workers), s.seed)
		if err != nil {
			return err
		}
		round := func(int) error { return c.round(s.ctx) }
		if _, err = timed(slopeRounds, round); err != nil { // takes the lease and settles the moves
			return err
		}
		idle, err := timed(slopeRounds, round)
		if err != nil {
			return err
		}
		wave := fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: c.clock.Now()}
		if err = c.commit(s.ctx, "start", fleet.Change{PutWave: &wave}); err != nil {
			return err
		}
		before := c.log.State().Version
		busy, err := timed(slopeRounds, round)
		if err != nil {
			return err
		}
		s.add("IdleRound", workers, "Workers", idle, "us")
		s.add("WaveRound", workers, "Workers", busy, "us")
		s.add("WaveCommits", workers, "Workers", float64(c.log.State().Version-before)/slopeRounds, "commits/round")
	}
	return nil
}

// observations measures the report of an entry that used all workers of all pools in the last second, the largest there is.
func (s *slopes) observations() error {
	for _, pools := range slopePools {
		message := &observationpb.Observation{}
		for p := range pools {
			name := fmt.Sprintf("pool-%02d", p)
			message.Demand = append(message.Demand, &observationpb.PoolDemand{Pool: name, Slots: 1})
		}
		s.add("ReportWithoutAttempts", pools, "Pools", float64(proto.Size(message)), "B/s")
		for w := range pools * slopePoolWorkers {
			message.Reports = append(message.Reports, &observationpb.InstanceReport{
				Instance: fmt.Sprintf("pool-%02d-%02d", w/slopePoolWorkers, w%slopePoolWorkers), Connected: 20, Succeeded: 20,
			})
		}
		s.add("ReportOfAllWorkers", pools, "Pools", float64(proto.Size(message)), "B/s")
	}
	return nil
}
