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
	// PlatformWrites is the share of the platform's several hundred commits a second that all entries together may use for
	// claims; the rest is for the log, the leases and the tasks.
	PlatformWrites = 300
	// failureBackoff keeps an entry at 5 calls a second while the platform is down.
	failureBackoff = 200 * time.Millisecond
	// flushTimeout bounds the wait for the last settlements of an entry that stops.
	flushTimeout = 5 * time.Second
	maxBatch     = 100  // the largest transaction of the design
	maxPending   = 4096 // claims; at 100 a transaction they need a second and a half
)

// errUnavailable is returned for a claim that the table service did not take.
var errUnavailable = errors.New("the table service does not take claims")

// Interval returns the time between two commits of one of several entries, at least the configured one, so that all of them
// together stay within PlatformWrites.
func Interval(configured time.Duration, entries int) time.Duration {
	return max(configured, time.Duration(entries)*time.Second/PlatformWrites)
}

// RunnerConfig is what a Runner needs.
type RunnerConfig struct {
	Table    acaciatally.TableService
	Interval time.Duration
	Clock    acaciatally.Clock
	Metrics  *metrics.Set
}

// Runner carries out a Batcher's actions; it is safe for concurrent use.
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

// NewRunner returns a runner that works once Run is called.
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

// Claim waits for the end of a claim; when ctx ends first, the claim is released and ctx's error returned.
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
	if result.Verdict == Unavailable {
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

// abandon gives a claim up unless its result is there already.
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

// Settle replaces an own claim's row in the background.
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

// Run carries out actions until ctx ends, and then for a bounded time until no operation is left.
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

func (r *Runner) runUntil(ctx context.Context, enough func() bool) {
	for ctx.Err() == nil && !enough() {
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
		r.deliver(r.batcher.Committed(version))
	case errors.As(err, &conflict):
		r.batcher.Conflicted(conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnavailable) && !errors.Is(err, acaciatally.ErrUnknownCommit):
		r.deliver(r.batcher.Failed(r.config.Clock.Now()))
	default:
		r.batcher.Lost()
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
	r.deliver(r.batcher.ReadBack(rows))
}

func (r *Runner) deliver(results []Result) {
	for _, result := range results {
		if done, found := r.waiters[result.Operation]; found {
			delete(r.waiters, result.Operation)
			done <- result
		}
	}
}
