package model

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Clock is a clock that moves only when it is told to.
type Clock struct {
	now time.Time
}

// NewClock returns a clock at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Unix(1_800_000_000, 0).UTC()} }

// Now returns the clock's time.
func (c *Clock) Now() time.Time { return c.now }

// Advance moves the clock on.
func (c *Clock) Advance(span time.Duration) { c.now = c.now.Add(span) }

// MachinesConfig describes how long the machines of a model take.
type MachinesConfig struct {
	Clock  *Clock
	Reboot time.Duration // mean time of a reboot
	Spread float64       // reboots take between (1-Spread) and (1+Spread) of the mean
	Drain  time.Duration // longest time until entries have no work on a leaving instance
	Seed   uint64
}

// Machines models the platform's instance control and list, the entries' acknowledgements, and the load that they see; one
// goroutine uses it.
type Machines struct {
	config     MachinesConfig
	random     *rand.Rand
	operations map[string]time.Time // end of each operation
	rebooting  map[acaciatally.InstanceID]time.Time
	idleAt     map[acaciatally.InstanceID]acknowledgement
	demand     []acaciatally.PoolDemand
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// NewMachines returns machines that are all up.
func NewMachines(config MachinesConfig) *Machines {
	return &Machines{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), operations: map[string]time.Time{},
		rebooting: map[acaciatally.InstanceID]time.Time{}, idleAt: map[acaciatally.InstanceID]acknowledgement{},
	}
}

// SetDemand replaces the present demand.
func (m *Machines) SetDemand(demand []acaciatally.PoolDemand) { m.demand = demand }

// Demand returns the present demand.
func (m *Machines) Demand() []acaciatally.PoolDemand { return m.demand }

// Reports returns nothing: the machines of the model do not fail.
func (m *Machines) Reports() []acaciatally.InstanceReport { return nil }

// Instances returns an empty list, which proves nothing.
func (m *Machines) Instances(context.Context) (instances []acaciatally.ListedInstance, err error) {
	return nil, acaciatally.ErrUnavailable
}

func (m *Machines) begin(operation string, span time.Duration) {
	if _, found := m.operations[operation]; !found {
		m.operations[operation] = m.config.Clock.Now().Add(span)
	}
}

// Drain ends at once, since the entries have no work on the instance any more.
func (m *Machines) Drain(_ context.Context, operation string, _ acaciatally.InstanceID) (err error) {
	m.begin(operation, 0)
	return nil
}

// Undrain ends at once.
func (m *Machines) Undrain(_ context.Context, operation string, _ acaciatally.InstanceID) (err error) {
	m.begin(operation, 0)
	return nil
}

// Reboot takes the configured time with its spread.
func (m *Machines) Reboot(_ context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	if _, found := m.operations[operation]; found {
		return nil
	}
	m.begin(operation, m.RebootTime())
	m.rebooting[instance] = m.operations[operation]
	return nil
}

// RebootTime draws the time of one reboot.
func (m *Machines) RebootTime() time.Duration {
	return time.Duration(float64(m.config.Reboot) * (1 + m.config.Spread*(2*m.random.Float64()-1)))
}

// DrainTime draws the time until an instance that leaves is idle.
func (m *Machines) DrainTime() time.Duration {
	return time.Duration(m.random.Float64() * float64(m.config.Drain))
}

// Operation returns the state of an operation.
func (m *Machines) Operation(_ context.Context, operation string) (state acaciatally.OperationState, err error) {
	end, found := m.operations[operation]
	switch {
	case !found:
		return acaciatally.OperationAbsent, nil
	case m.config.Clock.Now().Before(end):
		return acaciatally.OperationRunning, nil
	}
	return acaciatally.OperationDone, nil
}

// Check reports whether the instance is up.
func (m *Machines) Check(_ context.Context, instance acaciatally.InstanceID, _ netip.AddrPort) (err error) {
	if m.config.Clock.Now().Before(m.rebooting[instance]) {
		return errors.New("instance is rebooting")
	}
	return nil
}

// Acknowledged models entries that finish their work on a leaving instance some time after the change.
func (m *Machines) Acknowledged(instance acaciatally.InstanceID, version uint64) bool {
	now := m.config.Clock.Now()
	if m.idleAt[instance].version != version {
		m.idleAt[instance] = acknowledgement{version: version, at: now.Add(m.DrainTime())}
	}
	return !now.Before(m.idleAt[instance].at)
}

// Live returns no peers.
func (m *Machines) Live() []acaciatally.Peer { return nil }

// Fresh is always true in the model.
func (m *Machines) Fresh() bool { return true }

// MayServe is always true in the model.
func (m *Machines) MayServe() bool { return true }

// Leaving returns no hints.
func (m *Machines) Leaving() []acaciatally.InstanceID { return nil }
