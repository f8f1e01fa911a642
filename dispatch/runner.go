package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

const (
	// minEventBatchTime is the minimum time for which events are collected before the next round of decisions.
	minEventBatchTime = 3 * time.Millisecond
	// eventBatchFactor is the ratio of the time for which events are collected to the time that the last round took. It leaves most of the
	// processor to the calls that the rounds decide on, when a large fleet or backlog makes rounds slow.
	eventBatchFactor = 3
	// roundInterval limits the delay of decisions that depend only on time.
	roundInterval = 50 * time.Millisecond
	// followTimeout is the long-poll timeout for table changes; it limits how long a dead connection goes unnoticed.
	followTimeout = time.Second
	// followPause is the pause between polls, so that one answer covers several changes of a table.
	followPause = 15 * time.Millisecond
	// commitRetry is the delay after a commit or read that failed.
	commitRetry = 100 * time.Millisecond
	// leadershipRetry is the interval for checking whether an expired lease of the leader is valid again.
	leadershipRetry = 20 * time.Millisecond
	eventBuffer     = 1024
)

// ErrLeadershipLost reports that another leader has taken over.
var ErrLeadershipLost = errors.New("another leader has taken over")

// DecodeWorker decodes a record of the worker directory.
type DecodeWorker func(record acaciatally.Record) (worker acaciatally.Worker, err error)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Store            acaciatally.RecordStore
	Orders           acaciatally.WorkerOrders
	Adviser          acaciatally.Adviser // if nil, steps of queues that need advice never start
	WorkerTable      string
	DecodeWorker     DecodeWorker
	Configuration    func() *acaciatally.Configuration // returns the newest configuration; nil if there is none yet
	Now              func() time.Duration              // monotonic clock that includes time spent suspended
	Leads            func() bool                       // whether this entry may act as the leader now
	OnLeadershipLost func(epoch uint64)                // called when another leader has taken over, with its epoch; must end the leadership
	LoadsAtOnce      int                               // partitions that a new leader reads at the same time; 0 is unlimited
	Scheduler        Config
	// Round is called in the goroutine that owns the scheduler, each time after it has planned and before its commits and orders are sent;
	// nil if there is nothing to call.
	Round func(scheduler *Scheduler, now time.Duration)
}

// Runner runs a Scheduler during one term of leadership.
type Runner struct {
	config          RunnerConfig
	scheduler       *Scheduler
	events          chan func()
	loadedVersions  map[acaciatally.QueueName]uint64 // store versions at which the partitions were read
	loadsInProgress map[acaciatally.QueueName]bool
	earlyRecords    map[acaciatally.QueueName][]acaciatally.Record // of the job table, received while the partition was being read
	unloaded        map[acaciatally.QueueName]*unloadedJobs        // queues of which jobs were left in the record store
	directory       map[acaciatally.WorkerID]acaciatally.Worker
	allLoaded       bool // all partitions are loaded; until then, runs of jobs that are not loaded would be stopped as orphans
	calls           sync.WaitGroup
}

// NewRunner returns a runner for one term of leadership.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{
		config: config, scheduler: New(config.Scheduler), events: make(chan func(), eventBuffer),
		loadedVersions: map[acaciatally.QueueName]uint64{}, loadsInProgress: map[acaciatally.QueueName]bool{},
		earlyRecords: map[acaciatally.QueueName][]acaciatally.Record{},
		unloaded:     map[acaciatally.QueueName]*unloadedJobs{},
		directory:    map[acaciatally.WorkerID]acaciatally.Worker{},
	}
}

// Run dispatches jobs until ctx ends or another leader takes over.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("dispatch").With("epoch", r.config.Scheduler.Epoch).Wrapf(err, "dispatch jobs") }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.eventLoop(ctx) })
	group.Go(func() error { return r.followJobs(ctx) })
	group.Go(func() error { return r.followWorkers(ctx) })
	if r.scheduler.interference != nil {
		group.Go(func() error {
			r.loadInterference(ctx)
			return nil
		})
		defer r.config.Scheduler.EventLog.InterferenceMeasured(InterferenceStats{}) // a former leader has none
	}
	err = group.Wait()
	r.calls.Wait()
	if len(r.scheduler.usages) > 0 {
		r.config.Scheduler.EventLog.AccountUsage(nil)
	}
	if r.scheduler.speeds.slow > 0 {
		r.config.Scheduler.EventLog.SlowWorkers(0)
	}
	return err
}

// Post runs f in the goroutine that owns the scheduler.
func (r *Runner) Post(ctx context.Context, f func()) {
	select {
	case r.events <- f:
	case <-ctx.Done():
	}
}

// eventLoop owns the scheduler: it handles events and sends the resulting commits and orders, one round at a time.
func (r *Runner) eventLoop(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	roundTime := time.Duration(0) // time that the last round took
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.events:
			f()
			if err := r.collectEvents(ctx, batchTime(roundTime)); err != nil {
				return nil //nolint:nilerr // the leadership has ended
			}
		case <-ticker.C:
		}
		if !r.config.Leads() {
			continue
		}
		startedAt := r.config.Now()
		if r.allLoaded {
			r.round(ctx)
		} else {
			r.renewWhileLoading(ctx, startedAt)
		}
		roundTime = r.config.Now() - startedAt
		ticker.Reset(roundInterval)
	}
}

