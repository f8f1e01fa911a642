package trace

import (
	"embed"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
)

//go:embed testdata/*.yaml
var traceFiles embed.FS

const traceDirectory = "testdata"

// Trace is a load on a deployment and the outcomes that the system must achieve under it.
type Trace struct {
	Name        string                   `yaml:"Name"`
	Deployment  string                   `yaml:"Deployment"`
	DataCentres []acaciatally.DataCentre `yaml:"DataCentres"`
	Entries     int                      `yaml:"Entries"`
	Slots       int                      `yaml:"Slots"` // per worker
	Pools       []Pool                   `yaml:"Pools"`
	Teams       []Team                   `yaml:"Teams"`
	Duration    time.Duration            `yaml:"Duration"`
	Load        []Load                   `yaml:"Load"`
	Outcomes    []Outcome                `yaml:"Outcomes"`
}

// Pool is a pool of the deployment.
type Pool struct {
	Name    acaciatally.PoolName `yaml:"Name"`
	Workers int                  `yaml:"Workers"`
	Spare   bool                 `yaml:"Spare"`
}

// Team is a team and its quota of slots in each pool.
type Team struct {
	Name  acaciatally.TeamName `yaml:"Name"`
	Quota int                  `yaml:"Quota"`
}

// Load is a stream of requests to one or more pools.
type Load struct {
	Pools             []acaciatally.PoolName `yaml:"Pools"`
	Teams             []acaciatally.TeamName `yaml:"Teams"`
	Urgency           Shares                 `yaml:"Urgency"`
	Flood             bool                   `yaml:"Flood"`   // requests that overload the system, counted apart from ordinary requests
	Demand            float64                `yaml:"Demand"`  // mean share of each pool's slots that the load occupies
	ServiceTime       time.Duration          `yaml:"Service"` // mean service time
	ServiceTimeSpread float64                `yaml:"Spread"`  // standard deviation of the logarithm of the service time
	Deadline          time.Duration          `yaml:"Deadline"`
	Bytes             int64                  `yaml:"Bytes"`
	Phases            []Phase                `yaml:"Phases"`
	BaseFactor        float64                `yaml:"Otherwise"` // factor on the demand outside the phases
}

// Shares are the parts of a load that belong to each urgency class; their sum is 1.
type Shares struct {
	Urgent     float64 `yaml:"Urgent"`
	Normal     float64 `yaml:"Normal"`
	Background float64 `yaml:"Background"`
}

// Phase is a time range in which the demand is multiplied by Factor.
type Phase struct {
	From   time.Duration `yaml:"From"`
	To     time.Duration `yaml:"To"`
	Factor float64       `yaml:"Factor"`
}

// Outcome is a set of bounds for the requests that arrive in a time range; bounds that are zero are not checked.
type Outcome struct {
	Name                  string        `yaml:"Name"`
	From                  time.Duration `yaml:"From"`
	To                    time.Duration `yaml:"To"`
	OtherGoodputAtLeast   float64       `yaml:"OtherGoodputAtLeast"`   // as a share of the goodput without the flood
	GoodputAtLeast        float64       `yaml:"GoodputAtLeast"`        // as a share of all ordinary requests
	UrgentStartWithin     time.Duration `yaml:"UrgentStartWithin"`     // 99th percentile of the wait of ordinary urgent requests
	RefusedAttemptsAtMost float64       `yaml:"RefusedAttemptsAtMost"` // as a share of the attempts of the whole run
}

// Names returns the names of the embedded traces.
func Names() (names []string, err error) {
	entries, err := traceFiles.ReadDir(traceDirectory)
	if err != nil {
		return nil, oops.In("trace").Wrapf(err, "list traces")
	}
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	return names, nil
}

// Read parses and validates the embedded trace with the given name.
func Read(name string) (trace *Trace, err error) {
	defer func() { err = oops.In("trace").With("name", name).Wrapf(err, "load trace") }()
	content, err := traceFiles.ReadFile(path.Join(traceDirectory, name+".yaml"))
	if err != nil {
		return nil, err
	}
	return Parse(content)
}

// Parse decodes a trace from YAML and validates it; unknown keys are errors.
func Parse(content []byte) (trace *Trace, err error) {
	trace = &Trace{}
	if err = yaml.UnmarshalWithOptions(content, trace, yaml.DisallowUnknownField()); err != nil {
		return nil, err
	}
	if err = trace.validate(); err != nil {
		return nil, err
	}
	return trace, nil
}

// Config returns the simulation configuration for the trace.
func (t *Trace) Config(policy model.Policy, seed uint64) (config model.Config) {
	config = model.Config{Policy: policy, Seed: seed, DataCentres: t.DataCentres, Entries: t.Entries, Duration: t.Duration}
	for _, pool := range t.Pools {
		config.Pools = append(config.Pools, model.Pool{Name: pool.Name, Workers: pool.Workers, Slots: t.Slots})
	}
	for _, team := range t.Teams {
		config.Teams = append(config.Teams, model.Team(team))
	}
	for _, load := range t.Load {
		config.Load = append(config.Load, load.sources()...)
	}
	for _, outcome := range t.Outcomes {
		config.Windows = append(config.Windows, model.Window{From: outcome.From, To: outcome.To})
	}
	return config
}

// WithoutFlood returns a copy of the configuration without floods. Ordinary requests arrive at the same times as in the original.
func WithoutFlood(config model.Config) model.Config {
	load := make([]model.Source, len(config.Load))
	for i, source := range config.Load {
		if source.Flood {
			source.Demand = 0
		}
		load[i] = source
	}
	config.Load = load
	return config
}

// sources returns one request source per pool and urgency class with a positive share.
func (l Load) sources() (sources []model.Source) {
	shares := [acaciatally.UrgencyClasses]float64{l.Urgency.Urgent, l.Urgency.Normal, l.Urgency.Background}
	for _, pool := range l.Pools {
		for urgency, share := range shares {
			if share > 0 {
				sources = append(sources, l.source(pool, acaciatally.Urgency(urgency), share))
			}
		}
	}
	return sources
}

func (l Load) source(pool acaciatally.PoolName, urgency acaciatally.Urgency, share float64) model.Source {
	source := model.Source{
		Pool: pool, Teams: l.Teams, Urgency: urgency, Flood: l.Flood, Demand: l.Demand * share, ServiceTime: l.ServiceTime,
		ServiceTimeSpread: l.ServiceTimeSpread, Deadline: l.Deadline, Bytes: l.Bytes, BaseFactor: l.BaseFactor,
	}
	for _, phase := range l.Phases {
		source.Phases = append(source.Phases, model.Phase(phase))
	}
	return source
}

// SendsFlood reports whether the team sends any flood of the trace.
func (t *Trace) SendsFlood(team acaciatally.TeamName) bool {
	return slices.ContainsFunc(t.Load, func(load Load) bool { return load.Flood && slices.Contains(load.Teams, team) })
}
