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
	// maxBufferedBytes limits the memory for the request bodies of one entry.
	maxBufferedBytes = 256 << 20
	// idleTimeout aborts an answer that makes no progress although its request's deadline has not passed.
	idleTimeout = 10 * time.Second
)

// pipeline runs the filters for a caller's request in order; the first error or refusal ends it.
type pipeline struct {
	filters []acaciatally.Filter
	claim   *claim.Filter
	attempt *attempt.Filter
}

// newPipeline returns the pipeline with its filters in the order in which they run. Queueing and routing are not filters of their
// own: the attempt filter acquires a slot and a worker for each try.
func newPipeline(p *Process) *pipeline {
	limits := p.config.Settings.Traffic
	result := &pipeline{
		claim: claim.New(claim.Config{
			Entry: p.config.Entry.ID, Runner: p.claims, Objects: p.config.Objects, Clock: p.config.Clock,
		}),
		attempt: attempt.New(attempt.Config{
			Slots: p.observers.recorder, Dial: p.config.Dial, ProvesNotRun: p.provesNotRun, Budget: attempt.NewBudget(limits.RetryBudget),
			MaxRetries: limits.MaxRetries, MaxAnswer: int64(limits.MaxAnswer), MaxIdle: idleConnections(p.config.Settings),
			ConnectTimeout: limits.ConnectTimeout, IdleTimeout: idleTimeout,
			Clock: p.config.Clock, Random: rand.Float64, Metrics: p.metrics,
		}),
	}
	result.addFilters(p.metrics,
		identity.New(identity.Config{
			MaxHeader: int64(limits.MaxHeader), MaxBody: int64(limits.MaxBody), MaxBuffered: maxBufferedBytes, PoolExists: directory{p.log.State}.HasPool,
		}),
		urgency.New(urgency.Config{
			DefaultDeadline: limits.DefaultDeadline, MaxDeadline: limits.MaxDeadline,
			ClaimRetention: limits.ClaimRetention, Clock: p.config.Clock,
		}),
		admission.New(admission.Config{
			Directory: directory{p.log.State}, MaxRequests: maxInFlight, MaxBodyBytes: maxBufferedBytes,
		}),
		result.claim,
		result.attempt,
		answer.New(),
	)
	return result
}

// idleConnections returns this entry's limit of idle connections to a worker. The connections that a worker accepts beyond its
// slots are divided among all entries, so that the entries together stay within the worker's connection limit.
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

// HasTeam reports whether the team exists or is the default team, which callers without a team share.
func (d directory) HasTeam(team acaciatally.TeamName) bool {
	_, found := d.state().Teams[team]
	return found || team == identity.DefaultTeam
}

func (p *pipeline) addFilters(set *metrics.Set, filters ...acaciatally.Filter) {
	for _, filter := range filters {
		p.filters = append(p.filters, instrument(filter, set))
	}
}

// serve answers one request. It returns answer.ErrTruncated if the caller's connection must be closed because the answer is truncated.
func (p *pipeline) serve(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	defer exchange.Finish()
	for _, filter := range p.filters {
		if err = filter.Run(ctx, exchange); err != nil {
			return p.refuse(exchange, err)
		}
	}
	return nil
}

// refuse writes the refusal to the caller; an error that is not a refusal becomes one with the outcome Unknown.
func (p *pipeline) refuse(exchange *acaciatally.Exchange, err error) error {
	if errors.Is(err, answer.ErrTruncated) {
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

// instrumentedFilter wraps a filter with metrics of its runs, refusals and latency, and adds context to its errors.
type instrumentedFilter struct {
	acaciatally.Filter
	skip     func(exchange *acaciatally.Exchange) bool
	runs     *metrics.Counter
	refusals *metrics.Counter
	latency  *metrics.Summary
}

// skippableFilter is a filter that some exchanges do not need.
type skippableFilter interface {
	Skip(exchange *acaciatally.Exchange) bool
}

func instrument(filter acaciatally.Filter, set *metrics.Set) *instrumentedFilter {
	wrapped := &instrumentedFilter{
		Filter:   filter,
		runs:     set.GetOrCreateCounter(fmt.Sprintf("acaciatally_filter_runs_total{filter=%q}", filter)),
		refusals: set.GetOrCreateCounter(fmt.Sprintf("acaciatally_filter_refusals_total{filter=%q}", filter)),
		latency:  set.GetOrCreateSummary(fmt.Sprintf("acaciatally_filter_seconds{filter=%q}", filter)),
	}
	if skippable, found := filter.(skippableFilter); found {
		wrapped.skip = skippable.Skip
	}
	return wrapped
}

// Run runs the filter unless the exchange can skip it.
func (f *instrumentedFilter) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	if f.skip != nil && f.skip(exchange) {
		return nil
	}
	start := time.Now()
	f.runs.Inc()
	err = f.Filter.Run(ctx, exchange)
	f.latency.UpdateDuration(start)
	if err != nil {
		f.refusals.Inc()
	}
	return f.annotate(err, exchange)
}

// annotate adds the filter's name and the request id to an error. Refusals stay unchanged, since their text goes to the caller.
func (f *instrumentedFilter) annotate(err error, exchange *acaciatally.Exchange) error {
	var refusal *acaciatally.Refusal
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	return oops.In("traffic").With("filter", f.String(), "request", exchange.Request.ID).Wrap(err)
}
