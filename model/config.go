package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// Policy names a way to bring requests to workers.
type Policy string

// The policies; those whose names start with Baseline are compared against, the others are designs that were considered.
const (
	// SlotHome is the chosen design: the pool's slot home queues and grants, the entry sends.
	SlotHome Policy = "SlotHome"
	// WorkerHome forwards each request to the home entry of a worker, which queues for that worker.
	WorkerHome Policy = "WorkerHome"
	// SlotCredits lets the slot home lend slots to entries, which queue alone.
	SlotCredits Policy = "SlotCredits"
	// BaselineAlone lets each entry choose alone by power of two choices; endpoints refuse and entries retry.
	BaselineAlone Policy = "BaselineAlone"
	// BaselineRoundRobin lets each entry choose workers in turn; endpoints refuse and entries retry.
	BaselineRoundRobin Policy = "BaselineRoundRobin"
	// BaselineArrivalOrder is a slot home with one queue in order of arrival.
	BaselineArrivalOrder Policy = "BaselineArrivalOrder"
	// BaselineStrictPriority is a slot home with one queue in order of arrival for each urgency class.
	BaselineStrictPriority Policy = "BaselineStrictPriority"
)

// Config describes one run.
type Config struct {
	Policy      Policy
	Seed        uint64
	DataCentres []acaciatally.DataCentre
	Entries     int
	Pools       []Pool
	Teams       []Team
	Load        []Source
	Faults      []Fault
	Duration    time.Duration // arrivals end then; the run ends with the last request
	Windows     []Window      // times whose arrivals are counted apart; their tallies are empty
	Queue       queue.Config
	Route       route.Config
}

// Pool is a pool of equal workers, spread evenly over the data centres.
type Pool struct {
	Name    acaciatally.PoolName
	Workers int
	Slots   int // of a worker
}

// Team is a team with its quota in slots of each pool; 0 for none.
type Team struct {
	Name  acaciatally.TeamName
	Quota int
}

// Source is a stream of requests with Poisson arrivals.
type Source struct {
	Pool     acaciatally.PoolName
	Teams    []acaciatally.TeamName // requests go to them in equal parts
	Urgency  acaciatally.Urgency
	Flood    bool
	Demand   float64       // mean share of the pool's slots that the stream needs
	Service  time.Duration // mean service time
	Spread   float64       // standard deviation of the logarithm of the service time
	Deadline time.Duration
	Bytes    int64
	Fails    bool    // every worker answers the requests with an error after a millisecond
	Phases   []Phase // factors on the demand; outside of them it is Otherwise
	// Otherwise is the factor on the demand outside the phases.
	Otherwise float64
}

// Phase is a time in which the demand is multiplied.
type Phase struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// FaultKind is what is wrong with a worker.
type FaultKind string

// The kinds of faults of workers.
const (
	FailsFast FaultKind = "FailsFast" // answers every request with an error after a millisecond
	Slow      FaultKind = "Slow"      // takes ten times as long
)

// Fault is a time in which a worker is faulty.
type Fault struct {
	Pool   acaciatally.PoolName
	Worker int // index in the pool
	Kind   FaultKind
	From   time.Duration
	To     time.Duration
}

// The properties of the modelled network and of faulty workers.
const (
	betweenDataCentres = time.Millisecond
	withinDataCentre   = 100 * time.Microsecond
	toClient           = 3 * time.Millisecond
	fastFailure        = time.Millisecond
	slowFactor         = 10
)
