package route

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Config holds the settings of a Router; zero values select the defaults.
type Config struct {
	BreakerShare   float64       // error rate above which the circuit breaker opens, default 0.5
	BreakerSamples int           // minimum samples in the window before the breaker can open, default 20
	BreakerWindow  time.Duration // length of the sliding window, default 60 s
	BreakerOpen    time.Duration // time until the first probe after opening, default 30 s
	MaxProbes      int           // maximum concurrent probes, and successful probes that close the breaker, default 5

	ProbationFailures  int           // consecutive fast failures that start probation, default 3
	ProbationInterval  time.Duration // minimum time between attempts in probation, default 1 s
	ProbationSuccesses int           // consecutive successes that end probation, default 5
	MaxRestricted      float64       // share of workers with an open breaker or in probation above which both are ignored, default 0.5

	// DisableProbation disables probation and the load penalties for failures; used by measurements.
	DisableProbation bool
	// DisableBreaker disables the circuit breakers; used by measurements.
	DisableBreaker bool
}

// Default values of Config. The circuit breaker's values are from the article "Reliability for Multi-Model Systems: Timeouts, Retries,
// Circuit Breaking, and Failover", section 4.
const (
	defaultBreakerShare       = 0.5
	defaultBreakerSamples     = 20
	defaultBreakerWindow      = time.Minute
	defaultBreakerOpen        = 30 * time.Second
	defaultMaxProbes          = 5
	defaultProbationFailures  = 3
	defaultProbationInterval  = time.Second
	defaultProbationSuccesses = 5
	// If more than half of a pool fails, the likely cause is the requests or the service rather than single workers.
	defaultMaxRestricted = 0.5
)

// Request holds the properties of a request that affect the choice of a worker.
type Request struct {
	DataCentre acaciatally.DataCentre   // data centre of the entry that will send the request
	Exclude    []acaciatally.InstanceID // workers that the request was sent to before; Pick chooses them only if no other is free
}

// Worker is a worker of the pool that may receive new requests.
type Worker struct {
	ID         acaciatally.InstanceID
	DataCentre acaciatally.DataCentre
	Slots      int
	BusySlots  int // granted slots
}

func (c Config) withDefaults() Config {
	setDefaultShare(&c.BreakerShare, defaultBreakerShare)
	setDefaultCount(&c.BreakerSamples, defaultBreakerSamples)
	setDefaultDuration(&c.BreakerWindow, defaultBreakerWindow)
	setDefaultDuration(&c.BreakerOpen, defaultBreakerOpen)
	setDefaultCount(&c.MaxProbes, defaultMaxProbes)
	setDefaultCount(&c.ProbationFailures, defaultProbationFailures)
	setDefaultDuration(&c.ProbationInterval, defaultProbationInterval)
	setDefaultCount(&c.ProbationSuccesses, defaultProbationSuccesses)
	setDefaultShare(&c.MaxRestricted, defaultMaxRestricted)
	return c
}

func setDefaultShare(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

func setDefaultCount(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func setDefaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
