package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// entry is one process of the system.
type entry struct {
	index      int
	dataCentre acaciatally.DataCentre
}

// pool is a pool with its workers.
type pool struct {
	name    acaciatally.PoolName
	workers []*worker
	slots   int
	home    *entry
}

// policy brings requests from their entries to workers.
type policy interface {
	// submit receives a request at its entry.
	submit(request *request)
}

// simulation is one run.
type simulation struct {
	config  Config
	clock   clock
	random  *rand.Rand
	entries []*entry
	pools   []*pool
	teams   []*TeamTally
	policy  policy
	result  Result
	open    int // requests that have not ended
}

// Run simulates one run; it is deterministic for its configuration.
func Run(config Config) (result Result, err error) {
	s := &simulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	s.build()
	s.result.Windows = slices.Clone(config.Windows)
	if s.policy, err = newPolicy(s); err != nil {
		return Result{}, err
	}
	for i := range config.Load {
		stream, err := s.stream(i)
		if err != nil {
			return Result{}, err
		}
		s.schedule(stream)
	}
	s.clock.run()
	s.collect()
	return s.result, nil
}

func newPolicy(s *simulation) (created policy, err error) {
	switch s.config.Policy {
	case SlotHome, BaselineArrivalOrder, BaselineStrictPriority:
		return newHomes(s), nil
	case WorkerHome:
		return newWorkerHomes(s), nil
	case SlotCredits:
		return newCredits(s), nil
	case BaselineAlone, BaselineRoundRobin:
		return newAlone(s), nil
	}
	return nil, fmt.Errorf("unknown policy %q", s.config.Policy)
}

func (s *simulation) build() {
	for i := range s.config.Entries {
		s.entries = append(s.entries, &entry{index: i, dataCentre: s.dataCentre(i)})
	}
	for i, described := range s.config.Pools {
		s.pools = append(s.pools, s.pool(i, described))
	}
	for _, team := range s.config.Teams {
		s.teams = append(s.teams, &TeamTally{Team: team.Name})
	}
}

func (s *simulation) dataCentre(index int) acaciatally.DataCentre {
	return s.config.DataCentres[index%len(s.config.DataCentres)]
}

func (s *simulation) pool(index int, described Pool) *pool {
	created := &pool{name: described.Name, slots: described.Workers * described.Slots, home: s.entries[index%len(s.entries)]}
	for i := range described.Workers {
		id := acaciatally.InstanceID(fmt.Sprintf("%s-%d", described.Name, i+1))
		created.workers = append(created.workers, &worker{
			id: id, dataCentre: s.dataCentre(i), slots: described.Slots, faults: s.faults(described.Name, i),
			tally: WorkerTally{Pool: described.Name, Worker: id},
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

func (s *simulation) stream(index int) (created *stream, err error) {
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
	created.rate = source.Demand * float64(created.pool.slots) / source.Service.Seconds()
	return created, nil
}

func (s *simulation) collect() {
	for _, team := range s.teams {
		s.result.Teams = append(s.result.Teams, *team)
	}
	for _, pool := range s.pools {
		for _, worker := range pool.workers {
			s.result.Workers = append(s.result.Workers, worker.tally)
		}
	}
	s.result.Lost = s.open
}

// delay returns the one-way delay between two data centres.
func (s *simulation) delay(a, b acaciatally.DataCentre) time.Duration {
	if a == b {
		return withinDataCentre
	}
	return betweenDataCentres
}

// hop sends a message between two processes.
func (s *simulation) hop(delay time.Duration, arrive func()) {
	s.result.Hops++
	s.clock.after(delay, arrive)
}

// between sends a message between two entries; within one entry it arrives at once.
func (s *simulation) between(a, b *entry, arrive func()) {
	if a == b {
		arrive()
		return
	}
	s.hop(s.delay(a.dataCentre, b.dataCentre), arrive)
}

// windows returns the windows into which a request is counted, by its arrival.
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

// count changes the tallies to which a request belongs.
func (s *simulation) count(request *request, change func(*Tally)) {
	for _, window := range s.windows(request) {
		classes := &window.Other
		if request.source.Flood {
			classes = &window.Flood
		}
		change(&classes[request.source.Urgency])
	}
}

// end counts what became of a request.
func (s *simulation) end(request *request, change func(*Tally)) {
	if request.ended {
		panic("model: request " + request.id + " ended twice")
	}
	request.ended = true
	s.open--
	s.count(request, change)
	if request.started {
		s.count(request, func(t *Tally) { t.Waits = append(t.Waits, request.wait) })
	}
	if request.onEnd != nil {
		request.onEnd()
	}
}

// answer ends a request whose last attempt has the result, unless it did not run and may be tried again.
func (s *simulation) answer(request *request, result acaciatally.AttemptResult) (again bool) {
	switch {
	case s.clock.now >= request.deadline && result.Outcome == acaciatally.NotRun:
		s.end(request, func(t *Tally) { t.Expired++ })
	case s.clock.now > request.deadline || result.Outcome == acaciatally.Unknown:
		s.end(request, func(t *Tally) { t.Late++ })
	case result.Outcome == "":
		request.team.Answered++
		s.end(request, func(t *Tally) { t.Answered++ })
	case result.Outcome == acaciatally.Failed:
		s.end(request, func(t *Tally) { t.Failed++ })
	default:
		return true
	}
	return false
}
