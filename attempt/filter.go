package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
)

const (
	// retryAfter is the advice to a caller whose request did not run.
	retryAfter = time.Second
	// backoffBase and backoffLimit bound the pause before a retry; it is drawn evenly between 0 and the bound, which doubles
	// with each retry (full jitter; idea of the paper, section 1).
	backoffBase  = 25 * time.Millisecond
	backoffLimit = time.Second
	// maxAnswerHeader bounds the memory for the header of an endpoint's answer.
	maxAnswerHeader = 64 << 10
	// maxIdle bounds the idle connections to all endpoints: one for each worker of the target size, and more for some.
	maxIdle = 4096
	// idleConnections outlive the pauses between requests, but not the endpoints' usual keep-alive time of a minute.
	idleConnections = 45 * time.Second
)

// Config is what a Filter needs.
type Config struct {
	Slots acaciatally.SlotSource
	// Dial opens connections to endpoints; nil is the network.
	Dial Dial
	// ProvesNotRun returns the statuses with which a pool's endpoints refuse a request without running it.
	ProvesNotRun func(pool acaciatally.PoolName) []int
	Budget       RetryBudget
	MaxRetries   int
	MaxAnswer    int64 // bytes of an answer that are buffered
	// MaxIdle bounds the connections to one endpoint that are kept without a request. Slots bound those with one.
	MaxIdle          int
	ConnectTimeout   time.Duration
	FirstByteTimeout time.Duration // 0 leaves only the request's deadline
	IdleTimeout      time.Duration
	Clock            acaciatally.Clock
	// Random returns a number in [0, 1).
	Random  func() float64
	Metrics *metrics.Set
}

// Filter sends requests; it is safe for concurrent use.
type Filter struct {
	config    Config
	transport *http.Transport
	retries   *metrics.Counter
}

// New returns a filter without connections.
func New(config Config) *Filter {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	return &Filter{
		config: config,
		transport: &http.Transport{
			DialContext:            recordingDial(config.Dial, config.ConnectTimeout),
			DisableCompression:     true, // answers pass unchanged
			MaxIdleConns:           maxIdle,
			MaxIdleConnsPerHost:    config.MaxIdle,
			IdleConnTimeout:        idleConnections,
			MaxResponseHeaderBytes: maxAnswerHeader,
		},
		retries: config.Metrics.GetOrCreateCounter("acaciatally_retries_total"),
	}
}

// Close closes the connections that no request uses.
func (f *Filter) Close() { f.transport.CloseIdleConnections() }

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "attempt" }

// Skip reports whether the request has its answer already.
func (f *Filter) Skip(exchange *acaciatally.Exchange) bool { return exchange.Answer != nil }

// Run fills in the answer after up to MaxRetries retries; it fails with *acaciatally.Refusal.
func (f *Filter) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	ctx, cancel := context.WithDeadline(ctx, exchange.Request.Deadline)
	exchange.OnFinish(func(*acaciatally.Exchange) { cancel() }) // the answer may be read until then
	f.config.Budget.Request()
	course := course{filter: f, exchange: exchange}
	for {
		failed, err := course.attempt(ctx)
		if err != nil || failed == nil {
			return err
		}
		if !course.mayRetry(ctx, failed) {
			return course.give(ctx, failed)
		}
		f.retries.Inc()
		course.last = failed
		f.pause(ctx, exchange.Attempts)
	}
}

