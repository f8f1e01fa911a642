package model

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// ManualClock is a clock that advances only through Advance.
type ManualClock struct {
	now time.Time
}

// NewManualClock returns a clock set to a fixed time.
func NewManualClock() *ManualClock { return &ManualClock{now: time.Unix(1_800_000_000, 0).UTC()} }

// Now returns the clock's time.
func (c *ManualClock) Now() time.Time { return c.now }

// Advance moves the clock forward.
func (c *ManualClock) Advance(duration time.Duration) { c.now = c.now.Add(duration) }

// MachinesConfig configures the durations of the modelled operations.
type MachinesConfig struct {
	Clock            *ManualClock
	MeanRebootTime   time.Duration // mean time of a reboot
	RebootTimeSpread float64       // reboots take between (1-RebootTimeSpread) and (1+RebootTimeSpread) of the mean
	MaxDrainTime     time.Duration // longest time until the entries have no work on a leaving instance
	Seed             uint64        // seed for drawing the times
}

// Machines models the platform's instance control and instance list, the entries' acknowledgements and the demand that they report. It
// is not safe for concurrent use.
type Machines struct {
	config           MachinesConfig
	random           *rand.Rand
	operations       map[string]time.Time // end of each operation
	rebooting        map[acaciatally.InstanceID]time.Time
	acknowledgements map[acaciatally.InstanceID]acknowledgement
	demand           []acaciatally.PoolDemand
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// NewMachines returns a model in which all machines are up.
func NewMachines(config MachinesConfig) *Machines {
	return &Machines{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), operations: map[string]time.Time{},
		rebooting: map[acaciatally.InstanceID]time.Time{}, acknowledgements: map[acaciatally.InstanceID]acknowledgement{},
	}
}

// SetDemand sets the demand that Demand returns.
func (m *Machines) SetDemand(demand []acaciatally.PoolDemand) { m.demand = demand }

// Demand returns the demand set by SetDemand.
func (m *Machines) Demand() []acaciatally.PoolDemand { return m.demand }

// Reports returns no reports, since the machines of the model do not fail.
func (m *Machines) Reports() []acaciatally.InstanceReport { return nil }

// Instances always fails with ErrUnavailable, so that no conclusion is drawn from the instance list.
func (m *Machines) Instances(context.Context) (instances []acaciatally.ListedInstance, err error) {
	return nil, acaciatally.ErrUnavailable
}

func (m *Machines) startOperation(operation string, duration time.Duration) {
	if _, found := m.operations[operation]; !found {
		m.operations[operation] = m.config.Clock.Now().Add(duration)
	}
}

// Drain completes at once, since the entries have no work left on the instance when it is called.
func (m *Machines) Drain(_ context.Context, operation string, _ acaciatally.InstanceID) (err error) {
	m.startOperation(operation, 0)
	return nil
}

// Undrain completes at once.
func (m *Machines) Undrain(_ context.Context, operation string, _ acaciatally.InstanceID) (err error) {
	m.startOperation(operation, 0)
	return nil
}

// Reboot makes an instance unavailable for a time drawn by RebootTime; a repeated operation ID has no effect.
func (m *Machines) Reboot(_ context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	if _, found := m.operations[operation]; found {
		return nil
	}
	m.startOperation(operation, m.RebootTime())
	m.rebooting[instance] = m.operations[operation]
	return nil
}

// RebootTime draws the duration of one reboot, uniformly within RebootTimeSpread of the mean.
func (m *Machines) RebootTime() time.Duration {
	return time.Duration(float64(m.config.MeanRebootTime) * (1 + m.config.RebootTimeSpread*(2*m.random.Float64()-1)))
}

// DrainTime draws the time until a leaving instance is idle, uniformly between 0 and MaxDrainTime.
func (m *Machines) DrainTime() time.Duration {
	return time.Duration(m.random.Float64() * float64(m.config.MaxDrainTime))
}

// Operation returns the state of an operation, or OperationAbsent if the ID is unknown.
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

// Check returns an error while the instance is rebooting.
func (m *Machines) Check(_ context.Context, instance acaciatally.InstanceID, _ netip.AddrPort) (err error) {
	if m.config.Clock.Now().Before(m.rebooting[instance]) {
		return errors.New("instance is rebooting")
	}
	return nil
}

// Acknowledged reports whether the entries have finished their work on a leaving instance, which takes a time drawn by DrainTime
// from the first call for a version on.
func (m *Machines) Acknowledged(instance acaciatally.InstanceID, version uint64) bool {
	now := m.config.Clock.Now()
	if m.acknowledgements[instance].version != version {
		m.acknowledgements[instance] = acknowledgement{version: version, at: now.Add(m.DrainTime())}
	}
	return !now.Before(m.acknowledgements[instance].at)
}

// Live returns no peers, since the model has none.
func (m *Machines) Live() []acaciatally.Peer { return nil }

// MayChange is always true in the model.
func (m *Machines) MayChange() bool { return true }

// MayServe is always true in the model.
func (m *Machines) MayServe() bool { return true }

// LeavingInstances returns no instances.
func (m *Machines) LeavingInstances() []acaciatally.InstanceID { return nil }
