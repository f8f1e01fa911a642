package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// Settings is a whole deployment: entries, platform, pools, teams and policy.
type Settings struct {
	Deployment  string                   `yaml:"Deployment"`
	DataCentres []acaciatally.DataCentre `yaml:"DataCentres"`
	Platform    Platform                 `yaml:"Platform"`
	Entries     []Entry                  `yaml:"Entries"`
	Pools       []Pool                   `yaml:"Pools"`
	Teams       []Team                   `yaml:"Teams"`
	Traffic     Traffic                  `yaml:"Traffic"`
	Control     Control                  `yaml:"Control"`
	Peers       Peers                    `yaml:"Peers"`
	Weights     Weights                  `yaml:"Weights"`
	Operators   []Operator               `yaml:"Operators"`
}

// Platform says where the platform's services are.
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
}

// Operator is allowed to give commands.
type Operator struct {
	Name  string `yaml:"Name"`
	Token string `yaml:"Token"`
}

// Pool is a pool and the instances that it starts with.
type Pool struct {
	Name           acaciatally.PoolName `yaml:"Name"`
	Spare          bool                 `yaml:"Spare"`
	MaxUnavailable int                  `yaml:"MaxUnavailable"`
	MinAvailable   int                  `yaml:"MinAvailable"`
	ProvesNotRun   []int                `yaml:"ProvesNotRun"`
	HealthPath     string               `yaml:"HealthPath"`
	Instances      []Instance           `yaml:"Instances"`
}

// Instance is a machine of a pool.
type Instance struct {
	ID           acaciatally.InstanceID `yaml:"ID"`
	DataCentre   acaciatally.DataCentre `yaml:"DataCentre"`
	Rack         acaciatally.Rack       `yaml:"Rack"`
	Address      netip.AddrPort         `yaml:"Address"`
	Slots        int                    `yaml:"Slots"`
	Connections  int                    `yaml:"Connections"`
	Processors   float64                `yaml:"Processors"`
	Memory       Size                   `yaml:"Memory"`
	Accelerators int                    `yaml:"Accelerators"`
}

// Team is a group of callers with a quota of slots.
type Team struct {
	Name  acaciatally.TeamName `yaml:"Name"`
	Quota int                  `yaml:"Quota"`
}

// Traffic bounds and tunes the serving path.
type Traffic struct {
	MaxBody         Size          `yaml:"MaxBody"`
	MaxHeader       Size          `yaml:"MaxHeader"`
	MaxAnswer       Size          `yaml:"MaxAnswer"`
	DefaultDeadline time.Duration `yaml:"DefaultDeadline"`
	MaxDeadline     time.Duration `yaml:"MaxDeadline"`
	QueueLength     int           `yaml:"QueueLength"`
	QueueBytes      Size          `yaml:"QueueBytes"`
	Floors          Floors        `yaml:"Floors"`
	RetryBudget     float64       `yaml:"RetryBudget"` // share of requests that may be retried
	MaxRetries      int           `yaml:"MaxRetries"`
	ConnectTimeout  time.Duration `yaml:"ConnectTimeout"`
	ClaimRetention  time.Duration `yaml:"ClaimRetention"`
	ClaimInterval   time.Duration `yaml:"ClaimInterval"`
}

// Floors are the shares of a pool's slots that each urgency class is sure of.
type Floors struct {
	Urgent     float64 `yaml:"Urgent"`
	Normal     float64 `yaml:"Normal"`
	Background float64 `yaml:"Background"`
}

// Control tunes polling, leases and waves.
type Control struct {
	PollInterval  time.Duration `yaml:"PollInterval"`
	ViewLimit     time.Duration `yaml:"ViewLimit"`
	LeaseTerm     time.Duration `yaml:"LeaseTerm"`
	LeaseRenewal  time.Duration `yaml:"LeaseRenewal"`
	RoundInterval time.Duration `yaml:"RoundInterval"`
	WaveCalm      time.Duration `yaml:"WaveCalm"`
	MoveHold      time.Duration `yaml:"MoveHold"` // time before a moved instance may move again
}

// Peers tunes the sessions between entries and the slot homes.
type Peers struct {
	Key               string        `yaml:"Key"` // shared secret of all entries, at least 16 bytes
	HelloInterval     time.Duration `yaml:"HelloInterval"`
	HeartbeatInterval time.Duration `yaml:"HeartbeatInterval"`
	KeepAlive         time.Duration `yaml:"KeepAlive"`
	WriteTimeout      time.Duration `yaml:"WriteTimeout"`
	AnswerLimit       time.Duration `yaml:"AnswerLimit"` // time in which a slot home must answer before the next one is asked
	ProbeInterval     time.Duration `yaml:"ProbeInterval"`
	HintTerm          time.Duration `yaml:"HintTerm"`
}

// Weights are the costs that the policy trades against each other.
type Weights struct {
	Reserve    float64 `yaml:"Reserve"`
	Moves      float64 `yaml:"Moves"`
	RollOut    float64 `yaml:"RollOut"`
	Protection float64 `yaml:"Protection"`
}

// Load reads and checks a settings file.
func Load(path string) (settings *Settings, err error) {
	defer func() { err = oops.In("settings").With("path", path).Wrapf(err, "load settings") }()
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(content)
}

// Entry returns the entry of that id.
func (s *Settings) Entry(id acaciatally.EntryID) (entry Entry, err error) {
	for _, entry = range s.Entries {
		if entry.ID == id {
			return entry, nil
		}
	}
	return Entry{}, fmt.Errorf("no entry %q in the settings", id)
}

// Changes returns the changes that create the deployment's pools, instances and teams in an empty fleet.
func (s *Settings) Changes() (changes []fleet.Change) {
	for _, pool := range s.Pools {
		changes = append(changes, fleet.Change{PutPool: &fleet.Pool{
			Name: pool.Name, Spare: pool.Spare, MaxUnavailable: pool.MaxUnavailable,
			MinAvailable: pool.MinAvailable, ProvesNotRun: pool.ProvesNotRun, HealthPath: pool.HealthPath,
		}})
		for _, instance := range pool.Instances {
			changes = append(changes, fleet.Change{AddInstance: instance.member(pool.Name)})
		}
	}
	for _, team := range s.Teams {
		changes = append(changes, fleet.Change{PutTeam: &fleet.Team{Name: team.Name, Quota: team.Quota}})
	}
	return changes
}

func (i Instance) member(pool acaciatally.PoolName) *fleet.Instance {
	return &fleet.Instance{
		ID: i.ID, Pool: pool, DataCentre: i.DataCentre, Rack: i.Rack, Address: i.Address,
		Slots: i.Slots, Connections: i.Connections,
		Resources: acaciatally.Resources{Processors: i.Processors, Memory: int64(i.Memory), Accelerators: i.Accelerators},
	}
}
