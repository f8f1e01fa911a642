package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/ingress"
)

// Settings describes a whole deployment: entries, platform, pools, teams and policies.
type Settings struct {
	Deployment  string                   `yaml:"Deployment"`
	DataCentres []acaciatally.DataCentre `yaml:"DataCentres"`
	Platform    Platform                 `yaml:"Platform"`
	Entries     []Entry                  `yaml:"Entries"`
	Pools       []Pool                   `yaml:"Pools"`
	Teams       []Team                   `yaml:"Teams"`
	Traffic     Traffic                  `yaml:"Traffic"`
	Ingress     Ingress                  `yaml:"Ingress"`
	Control     Control                  `yaml:"Control"`
	Peers       Peers                    `yaml:"Peers"`
	Weights     Weights                  `yaml:"Weights"`
	Operators   []Operator               `yaml:"Operators"`
}

// Platform is the address of the platform's services and the timeout of calls to them.
type Platform struct {
	Address netip.AddrPort `yaml:"Address"`
	Timeout time.Duration  `yaml:"Timeout"`
}

// Entry is one process of the system.
type Entry struct {
	ID              acaciatally.EntryID    `yaml:"ID"`
	DataCentre      acaciatally.DataCentre `yaml:"DataCentre"`
	CallerAddress   netip.AddrPort         `yaml:"CallerAddress"`
	OperatorAddress netip.AddrPort         `yaml:"OperatorAddress"`
	PeerAddress     netip.AddrPort         `yaml:"PeerAddress"`
	Memory          Size                   `yaml:"Memory"`      // memory at which the process is killed; 0 if it is not limited
	Descriptors     int                    `yaml:"Descriptors"` // descriptors that the process may have open; 0 if only the system limits them
}

// Operator is a person who may send commands, authenticated by the token.
type Operator struct {
	Name  string `yaml:"Name"`
	Token string `yaml:"Token"`
}

// Pool is a pool and its initial instances.
type Pool struct {
	Name           acaciatally.PoolName `yaml:"Name"`
	Spare          bool                 `yaml:"Spare"` // holds the reserve of instances; at most one pool
	MaxUnavailable int                  `yaml:"MaxUnavailable"`
	MinAvailable   int                  `yaml:"MinAvailable"`
	ProvesNotRun   []int                `yaml:"ProvesNotRun"` // HTTP statuses by which an endpoint proves that it did not run a request
	HealthPath     string               `yaml:"HealthPath"`
	Instances      []Instance           `yaml:"Instances"`
}

// Instance is a machine of a pool.
type Instance struct {
	ID           acaciatally.InstanceID `yaml:"ID"`
	DataCentre   acaciatally.DataCentre `yaml:"DataCentre"`
	Rack         acaciatally.Rack       `yaml:"Rack"`
	Address      netip.AddrPort         `yaml:"Address"`
	Slots        int                    `yaml:"Slots"`       // requests that may run at the same time
	Connections  int                    `yaml:"Connections"` // connections that the instance accepts from all entries, at least Slots
	Processors   float64                `yaml:"Processors"`  // cores
	Memory       Size                   `yaml:"Memory"`
	Accelerators int                    `yaml:"Accelerators"`
}

// Team is a group of callers with a quota of slots.
type Team struct {
	Name  acaciatally.TeamName `yaml:"Name"`
	Quota int                  `yaml:"Quota"`
}

// Traffic holds the limits and parameters of the traffic path.
type Traffic struct {
	MaxBody         Size          `yaml:"MaxBody"`
	MaxHeader       Size          `yaml:"MaxHeader"`
	MaxAnswer       Size          `yaml:"MaxAnswer"` // buffer limit of an answer; a longer one is streamed
	DefaultDeadline time.Duration `yaml:"DefaultDeadline"`
	MaxDeadline     time.Duration `yaml:"MaxDeadline"`
	QueueLength     int           `yaml:"QueueLength"` // maximum number of requests waiting for a slot of one pool
	QueueBytes      Size          `yaml:"QueueBytes"`  // maximum size of the bodies of these requests
	Floors          Floors        `yaml:"Floors"`
	RetryBudget     float64       `yaml:"RetryBudget"` // retries as a share of all requests
	MaxRetries      int           `yaml:"MaxRetries"`
	ConnectTimeout  time.Duration `yaml:"ConnectTimeout"`
	ClaimRetention  time.Duration `yaml:"ClaimRetention"` // age up to which the id of a non-idempotent request is accepted
	ClaimInterval   time.Duration `yaml:"ClaimInterval"`  // minimum time between two commits of batched claims
}

// Ingress holds the limits on requests on their way in, over all addresses of an entry for callers and operators. Sizes and numbers that are 0
// follow from the entry's memory and descriptors.
type Ingress struct {
	Memory        Size          `yaml:"Memory"`        // for requests until they are answered; a fifth of the entry's memory if it is 0
	Connections   int           `yaml:"Connections"`   // of callers and operators
	SmallRequest  Size          `yaml:"SmallRequest"`  // size up to which a request may use the quarter that is reserved for small ones
	HeaderTimeout time.Duration `yaml:"HeaderTimeout"` // from the first byte of a header to its end
	BodyStall     time.Duration `yaml:"BodyStall"`     // longest time without a byte within a body
	BodyRate      Size          `yaml:"BodyRate"`      // slowest rate of a body, in bytes per second
	BodyTimeout   time.Duration `yaml:"BodyTimeout"`   // longest time for a body
	PressureStall time.Duration `yaml:"PressureStall"` // replaces BodyStall while Memory does not suffice
	PressureRate  Size          `yaml:"PressureRate"`  // replaces BodyRate while Memory does not suffice
}

