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
	ProbationInterval  time.Duration // time between attempts in probation, default 1 s
	ProbationSuccesses int           // successes in a row that end probation, default 5
	MaxWithheld        float64       // share of workers above which breakers and probation are ignored, default 0.5

	// WithoutProbation turns probation and the load charge for failures off, for measurements.
	WithoutProbation bool
	// WithoutBreaker turns the circuit breakers off, for measurements.
	WithoutBreaker bool
}

// The defaults of a Config. The circuit breaker's values are those of the paper, section 4.
const (
	defaultBreakerShare       = 0.5
	defaultBreakerSamples     = 20
	defaultBreakerWindow      = time.Minute
	defaultBreakerOpen        = 30 * time.Second
	defaultMaxProbes          = 5
	defaultProbationFailures  = 3
	defaultProbationInterval  = time.Second
	defaultProbationSuccesses = 5
	// More than half of a pool failing points to the requests or to the service rather than to single workers.
	defaultMaxWithheld = 0.5
)

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

func (c Config) withDefaults() Config {
	share(&c.BreakerShare, defaultBreakerShare)
	count(&c.BreakerSamples, defaultBreakerSamples)
	duration(&c.BreakerWindow, defaultBreakerWindow)
	duration(&c.BreakerOpen, defaultBreakerOpen)
	count(&c.MaxProbes, defaultMaxProbes)
	count(&c.ProbationFailures, defaultProbationFailures)
	duration(&c.ProbationInterval, defaultProbationInterval)
	count(&c.ProbationSuccesses, defaultProbationSuccesses)
	share(&c.MaxWithheld, defaultMaxWithheld)
	return c
}

func share(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

func count(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func duration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
