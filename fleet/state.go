package fleet

import (
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Phase is where an instance stands between serving and being repaired.
type Phase string

// The phases of an instance; only Serving instances count as available.
const (
	Serving     Phase = "Serving"
	Draining    Phase = "Draining"
	Stopping    Phase = "Stopping"
	Rebooting   Phase = "Rebooting"
	Checking    Phase = "Checking"
	Failed      Phase = "Failed"
	Quarantined Phase = "Quarantined"
)

// Cause is why an instance left the phase Serving.
type Cause string

// The causes for which an instance is not serving.
const (
	CauseNone     Cause = ""
	CauseOperator Cause = "Operator"
	CauseWave     Cause = "Wave"
	CauseMove     Cause = "Move"
	CauseFailure  Cause = "Failure"
)

// Planned reports whether the cause is one that the system may delay.
func (c Cause) Planned() bool {
	return c == CauseOperator || c == CauseWave || c == CauseMove
}

// guardsDomain reports whether two disruptions of the cause must lie in different failure domains; moves are exempt, since a
// moved instance is not at risk of failing to come back.
func (c Cause) guardsDomain() bool {
	return c == CauseOperator || c == CauseWave
}

// Instance is a machine of exactly one pool.
type Instance struct {
	ID          acaciatally.InstanceID
	Pool        acaciatally.PoolName
	Home        acaciatally.PoolName // the pool to which a borrowed instance returns
	DataCentre  acaciatally.DataCentre
	Rack        acaciatally.Rack
	Address     netip.AddrPort
	Slots       int
	Connections int
	Resources   acaciatally.Resources
	Phase       Phase
	Cause       Cause
	Wave        string               `json:",omitempty"`
	Target      acaciatally.PoolName `json:",omitempty"` // pool to which a drained instance moves
	Borrow      bool                 `json:",omitempty"` // the move to Target is a loan: Home stays as it is
	Reboot      bool                 `json:",omitempty"` // a drain of the instance ends in a reboot
	Attempts    int                  `json:",omitempty"` // reboots since it last served
	PhaseSince  time.Time
	Maintained  time.Time            `json:",omitzero"` // end of the last maintenance
	MovedAt     time.Time            `json:",omitzero"`
	MovedFrom   acaciatally.PoolName `json:",omitempty"`
	FailedAt    time.Time            `json:",omitzero"` // start of the last failure or quarantine
	Version     uint64               // log version of the last change
	By          string
	Reason      string
}

// Pool is a named group of instances with an availability budget.
type Pool struct {
	Name           acaciatally.PoolName
	Spare          bool
	MaxUnavailable int    // instances that may be unavailable at once by plan
	MinAvailable   int    // instances that must stay available through planned changes
	ProvesNotRun   []int  `json:",omitempty"` // endpoint statuses that prove a request did not run
	HealthPath     string `json:",omitempty"` // of the endpoints, which answer 503 there when they leave; empty is not probed
	Version        uint64
	By             string
}

// Team is a group of callers with a quota.
type Team struct {
	Name    acaciatally.TeamName
	Quota   int // slots held at once before the team waits behind others
	Version uint64
	By      string
}

// WaveState is the progress of a maintenance wave.
type WaveState string

// The states of a maintenance wave.
const (
	WaveRunning WaveState = "Running"
	WaveHeld    WaveState = "Held"
	WaveDone    WaveState = "Done"
	WaveStopped WaveState = "Stopped"
)

// Wave is a maintenance run over the instances of some pools.
type Wave struct {
	ID      string
	Pools   []acaciatally.PoolName
	State   WaveState
	Started time.Time
	Ended   time.Time
	Version uint64
	By      string
	Reason  string
}

// Option is a tunable changed at run time; an empty value stands for the settings' one.
type Option struct {
	Value   string
	Version uint64
	By      string
}

// State is one immutable version of the control state.
type State struct {
	Version   uint64
	Pools     map[acaciatally.PoolName]Pool
	Instances map[acaciatally.InstanceID]Instance
	Teams     map[acaciatally.TeamName]Team
	Waves     map[string]Wave
	Options   map[string]Option // tunables changed at run time, by settings path

	byPool map[acaciatally.PoolName][]Instance // members in order of id; a slice is replaced, never changed
}

// New returns the empty state at version 0.
func New() *State {
	return &State{
		Pools:     map[acaciatally.PoolName]Pool{},
		Instances: map[acaciatally.InstanceID]Instance{},
		Teams:     map[acaciatally.TeamName]Team{},
		Waves:     map[string]Wave{},
		Options:   map[string]Option{},
		byPool:    map[acaciatally.PoolName][]Instance{},
	}
}
