package slot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// Sessions opens streams to other entries; *peer.Node is one.
type Sessions interface {
	Open(ctx context.Context, to acaciatally.EntryID, kind peer.StreamKind) (stream *peer.Stream, err error)
}

// Config configures a Service; Default replaces zero values that have a default.
type Config struct {
	Self       acaciatally.EntryID
	DataCentre acaciatally.DataCentre
	Membership acaciatally.Membership
	// State returns the control state in force.
	State func() *fleet.State
	Queue queue.Config
	Route route.Config
	// RetryShare is the share of a pool's requests that may be retried, across all entries, default 0.05.
	RetryShare float64
	// Fallback grants slots while no slot home replies; the default is a FallbackSource.
	Fallback acaciatally.SlotSource
	// OnLeaving is called with each instance whose health path returns status 503, which announces that it leaves service.
	OnLeaving func(instance acaciatally.InstanceID)
	// Probe returns the HTTP status of a GET; the default uses http.DefaultClient.
	Probe   func(ctx context.Context, url string) (status int, err error)
	Random  *rand.Rand
	Metrics *metrics.Set

	ReplyTimeout  time.Duration // time in which a slot home must send its first reply, default 50 ms
	HandoverDelay time.Duration // time in which a new slot home collects reports of held slots before it grants any, default 300 ms
	ProbeInterval time.Duration // interval between health probes of a worker, default 1 s
}

// Default replaces zero values by their defaults.
func (c *Config) Default() {
	defaults := map[*time.Duration]time.Duration{
		&c.ReplyTimeout: 50 * time.Millisecond, &c.HandoverDelay: 300 * time.Millisecond, &c.ProbeInterval: time.Second,
	}
	for value, defaultValue := range defaults {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if c.RetryShare == 0 {
		c.RetryShare = 0.05
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func(acaciatally.InstanceID) {}
	}
	if c.Probe == nil {
		c.Probe = probeHTTP
	}
}

// toRefusal returns the refusal in err's chain, a refusal with status 503 for any other error, and nil if err is nil.
func toRefusal(err error) *acaciatally.Refusal {
	if err == nil {
		return nil
	}
	var refusal *acaciatally.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: err.Error()}
}