func (f *Filter) pause(ctx context.Context, attempts int) {
	bound := min(backoffBase<<(attempts-1), backoffLimit)
	timer := time.NewTimer(time.Duration(f.config.Random() * float64(bound)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// course is the sequence of attempts of one request.
type course struct {
	filter     *Filter
	exchange   *acaciatally.Exchange
	last       *failure
	mayHaveRun bool // an attempt ended as Unknown
}

// attempt takes a slot and sends the request once; err is the refusal when no slot is to be had.
func (c *course) attempt(ctx context.Context) (failed *failure, err error) {
	grant, err := c.filter.config.Slots.Acquire(ctx, c.exchange.Request)
	if err != nil {
		return nil, c.noSlot(ctx, err)
	}
	release := c.releaser(ctx, grant)
	if !c.exchange.Request.Deadline.After(c.filter.config.Clock.Now()) || ctx.Err() != nil {
		grant.Release(acaciatally.AttemptResult{})
		return nil, c.noSlot(ctx, context.DeadlineExceeded)
	}
	c.exchange.Attempts++
	c.exchange.Grant = grant
	c.exchange.Request.Retry = true // what the slot home is asked for from now on
	c.exchange.Request.Tried = append(c.exchange.Request.Tried, grant.Worker)
	answer, failed := c.filter.send(ctx, c.exchange, grant)
	if failed != nil {
		release(failed, nil)
		c.mayHaveRun = c.mayHaveRun || failed.outcome != acaciatally.NotRun
		return failed, nil
	}
	return c.accept(ctx, answer, release)
}

// accept takes the answer, unless its status leaves open whether an idempotent request ran and another attempt is allowed.
func (c *course) accept(ctx context.Context, answer *acaciatally.Answer, release releaseFunc) (failed *failure, err error) {
	if answer.Rest != nil {
		answer.Rest = &releasing{ReadCloser: answer.Rest, release: func() { release(nil, answer) }}
		c.exchange.OnFinish(func(*acaciatally.Exchange) { _ = answer.Rest.Close() })
		c.exchange.Answer = answer
		return nil, nil
	}
	release(nil, answer)
	if answer.Outcome == acaciatally.Unknown {
		c.mayHaveRun = true
		failed = &failure{outcome: acaciatally.Unknown, status: answer.Status, err: errUnclear}
		if c.mayRetry(ctx, failed) {
			return failed, nil
		}
	}
	c.exchange.Answer = answer
	return nil, nil
}

// mayRetry reports whether another attempt cannot double anything and the budget allows it.
func (c *course) mayRetry(ctx context.Context, failed *failure) bool {
	again := failed.outcome == acaciatally.NotRun || (failed.outcome == acaciatally.Unknown && c.exchange.Request.Idempotent)
	return again && c.exchange.Attempts <= c.filter.config.MaxRetries && ctx.Err() == nil && c.filter.config.Budget.Retry()
}

func (c *course) give(ctx context.Context, failed *failure) error {
	return failed.refusal(ctx, c.mayHaveRun)
}

// noSlot is the refusal of a request without a slot; an earlier attempt that may have run makes its outcome Unknown.
func (c *course) noSlot(ctx context.Context, err error) error {
	var refusal *acaciatally.Refusal
	if !errors.As(err, &refusal) {
		return (&failure{outcome: acaciatally.NotRun, err: err}).refusal(ctx, c.mayHaveRun)
	}
	if c.mayHaveRun {
		refusal = &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusBadGateway, Reason: c.last.err.Error() + ", then " + refusal.Reason,
		}
	}
	return refusal
}

type releaseFunc func(failed *failure, answer *acaciatally.Answer)

// releaser returns a function that gives the slot back on its first call.
func (c *course) releaser(ctx context.Context, grant *acaciatally.Grant) releaseFunc {
	var once sync.Once
	start := c.filter.config.Clock.Now()
	return func(failed *failure, answer *acaciatally.Answer) {
		once.Do(func() {
			result := acaciatally.AttemptResult{ServiceTime: c.filter.config.Clock.Now().Sub(start)}
			if failed != nil {
				result.Outcome, result.Status = failed.outcome, failed.status
				result.Refused = errors.Is(failed.err, errProvedNotRun)
				result.CutOff = ctx.Err() != nil
			}
			if answer != nil {
				result.Outcome, result.Status = answer.Outcome, answer.Status
			}
			grant.Release(result)
		})
	}
}

// releasing gives the slot back when the answer is closed.
type releasing struct {
	io.ReadCloser
	release func()
}

// Close closes the answer and gives the slot back.
func (r *releasing) Close() error {
	err := r.ReadCloser.Close()
	r.release()
	return err
}
