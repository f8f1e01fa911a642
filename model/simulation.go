package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// entry is a simulated entry process, which receives the requests of callers.
type entry struct {
	index      int
	dataCentre acaciatally.DataCentre
}

// pool is a simulated pool; home is the entry that is its slot home.
type pool struct {
	name    acaciatally.PoolName
	workers []*worker
	slots   int
	home    *entry
}

// policy schedules the requests that arrive at the entries and routes them to workers.
type policy interface {
	// submit handles a request that arrived at its entry, or that is retried.
	submit(request *request)
}

// simulation is the state of one run.
type simulation struct {
	config     Config
	clock      clock
	random     *rand.Rand
	entries    []*entry
	pools      []*pool
	teams      []*TeamTally
	policy     policy
	result     Result
	unfinished int // requests without an outcome yet
}

// Run runs a simulation; its result depends only on the configuration. It fails if the configuration has an unknown policy, pool or team.
func Run(config Config) (result Result, err error) {
	s := &simulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	s.build()
	s.result.Windows = slices.Clone(config.Windows)
	if s.policy, err = newPolicy(s); err != nil {
		return Result{}, err
	}
	for i := range config.Load {
		stream, err := s.newStream(i)
		if err != nil {
			return Result{}, err
		}
		s.scheduleArrival(stream)
	}
	s.clock.run()
	s.collectResults()
	return s.result, nil
}

func newPolicy(s *simulation) (created policy, err error) {
	switch s.config.Policy {
	case SlotHome, BaselineArrivalOrder, BaselineStrictPriority:
		return newSlotHomes(s), nil
	case WorkerHome:
		return newWorkerHomes(s), nil
	case SlotCredits:
		return newSlotCredits(s), nil
	case BaselineAlone, BaselineRoundRobin:
		return newLocalChoice(s), nil
	}
	return nil, fmt.Errorf("unknown policy %q", s.config.Policy)
}

func (s *simulation) build() {
	for i := range s.config.Entries {
		s.entries = append(s.entries, &entry{index: i, dataCentre: s.dataCentre(i)})
	}
	for i, config := range s.config.Pools {
		s.pools = append(s.pools, s.newPool(i, config))
	}
	for _, team := range s.config.Teams {
		s.teams = append(s.teams, &TeamTally{Team: team.Name})
	}
}

func (s *simulation) dataCentre(index int) acaciatally.DataCentre {
	return s.config.DataCentres[index%len(s.config.DataCentres)]
}

func (s *simulation) newPool(index int, config Pool) *pool {
	created := &pool{name: config.Name, slots: config.Workers * config.Slots, home: s.entries[index%len(s.entries)]}
	for i := range config.Workers {
		id := acaciatally.InstanceID(fmt.Sprintf("%s-%d", config.Name, i+1))
		created.workers = append(created.workers, &worker{
			id: id, dataCentre: s.dataCentre(i), slots: config.Slots, faults: s.faults(config.Name, i),
			tally: WorkerTally{Pool: config.Name, Worker: id},
		})
	}
	return created
}

func (s *simulation) faults(pool acaciatally.PoolName, worker int) (faults []Fault) {
	for _, fault := range s.config.Faults {
		if fault.Pool == pool && fault.Worker == worker {
			faults = append(faults, fault)
		}
	}
	return faults
}

func (s *simulation) newStream(index int) (created *stream, err error) {
	source := &s.config.Load[index]
	created = &stream{source: source, index: index, random: rand.New(rand.NewPCG(s.config.Seed, uint64(index)+1))}
	for _, pool := range s.pools {
		if pool.name == source.Pool {
			created.pool = pool
		}
	}
	for _, name := range source.Teams {
		for _, team := range s.teams {
			if team.Team == name {
				created.teams = append(created.teams, team)
			}
		}
	}
	if created.pool == nil || len(created.teams) != len(source.Teams) || len(source.Teams) == 0 {
		return nil, fmt.Errorf("source %d names an unknown pool or team", index)
	}
	created.rate = source.Demand * float64(created.pool.slots) / source.ServiceTime.Seconds()
	return created, nil
}

func (s *simulation) collectResults() {
	for _, team := range s.teams {
		s.result.Teams = append(s.result.Teams, *team)
	}
	for _, pool := range s.pools {
		for _, worker := range pool.workers {
			s.result.Workers = append(s.result.Workers, worker.tally)
		}
	}
	s.result.Unfinished = s.unfinished
}

// delay returns the one-way network delay between two data centres.
func (s *simulation) delay(a, b acaciatally.DataCentre) time.Duration {
	if a == b {
		return intraDataCentreDelay
	}
	return interDataCentreDelay
}

// sendMessage delivers a message between two processes after the delay and counts it in Hops.
func (s *simulation) sendMessage(delay time.Duration, onArrival func()) {
	s.result.Hops++
	s.clock.after(delay, onArrival)
}

// sendBetween sends a message between two entries; it arrives at once and is not counted if they are the same.
func (s *simulation) sendBetween(a, b *entry, onArrival func()) {
	if a == b {
		onArrival()
		return
	}
	s.sendMessage(s.delay(a.dataCentre, b.dataCentre), onArrival)
}

// windows returns the windows that contain the arrival of a request, with the window of the whole run.
func (s *simulation) windows(request *request) (windows []*Window) {
	windows = append(windows, &s.result.Whole)
	for i := range s.result.Windows {
		window := &s.result.Windows[i]
		if request.arrived >= window.From && request.arrived < window.To {
			windows = append(windows, window)
		}
	}
	return windows
}

// updateTallies applies a change to all tallies that count a request.
func (s *simulation) updateTallies(request *request, change func(*Tally)) {
	for _, window := range s.windows(request) {
		classes := &window.Ordinary
		if request.source.Flood {
			classes = &window.Flood
		}
		change(&classes[request.source.Urgency])
	}
}

// finish counts the outcome of a request; each request finishes exactly once.
func (s *simulation) finish(request *request, change func(*Tally)) {
	if request.finished {
		panic("model: request " + request.id + " finished twice")
	}
	request.finished = true
	s.unfinished--
	s.updateTallies(request, change)
	if request.started {
		s.updateTallies(request, func(t *Tally) { t.Waits = append(t.Waits, request.wait) })
	}
	if request.onFinish != nil {
		request.onFinish()
	}
}

// handleResult finishes a request according to the result of an attempt. It returns true if the attempt did not run and can be retried.
func (s *simulation) handleResult(request *request, result acaciatally.AttemptResult) (retry bool) {
	switch {
	case s.clock.now >= request.deadline && result.Outcome == acaciatally.NotRun:
		s.finish(request, func(t *Tally) { t.Expired++ })
	case s.clock.now > request.deadline || result.Outcome == acaciatally.Unknown:
		s.finish(request, func(t *Tally) { t.Late++ })
	case result.Outcome == "":
		request.team.Answered++
		s.finish(request, func(t *Tally) { t.Answered++ })
	case result.Outcome == acaciatally.Failed:
		s.finish(request, func(t *Tally) { t.Failed++ })
	default:
		return true
	}
	return false
}
