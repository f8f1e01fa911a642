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
	// retryAfter is the Retry-After value for a caller whose request did not run.
	retryAfter = time.Second
	// backoffBase and backoffLimit bound the delay before a retry. The delay is uniformly distributed between 0 and a bound that
	// starts at backoffBase and doubles with each retry up to backoffLimit (full jitter; see the article "Reliability for Multi-Model
	// Systems: Timeouts, Retries, Circuit Breaking, and Failover", section 1).
	backoffBase  = 25 * time.Millisecond
	backoffLimit = time.Second
	// maxAnswerHeader is the maximum size in bytes of the header of an endpoint's answer.
	maxAnswerHeader = 64 << 10
	// maxIdleConnections is the maximum number of idle connections to all endpoints: one for each worker of a deployment of the
	// target size, and more for some.
	maxIdleConnections = 4096
	// idleConnectionTimeout is longer than typical pauses between requests and shorter than the endpoints' usual keep-alive timeout
	// of one minute.
	idleConnectionTimeout = 45 * time.Second
)

// Config holds the settings of a Filter.
type Config struct {
	Slots acaciatally.SlotSource
	// Dial opens connections to endpoints; nil selects a net.Dialer.
	Dial Dial
	// ProvesNotRun returns the statuses by which the endpoints of a pool refuse a request without running it.
	ProvesNotRun func(pool acaciatally.PoolName) []int
	Budget       RetryBudget
	MaxRetries   int
	MaxAnswer    int64 // maximum number of bytes of an answer that are buffered; longer answers are streamed
	// MaxIdle is the maximum number of idle connections to one endpoint. Connections in use are limited by the slots.
	MaxIdle          int
	ConnectTimeout   time.Duration
	FirstByteTimeout time.Duration // 0 for no limit but the request's deadline
	IdleTimeout      time.Duration // maximum wait for more bytes of the answer's body
	Clock            acaciatally.Clock
	// Random returns a number in the half-open interval [0, 1).
	Random  func() float64
	Metrics *metrics.Set
}

// Filter sends requests to endpoints; it is safe for concurrent use.
type Filter struct {
	config    Config
	transport *http.Transport
	retries   *metrics.Counter
}

// New returns a filter that has no open connections.
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
			DisableCompression:     true, // answers are forwarded unchanged
			MaxIdleConns:           maxIdleConnections,
			MaxIdleConnsPerHost:    config.MaxIdle,
			IdleConnTimeout:        idleConnectionTimeout,
			MaxResponseHeaderBytes: maxAnswerHeader,
		},
		retries: config.Metrics.GetOrCreateCounter("acaciatally_retries_total"),
	}
}

// Close closes the idle connections.
func (f *Filter) Close() { f.transport.CloseIdleConnections() }

// String returns the filter's name for logs and metrics.
func (f *Filter) String() string { return "attempt" }

// Skip reports whether the exchange already has an answer.
func (f *Filter) Skip(exchange *acaciatally.Exchange) bool { return exchange.Answer != nil }

// Run sends the request and fills in the answer after at most MaxRetries retries; it fails with *acaciatally.Refusal.
func (f *Filter) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	ctx, cancel := context.WithDeadline(ctx, exchange.Request.Deadline)
	exchange.OnFinish(func(*acaciatally.Exchange) { cancel() }) // until then, the answer may still be read
	f.config.Budget.Request()
	sequence := attemptSequence{filter: f, exchange: exchange}
	for {
		failed, err := sequence.attempt(ctx)
		if err != nil || failed == nil {
			return err
		}
		if !sequence.mayRetry(ctx, failed) {
			return sequence.attemptRefusal(ctx, failed)
		}
		f.retries.Inc()
		sequence.last = failed
		f.backOff(ctx, exchange.Attempts)
	}
}

