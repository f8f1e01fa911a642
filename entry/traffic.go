package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
	"github.com/acaciatally/acaciatally/answer"
	"github.com/acaciatally/acaciatally/attempt"
	"github.com/acaciatally/acaciatally/claim"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/identity"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/urgency"
)

const (
	// maxBuffered bounds the memory for request bodies of one entry.
	maxBuffered = 256 << 20
	// idleTimeout cuts an answer that stands still while its caller still has time.
	idleTimeout = 10 * time.Second
)

// traffic is the path of a caller's request: each filter works on the exchange in order, and the first refusal ends it.
type traffic struct {
	filters []acaciatally.Filter
	claim   *claim.Filter
	attempt *attempt.Filter
}

// newTraffic lists the filters in the order in which a request passes them. An attempt takes a slot from the queue and a
// worker for each try, so queue and route are part of it.
func newTraffic(p *Process) *traffic {
	limits := p.config.Settings.Traffic
	t := &traffic{
		claim: claim.New(claim.Config{
			Entry: p.config.Entry.ID, Runner: p.claims, Objects: p.config.Objects, Clock: p.config.Clock,
		}),
		attempt: attempt.New(attempt.Config{
			Slots: p.watch.recorder, Dial: p.config.Dial, ProvesNotRun: p.provesNotRun, Budget: attempt.NewBudget(limits.RetryBudget),
			MaxRetries: limits.MaxRetries, MaxAnswer: int64(limits.MaxAnswer), MaxIdle: idleConnections(p.config.Settings),
			ConnectTimeout: limits.ConnectTimeout, IdleTimeout: idleTimeout,
			Clock: p.config.Clock, Random: rand.Float64, Metrics: p.metrics,
		}),
	}
	t.use(p.metrics,
		identity.New(identity.Config{
			MaxHeader: int64(limits.MaxHeader), MaxBody: int64(limits.MaxBody), MaxBuffered: maxBuffered, Known: directory{p.log.State}.HasPool,
		}),
		urgency.New(urgency.Config{
			DefaultDeadline: limits.DefaultDeadline, MaxDeadline: limits.MaxDeadline,
			ClaimRetention: limits.ClaimRetention, Clock: p.config.Clock,
		}),
		admission.New(admission.Config{
			Directory: directory{p.log.State}, MaxLength: maxInFlight, MaxBytes: maxBuffered,
		}),
		t.claim,
		t.attempt,
		answer.New(),
	)
	return t
}

// idleConnections is this entry's share of the connections of a worker that its slots leave over, so that all entries together
// stay within the worker's bound.
func idleConnections(deployment *settings.Settings) int {
	idle := math.MaxInt
	for _, pool := range deployment.Pools {
		for _, instance := range pool.Instances {
			idle = min(idle, (instance.Connections-instance.Slots)/max(len(deployment.Entries), 1))
		}
	}
	return max(idle, 1)
}

// directory looks up pools and teams in the configuration in force.
type directory struct{ state func() *fleet.State }

// HasPool reports whether the pool exists.
func (d directory) HasPool(pool acaciatally.PoolName) bool {
	_, found := d.state().Pools[pool]
	return found
}

// HasTeam reports whether the team exists; callers without a team share the default one.
func (d directory) HasTeam(team acaciatally.TeamName) bool {
	_, found := d.state().Teams[team]
	return found || team == identity.DefaultTeam
}

func (t *traffic) use(set *metrics.Set, filters ...acaciatally.Filter) {
	for _, filter := range filters {
		t.filters = append(t.filters, observe(filter, set))
	}
}

// serve answers one request; it fails with answer.ErrBrokenOff when the caller's connection must be cut.
func (t *traffic) serve(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	defer exchange.Finish()
	for _, filter := range t.filters {
		if err = filter.Run(ctx, exchange); err != nil {
			return t.end(exchange, err)
		}
	}
	return nil
}

// end tells the caller why there is no answer.
func (t *traffic) end(exchange *acaciatally.Exchange, err error) error {
	if errors.Is(err, answer.ErrBrokenOff) {
		return err
	}
	if !errors.As(err, &exchange.Refusal) {
		exchange.Refusal = &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusInternalServerError, Reason: err.Error(),
		}
	}
	answer.Refuse(exchange.Writer, exchange.Request.ID, exchange.Refusal)
	return nil
}

// observed counts a filter's runs and refusals, measures its latency and annotates its errors.
type observed struct {
	acaciatally.Filter
	skip     func(exchange *acaciatally.Exchange) bool
	runs     *metrics.Counter
	refusals *metrics.Counter
	latency  *metrics.Summary
}

// skipper is a filter that some exchanges can leave out.
type skipper interface {
	Skip(exchange *acaciatally.Exchange) bool
}

func observe(filter acaciatally.Filter, set *metrics.Set) *observed {
	watched := &observed{
		Filter:   filter,
		runs:     set.GetOrCreateCounter(fmt.Sprintf("acaciatally_filter_runs_total{filter=%q}", filter)),
		refusals: set.GetOrCreateCounter(fmt.Sprintf("acaciatally_filter_refusals_total{filter=%q}", filter)),
		latency:  set.GetOrCreateSummary(fmt.Sprintf("acaciatally_filter_seconds{filter=%q}", filter)),
	}
	if optional, found := filter.(skipper); found {
		watched.skip = optional.Skip
	}
	return watched
}

// Run runs the filter unless the exchange can leave it out.
func (o *observed) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	if o.skip != nil && o.skip(exchange) {
		return nil
	}
	start := time.Now()
	o.runs.Inc()
	err = o.Filter.Run(ctx, exchange)
	o.latency.UpdateDuration(start)
	if err != nil {
		o.refusals.Inc()
	}
	return o.annotate(err, exchange)
}

// annotate leaves refusals as they are, since the caller reads them.
func (o *observed) annotate(err error, exchange *acaciatally.Exchange) error {
	var refusal *acaciatally.Refusal
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	return oops.In("traffic").With("filter", o.String(), "request", exchange.Request.ID).Wrap(err)
}