// Limits returns the limits in the form that package ingress takes. Those that are not set are 0.
func (i Ingress) Limits() ingress.Limits {
	return ingress.Limits{
		Bytes: int64(i.Memory), Connections: i.Connections, SmallRequest: int64(i.SmallRequest), HeaderTimeout: i.HeaderTimeout,
		BodyStall: i.BodyStall, BodyRate: int64(i.BodyRate), BodyTimeout: i.BodyTimeout,
		PressureStall: i.PressureStall, PressureRate: int64(i.PressureRate),
	}
}

// Floors are the guaranteed shares of a pool's slots for each urgency class.
type Floors struct {
	Urgent     float64 `yaml:"Urgent"`
	Normal     float64 `yaml:"Normal"`
	Background float64 `yaml:"Background"`
}

// Control holds the intervals of the control path: polling, leases, waves and moves.
type Control struct {
	PollInterval  time.Duration `yaml:"PollInterval"`  // between two reads of the head of the change log
	ViewLimit     time.Duration `yaml:"ViewLimit"`     // age up to which an entry's view of the change log is fresh
	LeaseTerm     time.Duration `yaml:"LeaseTerm"`     // after which a lease that was not renewed expires
	LeaseRenewal  time.Duration `yaml:"LeaseRenewal"`  // between two renewals of a lease
	RoundInterval time.Duration `yaml:"RoundInterval"` // between two rounds of the control loop
	WaveCalm      time.Duration `yaml:"WaveCalm"`      // time without a failure after which a held wave resumes
	MoveHold      time.Duration `yaml:"MoveHold"`      // time before a move may be reversed
}

// Peers holds the parameters of the sessions between entries and of the slot homes, the entries that grant the slots of a pool.
type Peers struct {
	Key               string        `yaml:"Key"`               // shared secret of all entries, at least 16 bytes
	HelloInterval     time.Duration `yaml:"HelloInterval"`     // between two Hello messages to a peer
	HeartbeatInterval time.Duration `yaml:"HeartbeatInterval"` // between two commits of an entry's own row in the table service
	KeepAlive         time.Duration `yaml:"KeepAlive"`         // between two keep-alive messages of a session
	WriteTimeout      time.Duration `yaml:"WriteTimeout"`
	AnswerLimit       time.Duration `yaml:"AnswerLimit"`   // timeout of a slot home's reply, after which the next slot home is asked
	ProbeInterval     time.Duration `yaml:"ProbeInterval"` // between two probes of a worker's health path
	HintTerm          time.Duration `yaml:"HintTerm"`      // validity of a peer's hint that an instance is leaving
}

// Weights are the relative weights of the costs that the control path minimises.
type Weights struct {
	Reserve    float64 `yaml:"Reserve"`
	Moves      float64 `yaml:"Moves"`
	RollOut    float64 `yaml:"RollOut"`
	Protection float64 `yaml:"Protection"`
}

// Load reads a settings file and parses it as Parse does.
func Load(path string) (settings *Settings, err error) {
	defer func() { err = oops.In("settings").With("path", path).Wrapf(err, "load settings") }()
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(content)
}

// Entry returns the entry with the id.
func (s *Settings) Entry(id acaciatally.EntryID) (entry Entry, err error) {
	for _, entry = range s.Entries {
		if entry.ID == id {
			return entry, nil
		}
	}
	return Entry{}, fmt.Errorf("no entry %q in the settings", id)
}

// FleetChanges returns the changes that create the deployment's pools, instances and teams in an empty fleet.
func (s *Settings) FleetChanges() (changes []fleet.Change) {
	for _, pool := range s.Pools {
		changes = append(changes, fleet.Change{PutPool: &fleet.Pool{
			Name: pool.Name, Spare: pool.Spare, MaxUnavailable: pool.MaxUnavailable,
			MinAvailable: pool.MinAvailable, ProvesNotRun: pool.ProvesNotRun, HealthPath: pool.HealthPath,
		}})
		for _, instance := range pool.Instances {
			changes = append(changes, fleet.Change{AddInstance: instance.fleetInstance(pool.Name)})
		}
	}
	for _, team := range s.Teams {
		changes = append(changes, fleet.Change{PutTeam: &fleet.Team{Name: team.Name, Quota: team.Quota}})
	}
	return changes
}

func (i Instance) fleetInstance(pool acaciatally.PoolName) *fleet.Instance {
	return &fleet.Instance{
		ID: i.ID, Pool: pool, DataCentre: i.DataCentre, Rack: i.Rack, Address: i.Address,
		Slots: i.Slots, Connections: i.Connections,
		Resources: acaciatally.Resources{Processors: i.Processors, Memory: int64(i.Memory), Accelerators: i.Accelerators},
	}
}
