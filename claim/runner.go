package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
)

const (
	// MaxCommitsPerSecond is the number of commits per second that all entries together may use for claims. The platform handles
	// several hundred per second; the rest is left for the changelog, the leases and the tasks.
	MaxCommitsPerSecond = 300
	// failureBackoff limits an entry to 5 calls per second while the platform is unavailable.
	failureBackoff = 200 * time.Millisecond
	// flushTimeout limits the time for the last settlements during shutdown.
	flushTimeout = 5 * time.Second
	maxBatch     = 100  // operations per transaction, the largest transaction that the system design allows
	maxPending   = 4096 // operations; at 100 per transaction they take about 1.5 seconds
)

// errUnavailable is returned for a claim that the table service did not accept.
var errUnavailable = errors.New("the table service does not take claims")

// CommitInterval returns the time between two commits of one entry out of several. It is at least the configured time and long enough that
// all entries together stay within MaxCommitsPerSecond.
func CommitInterval(configured time.Duration, entries int) time.Duration {
	return max(configured, time.Duration(entries)*time.Second/MaxCommitsPerSecond)
}

// RunnerConfig holds the settings of a Runner.
type RunnerConfig struct {
	Table    acaciatally.TableService
	Interval time.Duration // minimum time between the starts of two commits
	Clock    acaciatally.Clock
	Metrics  *metrics.Set
}

// Runner executes the actions of a Batcher; it is safe for concurrent use.
type Runner struct {
	config  RunnerConfig
	wake    chan struct{}
	reads   *metrics.Counter
	commits *metrics.Counter
	rows    *metrics.Counter

	mu      sync.Mutex
	batcher *Batcher
	waiters map[*Operation]chan Result
}

// NewRunner returns a runner that processes operations once Run is called.
func NewRunner(config RunnerConfig) *Runner {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Runner{
		config:  config,
		wake:    make(chan struct{}, 1),
		reads:   config.Metrics.GetOrCreateCounter(`acaciatally_claim_platform_calls_total{kind="read"}`),
		commits: config.Metrics.GetOrCreateCounter(`acaciatally_claim_platform_calls_total{kind="commit"}`),
		rows:    config.Metrics.GetOrCreateCounter(`acaciatally_claim_rows_written_total`),
		batcher: NewBatcher(BatcherConfig{
			Interval: config.Interval, Backoff: failureBackoff, MaxBatch: maxBatch, MaxPending: maxPending,
		}),
		waiters: map[*Operation]chan Result{},
	}
}

// Claim waits for the result of a claim. If ctx ends first, the claim is released and the error of ctx is returned; if the table
// service does not accept the claim, another error is returned.
func (r *Runner) Claim(ctx context.Context, operation *Operation) (result Result, err error) {
	done := make(chan Result, 1)
	if !r.submit(operation, done) {
		return Result{}, errUnavailable
	}
	select {
	case result = <-done:
	case <-ctx.Done():
		if !r.abandon(operation, done) {
			return Result{}, ctx.Err()
		}
		result = <-done
	}
	if result.Status == Unavailable {
		return Result{}, errUnavailable
	}
	return result, nil
}

func (r *Runner) submit(operation *Operation, done chan Result) (accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.batcher.Submit(operation) {
		return false
	}
	r.waiters[operation] = done
	r.signal()
	return true
}

// abandon withdraws a claim; it returns true and does nothing if the result has already been delivered.
func (r *Runner) abandon(operation *Operation, done chan Result) (finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(done) > 0 {
		return true
	}
	delete(r.waiters, operation)
	r.batcher.Abandon(operation)
	r.signal()
	return false
}

// Settle replaces the row of a claim held by this entry in the background.
func (r *Runner) Settle(operation *Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batcher.Submit(operation)
	r.signal()
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run executes actions until ctx ends, and then until no operation is left or the flush timeout has passed; the error is always nil.
func (r *Runner) Run(ctx context.Context) (err error) {
	r.runUntil(ctx, func() bool { return false })
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	r.runUntil(flush, r.idle)
	return nil
}

func (r *Runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batcher.Idle()
}

func (r *Runner) runUntil(ctx context.Context, stop func() bool) {
	for ctx.Err() == nil && !stop() {
		action := r.next()
		switch {
		case action.Commit != nil:
			r.commit(ctx, *action.Commit)
		case action.Read != nil:
			r.read(ctx, action.Read)
		default:
			r.sleep(ctx, action.Wait)
		}
	}
}

func (r *Runner) next() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batcher.Next(r.config.Clock.Now())
}

func (r *Runner) sleep(ctx context.Context, until time.Time) {
	var due <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(until.Sub(r.config.Clock.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-r.wake:
	}
}

func (r *Runner) commit(ctx context.Context, transaction acaciatally.Transaction) {
	r.commits.Inc()
	r.rows.Add(len(transaction.Writes))
	version, err := r.config.Table.Commit(ctx, transaction)
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		r.deliver(r.batcher.CommitSucceeded(version))
	case errors.As(err, &conflict):
		r.batcher.CommitConflicted(conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnavailable) && !errors.Is(err, acaciatally.ErrUnknownCommit):
		r.deliver(r.batcher.CommitFailed(r.config.Clock.Now()))
	default:
		r.batcher.CommitUnknown()
	}
}

func (r *Runner) read(ctx context.Context, keys []string) {
	r.reads.Inc()
	rows, err := r.config.Table.Read(ctx, keys...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.deliver(r.batcher.ReadFailed(r.config.Clock.Now()))
		return
	}
	r.deliver(r.batcher.ReadSucceeded(rows))
}

func (r *Runner) deliver(results []Result) {
	for _, result := range results {
		if done, found := r.waiters[result.Operation]; found {
			delete(r.waiters, result.Operation)
			done <- result
		}
	}
}
