package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	trialEntries = 3
	trialWorkers = 4
	trialToken   = "token-of-the-trial"
)

// trial is a whole deployment with its platform and load: a pool of three workers and a spare one, in three data centres.
type trial struct {
	d        *deployment
	machines *standin.Machines
	tasks    *standin.Tasks
	truth    *changelog.Log // reads the table past all faults
	endpoint *endpoint
	entries  [trialEntries]trialEntry
	workers  [trialWorkers]trialWorker

	impatient, racing atomic.Bool // callers give up early; operators contend for one instance

	mu        sync.Mutex
	callers   []*caller
	orders    []order
	submitted []submission
	arrivals  []arrival
	broken    []string
}

// arrival is a request that reached a worker; the log tells later whether the worker was leaving.
type arrival struct {
	id acaciatally.InstanceID
	at time.Time
}

func (s *trial) arrive(id acaciatally.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
}

// trialEntry is what is wrong with an entry; the counts are of the faults that hold at the moment.
type trialEntry struct {
	platform                 *standin.Faults
	down, slow, lost, frozen int
	killed, froze            bool
	version                  uint64 // highest configuration version seen in the entry
}

type trialWorker struct {
	trial   *trial
	id      acaciatally.InstanceID
	failing atomic.Bool
	busy    atomic.Int64
	dead    bool
}

func newTrial(t *testing.T) *trial {
	s := &trial{
		machines: standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second, RebootTime: 3 * time.Second, Seed: 1}),
		tasks:    standin.NewTasks(standin.TasksConfig{ReportLag: time.Second}), endpoint: &endpoint{ids: map[string]int{}, calls: map[string]int{}},
	}
	s.d = composeDeployment(t, trialEntries, trialWorkers, func(i int) http.Handler { return &s.workers[i] })
	s.truth = changelog.New(changelog.Config{Table: s.d.table})
	s.compose(s.d.settings)
	s.d.equip = s.equip
	s.d.begin()
	for i := range s.entries {
		s.apply(&s.entries[i])
	}
	return s
}

func (s *trial) compose(deployment *settings.Settings) {
	instances := deployment.Pools[0].Instances
	centres := []acaciatally.DataCentre{"hall-a", "hall-b", "annex", "hall-a"}
	for i := range instances {
		one := &instances[i]
		one.DataCentre, one.Rack = centres[i], acaciatally.Rack(fmt.Sprint("rack-", i))
		one.Processors, one.Memory = 4, settings.Size(1<<30)
		s.workers[i].trial, s.workers[i].id = s, one.ID
		s.machines.Add(standin.MachineConfig{
			ID: one.ID, Address: one.Address, DataCentre: one.DataCentre, Rack: one.Rack, Since: time.Now().Add(-time.Hour),
		})
		s.tasks.AddWorker(one.ID, acaciatally.Resources{Processors: one.Processors, Memory: int64(one.Memory)})
	}
	deployment.Pools = []settings.Pool{
		{Name: "coating", MaxUnavailable: 1, MinAvailable: 1, Instances: instances[:3]},
		{Name: "backoffice", Spare: true, Instances: instances[3:]},
	}
	deployment.Operators = []settings.Operator{{Name: "ana", Token: trialToken}}
}

// equip gives an entry its own access to the platform, so that one entry can be cut off.
func (s *trial) equip(i int, config *Config) {
	platform := standin.NewFaults(standin.FaultsConfig{
		Table: s.d.table, List: s.machines, Control: guardedControl{InstanceControl: s.machines, trial: s}, Leases: s.tasks, Seed: uint64(i) + 1,
	})
	s.entries[i].platform = platform
	config.Table, config.List, config.Instances, config.Tasks = platform, platform, platform, platform
}

// guardedControl records reboots of workers in use.
type guardedControl struct {
	acaciatally.InstanceControl
	trial *trial
}

// Reboot records a broken promise when the instance has requests in progress.
func (g guardedControl) Reboot(ctx context.Context, operation string, id acaciatally.InstanceID) error {
	if state, _ := g.Operation(ctx, operation); state == acaciatally.OperationAbsent {
		for i := range g.trial.workers {
			if one := &g.trial.workers[i]; one.id == id && one.busy.Load() > 0 {
				g.trial.breach("P7: %s is rebooted with %d requests in progress", id, one.busy.Load())
			}
		}
	}
	return g.InstanceControl.Reboot(ctx, operation, id)
}

func (s *trial) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func (w *trialWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	w.busy.Add(1)
	defer w.busy.Add(-1)
	w.trial.arrive(w.id)
	if w.failing.Load() {
		_, _ = io.Copy(io.Discard, request.Body)
		w.trial.endpoint.begin(request)
		w.trial.endpoint.end()
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.trial.endpoint.ServeHTTP(writer, request)
}

// count adds a fault of the platform to the entries that it concerns, or takes it away.
func (s *trial) count(one fault, by int) {
	for i := range s.entries {
		entry := &s.entries[i]
		switch one.Kind {
		case platformDown:
			entry.down += by
		case platformSlow:
			entry.slow += by
		case answersLost:
			entry.lost += by
		case platformCut:
			if i == one.Target%len(s.entries) {
				entry.down += by
			}
		case entryFrozen:
			if i == one.Target%len(s.entries) {
				entry.frozen += by
			}
		}
		s.apply(entry)
	}
}

// apply sets the faults of an entry's platform. The calls of a frozen entry take effect after it is woken.
func (s *trial) apply(entry *trialEntry) {
	switches := standin.Switches{Down: entry.down > 0 || entry.killed, Delay: 4 * time.Millisecond, LateCommits: true}
	if entry.slow > 0 {
		switches.Delay = 800 * time.Millisecond
	}
	if entry.frozen > 0 {
		switches.Delay = 2 * lastFault
	}
	if entry.lost > 0 {
		switches.LossShare = 0.3
	}
	entry.platform.Set(switches)
}

// kill ends an entry while another one lives.
func (s *trial) kill(i int) {
	if alive := s.alive(); len(alive) > 1 {
		s.d.hosts[i].die()
		s.entries[i].killed = true
	}
}

func (s *trial) alive() (alive []int) {
	for i := range s.entries {
		if !s.entries[i].killed {
			alive = append(alive, i)
		}
	}
	return alive
}

// killWorker ends a worker of the pool while two others live.
func (s *trial) killWorker(i int) {
	dead := 0
	for n := range s.workers {
		if s.workers[n].dead {
			dead++
		}
	}
	if dead > 1 || s.workers[i].dead {
		return
	}
	s.workers[i].dead = true
	s.d.workers[i].die()
	s.machines.Kill(s.workers[i].id)
	s.tasks.Crash(s.workers[i].id)
}

func (s *trial) cutEntries(i, by int) {
	other := (i + 1) % len(s.entries)
	s.d.hosts[i].cutOff(address(peerPorts, other).String(), by)
	s.d.hosts[other].cutOff(address(peerPorts, i).String(), by)
}

func (s *trial) startWave(id string) {
	go func() {
		_, err := s.truth.Commit(context.Background(), changelog.Proposal{CommandID: id, By: "ana", Decide: func(*fleet.State) ([]fleet.Change, error) {
			return []fleet.Change{{PutWave: &fleet.Wave{ID: id, State: fleet.WaveRunning, Started: time.Now().UTC()}}}, nil
		}})
		require.NoError(s.d.t, err)
	}()
}
