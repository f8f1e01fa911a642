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
	slopeApplyRuns     = 200
	slopeRecords       = 500 // the number of records between two snapshots of the log
	slopeStateCopies   = 4   // states in memory at once; several, so that they outweigh variations from garbage collection
	slopeControlRounds = 100
	slopePoolWorkers   = 41 // 2,500 workers in 61 pools
)

// The sizes at which costs are measured. The last ones are the target size, for which 60 entries are assumed.
var (
	slopeWorkers = []int{100, 800, 2500}
	slopePools   = []int{5, 20, 61}
	slopeEntries = []int{3, 9, 60}
)

// Slopes measures how the cost of each part of the system grows with the size of the deployment.
type Slopes struct{}

// String returns the experiment's name.
func (Slopes) String() string { return "Slopes" }

// Run measures each cost at three sizes; the seed changes only ids and simulated durations.
func (Slopes) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	s := &slopesRun{ctx: ctx, seed: seed}
	for _, measure := range []func() error{
		s.measureState, s.measureControlRounds, s.measureWaves, s.measureReports, s.measurePolls, s.measureLeases,
		s.measureIdleTaskControl, s.measureTasks, s.measureClaims, s.measureGrantTimes, s.measureIdleEntries,
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

// slopesRun collects the figures of one run.
type slopesRun struct {
	ctx     context.Context
	seed    uint64
	figures []Figure
}

func (s *slopesRun) add(measure string, size int, dimension string, value float64, unit string) {
	s.figures = append(s.figures, Figure{
		Measure: fmt.Sprintf("%s%s%d", measure, dimension, size), Deployment: "Sized", Policy: policyName, Value: value, Unit: unit, Seed: s.seed,
	})
}

// addCalls adds one figure for the reads and one for the writes of a table service.
func (s *slopesRun) addCalls(measure string, size int, dimension string, counts callCounts, unit string) {
	s.add(measure+"Reads", size, dimension, counts.reads, "reads/"+unit)
	s.add(measure+"Writes", size, dimension, counts.writes, "writes/"+unit)
}

// cpuTimePerRun calls work count times and returns the mean CPU time of a call in microseconds.
func cpuTimePerRun(count int, work func(n int) error) (micros float64, err error) {
	runtime.GC()
	before := cpuTime()
	for n := range count {
		if err = work(n); err != nil {
			return 0, err
		}
	}
	return float64(cpuTime()-before) / float64(time.Microsecond) / float64(count), nil
}

func sizedState(workers int) (state *fleet.State, err error) {
	return fleet.New().Apply(fleet.Record{Version: 1, At: time.Unix(1, 0), Changes: model.NewSizedDeployment(workers).FleetChanges()})
}

// failureRecords returns records that mark the instances as failed and as serving again, one after another.
func failureRecords(state *fleet.State) (records []fleet.Record) {
	var changes []fleet.SetPhase
	for _, pool := range state.PoolNames() {
		for _, member := range state.Members(pool) {
			changes = append(changes, fleet.SetPhase{ID: member.ID, Phase: fleet.Failed}, fleet.SetPhase{ID: member.ID, Phase: fleet.Serving})
		}
	}
	for i := range slopeRecords {
		change := changes[i%len(changes)]
		records = append(records, fleet.Record{
			Version: state.Version + uint64(i) + 1, At: time.Unix(int64(i), 0), Changes: []fleet.Change{{SetPhase: &change}},
		})
	}
	return records
}

// measureState measures the CPU time of applying one change and of replaying a tail of the log, and the memory of the state.
func (s *slopesRun) measureState() error {
	for _, workers := range slopeWorkers {
		state, err := sizedState(workers)
		if err != nil {
			return err
		}
		records := failureRecords(state)
		apply, err := cpuTimePerRun(slopeApplyRuns, func(int) error {
			_, err := state.Apply(records[0])
			return err
		})
		if err != nil {
			return err
		}
		replay, err := cpuTimePerRun(10, func(int) error {
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
	before := memoryInUse()
	copies := make([]*fleet.State, slopeStateCopies)
	for i := range copies {
		if copies[i], err = sizedState(workers); err != nil {
			return 0, err
		}
	}
	bytes = (memoryInUse() - before) / slopeStateCopies
	runtime.KeepAlive(copies)
	return bytes, nil
}

// measureControlRounds measures rounds of the control pipeline on simulated machines, idle and during a maintenance wave.
func (s *slopesRun) measureControlRounds() error {
	for _, workers := range slopeWorkers {
		c, err := newControlledFleet(s.ctx, model.NewSizedDeployment(workers), s.seed)
		if err != nil {
			return err
		}
		round := func(int) error { return c.runRound(s.ctx) }
		// The warm-up acquires the lease and completes the first moves.
		if _, err = cpuTimePerRun(slopeControlRounds, round); err != nil {
			return err
		}
		idle, err := cpuTimePerRun(slopeControlRounds, round)
		if err != nil {
			return err
		}
		wave := fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: c.clock.Now()}
		if err = c.commit(s.ctx, "start", fleet.Change{PutWave: &wave}); err != nil {
			return err
		}
		before := c.log.State().Version
		busy, err := cpuTimePerRun(slopeControlRounds, round)
		if err != nil {
			return err
		}
		s.add("IdleRound", workers, "Workers", idle, "us")
		s.add("WaveRound", workers, "Workers", busy, "us")
		s.add("WaveCommits", workers, "Workers", float64(c.log.State().Version-before)/slopeControlRounds, "commits/round")
	}
	return nil
}

// measureReports measures the size of the report that an entry sends each second: without attempts, and with attempts at all workers,
// which is the largest possible report.
func (s *slopesRun) measureReports() error {
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
