package fleet

import (
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Phase is the phase of an instance in its life cycle.
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

// Cause is the reason why an instance left the phase Serving.
type Cause string

// The causes for which an instance is not serving.
const (
	CauseNone     Cause = ""
	CauseOperator Cause = "Operator"
	CauseWave     Cause = "Wave"
	CauseMove     Cause = "Move"
	CauseFailure  Cause = "Failure"
)

// Planned reports whether a disruption for the cause is voluntary and may be delayed.
func (c Cause) Planned() bool {
	return c == CauseOperator || c == CauseWave || c == CauseMove
}

// exclusiveDomain reports whether an instance that is disrupted for the cause must not share a failure domain with another such
// instance. Moves are exempt, since a moved instance does not restart and so cannot fail to come back.
func (c Cause) exclusiveDomain() bool {
	return c == CauseOperator || c == CauseWave
}

// Instance is a machine that belongs to exactly one pool.
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
	Borrow      bool                 `json:",omitempty"` // the move to Target is temporary and does not change Home
	Reboot      bool                 `json:",omitempty"` // the drain is followed by a reboot
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
	MaxUnavailable int    // highest number of unavailable instances after a planned disruption
	MinAvailable   int    // lowest number of available instances after a planned disruption
	ProvesNotRun   []int  `json:",omitempty"` // endpoint statuses that prove a request did not run
	HealthPath     string `json:",omitempty"` // health check path of the endpoints, which respond with 503 before they shut down; empty disables the probe
	Version        uint64
	By             string
}

// Team is a group of callers with a quota.
type Team struct {
	Name    acaciatally.TeamName
	Quota   int // slots that the team may hold at once before its requests wait behind those of others
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

// Wave is a rolling maintenance of the instances of some pools.
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

// Option is an option changed at run time; an empty value stands for the value in the settings.
type Option struct {
	Value   string
	Version uint64
	By      string
}

// State is an immutable version of the control state.
type State struct {
	Version   uint64
	Pools     map[acaciatally.PoolName]Pool
	Instances map[acaciatally.InstanceID]Instance
	Teams     map[acaciatally.TeamName]Team
	Waves     map[string]Wave
	Options   map[string]Option // options changed at run time, by settings path

	byPool map[acaciatally.PoolName][]Instance // members sorted by ID; slices are replaced, never modified
}

// New returns an empty state at version 0.
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