// batchTime returns how long events are collected after a round that took the given time.
func batchTime(roundTime time.Duration) time.Duration {
	return min(roundInterval, max(minEventBatchTime, eventBatchFactor*roundTime))
}

// collectEvents handles the events that arrive within the given time.
func (r *Runner) collectEvents(ctx context.Context, batchTime time.Duration) error {
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-r.events:
			f()
		case <-timer.C:
			return nil
		}
	}
}

func (r *Runner) round(ctx context.Context) {
	now := r.config.Now()
	if configuration := r.config.Configuration(); configuration != nil {
		r.scheduler.Configure(configuration)
	}
	r.loadUnloaded(ctx, now)
	r.scheduler.Plan(now, time.Now())
	if r.config.Round != nil {
		r.config.Round(r.scheduler, now)
	}
	for _, commit := range r.scheduler.Commits(now) {
		r.runCall(func() { r.commit(ctx, commit) })
	}
	if record, version, unsaved := r.scheduler.UnsavedSilence(now); unsaved {
		r.runCall(func() { r.storeSilence(ctx, record, version) })
	}
	if record, version, unsaved := r.scheduler.UnsavedInterference(now); unsaved {
		r.runCall(func() { r.storeInterference(ctx, record, version) })
	}
	for _, order := range r.scheduler.Orders(now) {
		r.runCall(func() { r.order(ctx, order) })
	}
	if r.config.Adviser != nil {
		for _, request := range r.scheduler.AdviceRequests(now) {
			r.runCall(func() { r.requestAdvice(ctx, request) })
		}
	}
	r.renewAll(ctx, now)
}

// errLeadershipExpired reports that an order was not sent because the leader's lease had expired at that moment; the order is decided
// again.
var errLeadershipExpired = errors.New("leader lease had expired")

// awaitLeadership waits until this entry may act as the leader, and returns false if its leadership ends first. The lease may expire and be
// renewed within one term of leadership when the answer to a renewal of the leader's lease is late.
func (r *Runner) awaitLeadership(ctx context.Context) bool {
	for ctx.Err() == nil {
		if r.config.Leads() {
			return true
		}
		acaciatally.Sleep(ctx, leadershipRetry)
	}
	return false
}

// runCall runs f, which makes one call to the store, a worker or the advice service, in its own goroutine. Run waits for it.
func (r *Runner) runCall(f func()) {
	r.calls.Go(f)
}

func (r *Runner) order(ctx context.Context, order Order) {
	var err error
	if !r.config.Leads() {
		if r.awaitLeadership(ctx) {
			r.Post(ctx, func() { r.scheduler.OrderResult(order, errLeadershipExpired, r.config.Now()) })
		}
		return
	}
	switch order.Kind {
	case OrderStart:
		err = r.config.Orders.Start(ctx, order.Worker, order.Start)
	case OrderStop:
		err = r.config.Orders.Stop(ctx, order.Worker, order.Start.RunOrder)
	case OrderThrottle:
		err = r.config.Orders.Throttle(ctx, order.Worker, order.Start.RunOrder, order.Percent)
	}
	r.Post(ctx, func() { r.scheduler.OrderResult(order, err, r.config.Now()) })
}

func (r *Runner) requestAdvice(ctx context.Context, request AdviceRequest) {
	advice, err := r.config.Adviser.Advise(ctx, request.Job, request.Occurrence, request.Step, request.Workers)
	r.Post(ctx, func() { r.scheduler.AdviceResult(request, advice, err, r.config.Now()) })
}

// commit sends a transaction. If the answer is lost, it sends the same transaction again: its condition on the owner record lets it take
// effect only once.
func (r *Runner) commit(ctx context.Context, commit *Commit) {
	outcomeUnknown := false
	for r.awaitLeadership(ctx) {
		version, err := r.config.Store.Commit(ctx, commit.Transaction)
		var conflict *acaciatally.RecordConflictError
		switch {
		case err == nil:
			r.Post(ctx, func() { r.scheduler.Committed(commit, version, r.config.Now()) })
			return
		case errors.As(err, &conflict):
			r.resolveConflict(ctx, commit, conflict)
			return
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			outcomeUnknown = true
		case !outcomeUnknown:
			r.Post(ctx, func() { r.scheduler.CommitFailed(commit, err, r.config.Now()+commitRetry) })
			return
		}
		acaciatally.Sleep(ctx, commitRetry)
	}
}

// resolveConflict finds out whether an earlier attempt of the commit took effect, or another leader has written.
func (r *Runner) resolveConflict(ctx context.Context, commit *Commit, conflict *acaciatally.RecordConflictError) {
	current, found := conflict.Find(OwnerKey(commit.Queue))
	var owner Owner
	if found && json.Unmarshal(current.Value, &owner) == nil && owner == commit.Owner {
		r.Post(ctx, func() { r.scheduler.Committed(commit, current.Version, r.config.Now()) })
		return
	}
	r.stepDown(ctx, owner.Epoch)
}

// stepDown ends the leadership because a leader with the epoch has taken over, and returns when ctx has ended.
func (r *Runner) stepDown(ctx context.Context, epoch uint64) {
	r.config.Scheduler.EventLog.LeadershipLost(r.config.Scheduler.Epoch)
	r.config.OnLeadershipLost(epoch)
	<-ctx.Done()
}
