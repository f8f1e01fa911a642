package model

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// Policy is the name of a request scheduling and routing policy.
type Policy string

// The policies. Those whose names start with Baseline are baselines for comparison, the others are designs that were considered.
const (
	// SlotHome is the chosen design: one entry per pool, the slot home, queues the requests and grants slots; the entry that received a
	// request sends it to the worker.
	SlotHome Policy = "SlotHome"
	// WorkerHome forwards each request to the home entry of a worker, which queues it for that worker and sends it.
	WorkerHome Policy = "WorkerHome"
	// SlotCredits divides the slots of a pool among the entries, each of which has its own queue; the slot home moves idle slots by demand.
	SlotCredits Policy = "SlotCredits"
	// BaselineAlone lets each entry choose workers by power of two choices from its own load data; full endpoints refuse and entries retry.
	BaselineAlone Policy = "BaselineAlone"
	// BaselineRoundRobin lets each entry choose workers round-robin; full endpoints refuse and entries retry.
	BaselineRoundRobin Policy = "BaselineRoundRobin"
	// BaselineArrivalOrder is a slot home with a single FIFO queue.
	BaselineArrivalOrder Policy = "BaselineArrivalOrder"
	// BaselineStrictPriority is a slot home with a FIFO queue for each urgency class; more urgent classes are always served first.
	BaselineStrictPriority Policy = "BaselineStrictPriority"
)

// Config configures one simulation run.
type Config struct {
	Policy      Policy
	Seed        uint64
	DataCentres []acaciatally.DataCentre
	Entries     int
	Pools       []Pool
	Teams       []Team
	Load        []Source
	Faults      []Fault
	Duration    time.Duration // arrivals end after it; the run ends with the last request
	Windows     []Window      // intervals whose arrivals are also counted separately; their tallies must be empty
	Queue       queue.Config
	Route       route.Config
}

// Pool describes a pool of identical workers, spread evenly over the data centres.
type Pool struct {
	Name    acaciatally.PoolName
	Workers int
	Slots   int // of each worker
}

// Team describes a team and its quota in slots of each pool; 0 means no quota.
type Team struct {
	Name  acaciatally.TeamName
	Quota int
}

// Source is a stream of requests with Poisson arrivals.
type Source struct {
	Pool              acaciatally.PoolName
	Teams             []acaciatally.TeamName // each request belongs to one of them, chosen uniformly at random
	Urgency           acaciatally.Urgency
	Flood             bool          // whether its requests are counted in Window.Flood
	Demand            float64       // mean demand as a fraction of the pool's slots, before the factor of the phase
	ServiceTime       time.Duration // mean service time
	ServiceTimeSpread float64       // standard deviation of the logarithm of the service time
	Deadline          time.Duration // as seen by the caller, including the delays between caller and entry
	Bytes             int64
	AlwaysFails       bool    // every worker responds to the requests with an error after a millisecond
	Phases            []Phase // intervals in which Demand is multiplied by their factor
	// BaseFactor is the factor by which Demand is multiplied outside the phases.
	BaseFactor float64
}

// Phase is an interval in which the demand of a Source is multiplied by Factor.
type Phase struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// FaultKind is the kind of a worker's fault.
type FaultKind string

// The kinds of worker faults.
const (
	FailsFast FaultKind = "FailsFast" // responds to every request with an error after a millisecond
	Slow      FaultKind = "Slow"      // takes ten times the service time
)

// Fault is an interval in which a worker is faulty.
type Fault struct {
	Pool   acaciatally.PoolName
	Worker int // index of the worker in the pool
	Kind   FaultKind
	From   time.Duration
	To     time.Duration
}

// One-way delays of the modelled network, and the behaviour of faulty workers.
const (
	interDataCentreDelay = time.Millisecond
	intraDataCentreDelay = 100 * time.Microsecond
	clientDelay          = 3 * time.Millisecond
	failureDelay         = time.Millisecond
	slowFactor           = 10
)
