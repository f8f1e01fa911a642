package standin

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Host is a machine's side of the orders of the instance control.
type Host interface {
	// Drain makes the machine refuse new requests.
	Drain()
	// Undrain makes the machine accept requests again.
	Undrain()
	// Busy returns the number of requests in progress.
	Busy() int
}

// MachineConfig describes a machine to the simulated platform.
type MachineConfig struct {
	ID         acaciatally.InstanceID
	Address    netip.AddrPort
	DataCentre acaciatally.DataCentre
	Rack       acaciatally.Rack
	Since      time.Time // when it came up; the list shows it one lag later
	Host       Host      // nil for a machine without requests
}

// MachinesConfig tunes the instance list and the instance control.
type MachinesConfig struct {
	ListLag     time.Duration // age of what the instance list shows
	RebootTime  time.Duration
	RebootFails float64 // share of reboots after which the machine stays dead
	Seed        uint64
}

// Machines is the instance list and the instance control; it is safe for concurrent use.
type Machines struct {
	config     MachinesConfig
	mu         sync.Mutex
	machines   map[acaciatally.InstanceID]*machine
	operations map[string]*operation
	random     *rand.Rand
}

// sighting is what the platform could see of a machine from a time on.
type sighting struct {
	at      time.Time
	up      bool
	leaving bool
}

type machine struct {
	config    MachineConfig
	sightings []sighting
}

// NewMachines returns an empty instance list.
func NewMachines(config MachinesConfig) *Machines {
	return &Machines{
		config:     config,
		machines:   map[acaciatally.InstanceID]*machine{},
		operations: map[string]*operation{},
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Add registers a live machine; registering it again replaces its address and host.
func (m *Machines) Add(config MachineConfig) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, found := m.machines[config.ID]; found {
		known.config = config
		return
	}
	m.machines[config.ID] = &machine{config: config, sightings: []sighting{{at: config.Since, up: true}}}
}

// Instances returns the list as it was one lag ago.
func (m *Machines) Instances(_ context.Context) (instances []acaciatally.ListedInstance, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	seen := time.Now().Add(-m.config.ListLag)
	for _, machine := range m.machines {
		last, found := machine.at(seen)
		if !found || !last.up {
			continue
		}
		instances = append(instances, acaciatally.ListedInstance{
			ID: machine.config.ID, Address: machine.config.Address, Leaving: last.leaving, SeenAt: seen,
		})
	}
	slices.SortFunc(instances, func(a, b acaciatally.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return instances, nil
}

// Kill makes a machine fail, without a word to the instance list.
func (m *Machines) Kill(id acaciatally.InstanceID) {
	m.killWhere(func(config MachineConfig) bool { return config.ID == id })
}

// KillRack makes all machines of a rack fail at once.
func (m *Machines) KillRack(rack acaciatally.Rack) {
	m.killWhere(func(config MachineConfig) bool { return config.Rack == rack })
}

// KillDataCentre makes all machines of a data centre fail at once.
func (m *Machines) KillDataCentre(dataCentre acaciatally.DataCentre) {
	m.killWhere(func(config MachineConfig) bool { return config.DataCentre == dataCentre })
}

func (m *Machines) killWhere(matches func(MachineConfig) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, machine := range m.machines {
		if matches(machine.config) {
			machine.see(sighting{at: time.Now()})
		}
	}
}

// Revive brings a dead machine back.
func (m *Machines) Revive(id acaciatally.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if machine, found := m.machines[id]; found {
		machine.see(sighting{at: time.Now(), up: true})
	}
}

// Up reports whether a machine is alive in truth, which the instance list learns one lag later.
func (m *Machines) Up(id acaciatally.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	machine, found := m.machines[id]
	return found && machine.now().up
}

func (m *machine) see(next sighting) {
	m.sightings = append(m.sightings, next)
}

func (m *machine) now() sighting {
	return m.sightings[len(m.sightings)-1]
}

func (m *machine) at(seen time.Time) (last sighting, found bool) {
	for _, candidate := range m.sightings {
		if candidate.at.After(seen) {
			break
		}
		last, found = candidate, true
	}
	return last, found
}
