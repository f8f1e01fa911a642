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

// Host is the process on a machine that Machines drains and undrains.
type Host interface {
	// Drain makes the process refuse new requests.
	Drain()
	// Undrain makes the process accept requests again.
	Undrain()
	// Busy returns the number of requests in progress.
	Busy() int
}

// MachineConfig describes a machine of the simulated platform.
type MachineConfig struct {
	ID         acaciatally.InstanceID
	Address    netip.AddrPort
	DataCentre acaciatally.DataCentre
	Rack       acaciatally.Rack
	StartedAt  time.Time // start time; the instance list shows the machine from StartedAt plus ListLag on
	Host       Host      // nil for a machine that serves no requests
}

// MachinesConfig configures Machines.
type MachinesConfig struct {
	ListLag           time.Duration // delay with which the instance list shows changes
	RebootTime        time.Duration // duration of a reboot
	RebootFailureRate float64       // fraction of reboots that fail and leave the machine down
	Seed              uint64        // seed for choosing the reboots that fail
}

// Machines simulates the platform's instance list and instance control; it is safe for concurrent use.
type Machines struct {
	config     MachinesConfig
	mu         sync.Mutex
	machines   map[acaciatally.InstanceID]*machine
	operations map[string]*operation
	random     *rand.Rand
}

// machineState is the state of a machine from a point in time until its next state.
type machineState struct {
	at      time.Time
	up      bool
	leaving bool
}

type machine struct {
	config  MachineConfig
	history []machineState
}

// NewMachines returns a simulation without machines.
func NewMachines(config MachinesConfig) *Machines {
	return &Machines{
		config:     config,
		machines:   map[acaciatally.InstanceID]*machine{},
		operations: map[string]*operation{},
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Add registers a running machine; adding a known machine replaces its configuration and keeps its state.
func (m *Machines) Add(config MachineConfig) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, found := m.machines[config.ID]; found {
		known.config = config
		return
	}
	m.machines[config.ID] = &machine{config: config, history: []machineState{{at: config.StartedAt, up: true}}}
}

// Instances returns the running machines as of ListLag ago, sorted by ID.
func (m *Machines) Instances(_ context.Context) (instances []acaciatally.ListedInstance, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeOperations()
	asOf := time.Now().Add(-m.config.ListLag)
	for _, machine := range m.machines {
		last, found := machine.stateAt(asOf)
		if !found || !last.up {
			continue
		}
		instances = append(instances, acaciatally.ListedInstance{
			ID: machine.config.ID, Address: machine.config.Address, Leaving: last.leaving, SeenAt: asOf,
		})
	}
	slices.SortFunc(instances, func(a, b acaciatally.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return instances, nil
}

// Kill makes a machine fail; the instance list shows it only after ListLag.
func (m *Machines) Kill(id acaciatally.InstanceID) {
	m.killMatching(func(config MachineConfig) bool { return config.ID == id })
}

// KillRack makes all machines of a rack fail at once.
func (m *Machines) KillRack(rack acaciatally.Rack) {
	m.killMatching(func(config MachineConfig) bool { return config.Rack == rack })
}

// KillDataCentre makes all machines of a data centre fail at once.
func (m *Machines) KillDataCentre(dataCentre acaciatally.DataCentre) {
	m.killMatching(func(config MachineConfig) bool { return config.DataCentre == dataCentre })
}

func (m *Machines) killMatching(matches func(MachineConfig) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, machine := range m.machines {
		if matches(machine.config) {
			machine.addState(machineState{at: time.Now()})
		}
	}
}

// Revive makes a failed machine run again.
func (m *Machines) Revive(id acaciatally.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if machine, found := m.machines[id]; found {
		machine.addState(machineState{at: time.Now(), up: true})
	}
}

// Up reports whether a machine is running now; the instance list shows this only after ListLag.
func (m *Machines) Up(id acaciatally.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeOperations()
	machine, found := m.machines[id]
	return found && machine.current().up
}

func (m *machine) addState(state machineState) {
	m.history = append(m.history, state)
}

func (m *machine) current() machineState {
	return m.history[len(m.history)-1]
}

func (m *machine) stateAt(asOf time.Time) (last machineState, found bool) {
	for _, state := range m.history {
		if state.at.After(asOf) {
			break
		}
		last, found = state, true
	}
	return last, found
}
