package route

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Config tunes a Router; zero values take the defaults.
type Config struct {
	BreakerShare   float64       // share of errors above which the circuit breaker opens, default 0.5
	BreakerSamples int           // samples that the circuit breaker needs, default 20
	BreakerWindow  time.Duration // age up to which samples count, default 60 s
	BreakerOpen    time.Duration // time before probes are admitted, default 30 s
	MaxProbes      int           // probes in progress at once at most, default 5

	ProbationFailures  int           // fast failures in a row that lead to probation, default 3
	ProbationInterval  time.Duration // time between attempts in probation, default 500 ms
	ProbationSuccesses int           // successes in a row that end probation, default 5
	WithoutProbation   bool          // switches probation and the load charge for failures off, for measurements
}

// Request is what the choice depends on.
type Request struct {
	DataCentre acaciatally.DataCentre   // data centre of the entry that will send the request
	Exclude    []acaciatally.InstanceID // workers that this request has been sent to already
}

// Worker is a worker of the pool that may receive new work.
type Worker struct {
	ID         acaciatally.InstanceID
	DataCentre acaciatally.DataCentre
	Slots      int
	Busy       int // slots granted
}