func (f *Filter) backOff(ctx context.Context, attempts int) {
	bound := min(backoffBase<<(attempts-1), backoffLimit)
	timer := time.NewTimer(time.Duration(f.config.Random() * float64(bound)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attemptSequence holds the state of the successive attempts of one request.
type attemptSequence struct {
	filter     *Filter
	exchange   *acaciatally.Exchange
	last       *failure // failure of the previous attempt; nil in the first one
	mayHaveRun bool     // an attempt ended with outcome Unknown
}

// attempt acquires a slot and sends the request once; err is the refusal if no slot is granted or the deadline has passed.
func (s *attemptSequence) attempt(ctx context.Context) (failed *failure, err error) {
	grant, err := s.filter.config.Slots.Acquire(ctx, s.exchange.Request)
	if err != nil {
		return nil, s.slotRefusal(ctx, err)
	}
	release := s.releaseOnce(ctx, grant)
	if !s.exchange.Request.Deadline.After(s.filter.config.Clock.Now()) || ctx.Err() != nil {
		grant.Release(acaciatally.AttemptResult{})
		return nil, s.slotRefusal(ctx, context.DeadlineExceeded)
	}
	s.exchange.Attempts++
	s.exchange.Grant = grant
	s.exchange.Request.Retry = true // mark further slot requests as retries
	s.exchange.Request.AttemptedWorkers = append(s.exchange.Request.AttemptedWorkers, grant.Worker)
	answer, failed := s.filter.send(ctx, s.exchange, grant)
	if failed != nil {
		release(failed, nil)
		s.mayHaveRun = s.mayHaveRun || failed.outcome != acaciatally.NotRun
		return failed, nil
	}
	return s.accept(ctx, answer, release)
}

// accept sets the exchange's answer. If the answer's status leaves open whether an idempotent request ran and another attempt is
// allowed, it returns a failure instead.
func (s *attemptSequence) accept(ctx context.Context, answer *acaciatally.Answer, release releaseFunc) (failed *failure, err error) {
	if answer.Remainder != nil {
		answer.Remainder = &releasingBody{ReadCloser: answer.Remainder, release: func() { release(nil, answer) }}
		s.exchange.OnFinish(func(*acaciatally.Exchange) { _ = answer.Remainder.Close() })
		s.exchange.Answer = answer
		return nil, nil
	}
	release(nil, answer)
	if answer.Outcome == acaciatally.Unknown {
		s.mayHaveRun = true
		failed = &failure{outcome: acaciatally.Unknown, status: answer.Status, err: errAmbiguousStatus}
		if s.mayRetry(ctx, failed) {
			return failed, nil
		}
	}
	s.exchange.Answer = answer
	return nil, nil
}

// mayRetry reports whether another attempt cannot run the request twice and is within the limits of retries, deadline and budget.
func (s *attemptSequence) mayRetry(ctx context.Context, failed *failure) bool {
	safe := failed.outcome == acaciatally.NotRun || (failed.outcome == acaciatally.Unknown && s.exchange.Request.Idempotent)
	return safe && s.exchange.Attempts <= s.filter.config.MaxRetries && ctx.Err() == nil && s.filter.config.Budget.Retry()
}

func (s *attemptSequence) attemptRefusal(ctx context.Context, failed *failure) error {
	return failed.refusal(ctx, s.mayHaveRun)
}

// slotRefusal returns the refusal of a request that got no slot. If an earlier attempt may have run, the outcome is Unknown.
func (s *attemptSequence) slotRefusal(ctx context.Context, err error) error {
	var refusal *acaciatally.Refusal
	if !errors.As(err, &refusal) {
		return (&failure{outcome: acaciatally.NotRun, err: err}).refusal(ctx, s.mayHaveRun)
	}
	if s.mayHaveRun {
		refusal = &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusBadGateway, Reason: s.last.err.Error() + ", then " + refusal.Reason,
		}
	}
	return refusal
}

type releaseFunc func(failed *failure, answer *acaciatally.Answer)

// releaseOnce returns a function that releases the slot on its first call and does nothing on later calls.
func (s *attemptSequence) releaseOnce(ctx context.Context, grant *acaciatally.Grant) releaseFunc {
	var once sync.Once
	start := s.filter.config.Clock.Now()
	return func(failed *failure, answer *acaciatally.Answer) {
		once.Do(func() {
			result := acaciatally.AttemptResult{ServiceTime: s.filter.config.Clock.Now().Sub(start)}
			if failed != nil {
				result.Outcome, result.Status = failed.outcome, failed.status
				result.Refused = errors.Is(failed.err, errProvedNotRun)
				result.EndedByCaller = ctx.Err() != nil
			}
			if answer != nil {
				result.Outcome, result.Status = answer.Outcome, answer.Status
			}
			grant.Release(result)
		})
	}
}

// releasingBody releases the slot when the answer is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the answer and releases the slot.
func (r *releasingBody) Close() error {
	err := r.ReadCloser.Close()
	r.release()
	return err
}
