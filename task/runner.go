package task

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

// HeldLease is a held lease, for use in transactions that are valid only while it is held.
type HeldLease struct {
	Epoch     uint64
	Condition acaciatally.Condition // fails once another holder has taken the lease
}

// Lease is this process's handle on the lease "Tasks/<pool>"; only the Runner's goroutine uses it.
type Lease interface {
	// AcquireOrRenew renews the lease, or acquires it when it is free. A nil error means that the state of the lease is known, not that it
	// is held.
	AcquireOrRenew(ctx context.Context) (err error)
	// Held returns the held lease, or false when the lease is not held or its state is not known.
	Held() (heldLease HeldLease, held bool)
}

// RunnerConfig configures a Runner; zero durations take the defaults.
type RunnerConfig struct {
	Scheduler SchedulerConfig
	Table     acaciatally.TableService
	Leases    acaciatally.TaskLeases
	Lease     Lease
	Clock     acaciatally.Clock
	// PoolView returns the current state of the pool.
	PoolView func() PoolView
	// Fresh reports whether that state is recent enough to begin control actions; nil means always.
	Fresh func() bool
	// Quarantine takes a worker out of service; with nil, the Runner only stops placing tasks on the worker.
	Quarantine    func(ctx context.Context, worker acaciatally.InstanceID, reason string) (err error)
	Interval      time.Duration // between two rounds
	UsageInterval time.Duration // between two reads of the usage reports
	Timeout       time.Duration // of each call
	Metrics       *metrics.Set  // nil exposes no counters
}

const (
	defaultRunnerInterval = 250 * time.Millisecond
	defaultUsageInterval  = time.Second
	defaultCallTimeout    = 2 * time.Second
	// pageSize limits the rows of one read.
	pageSize = 500
	// rowPageSize limits the rows of one read of tasks, each of which may have maxRecordBytes.
	rowPageSize = 50
	// maxLoadPages limits the reads of one round after a takeover.
	maxLoadPages = 80
	// maxTransactionRows limits the rows of one transaction.
	maxTransactionRows = 100
	// maxPasses limits the transactions of one round.
	maxPasses = 8
	// maxOrders limits the orders of one pass, which are sent concurrently.
	maxOrders = 64
	// maxUsageWorkers limits the workers of one usage call.
	maxUsageWorkers = 200
)

// Runner controls the tasks of one pool while it holds the pool's lease.
type Runner struct {
	config         RunnerConfig
	scheduler      *Scheduler // nil while another process controls the pool
	loadCursor     string     // key up to which the rows have been read after a takeover
	loaded         bool
	processedInbox []string // inbox rows that can be deleted
	returnedInbox  []string // inbox rows to be written again, of tasks for which there is no memory yet
	markWritten    bool     // the row that marks the pool as full was written or deleted under this lease
	markedFull     bool     // it was written
	usageReadAt    time.Time
	commits        int
	counters       runnerCounters
}

type runnerCounters struct {
	reads, writes, rowsRead, rowsWritten, orders, malformed *metrics.Counter
}

// NewRunner returns a runner that is not yet running.
func NewRunner(config RunnerConfig) *Runner {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	for _, value := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&config.Interval, defaultRunnerInterval},
		{&config.UsageInterval, defaultUsageInterval},
		{&config.Timeout, defaultCallTimeout},
	} {
		if *value.field == 0 {
			*value.field = value.fallback
		}
	}
	return &Runner{config: config, counters: newRunnerCounters(config)}
}

func newRunnerCounters(config RunnerConfig) runnerCounters {
	counter := func(name string) *metrics.Counter {
		return config.Metrics.GetOrCreateCounter(fmt.Sprintf("acaciatally_task_%s_total{pool=%q}", name, config.Scheduler.Pool))
	}
	return runnerCounters{
		reads: counter("reads"), writes: counter("writes"), rowsRead: counter("rows_read"),
		rowsWritten: counter("rows_written"), orders: counter("orders"), malformed: counter("malformed_rows"),
	}
}

// Run controls the pool's tasks until ctx ends; the error is always nil.
func (r *Runner) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	for {
		r.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step runs one round; what fails in it is retried in the next one.
func (r *Runner) Step(ctx context.Context) {
	leaseErr := r.config.Lease.AcquireOrRenew(ctx)
	heldLease, held := r.config.Lease.Held()
	switch {
	case !held && leaseErr == nil:
		r.scheduler = nil
		return
	case !held, r.config.Fresh != nil && !r.config.Fresh():
		r.renewRunning(ctx)
		return
	}
	if r.scheduler == nil || r.scheduler.Epoch() != heldLease.Epoch {
		r.startScheduler(heldLease)
	}
	if !r.loaded && r.loadRows(ctx) != nil || !r.loaded {
		return
	}
	r.readUpdates(ctx)
	r.scheduler.SetFleet(r.config.PoolView())
	r.scheduler.Tick(r.config.Clock.Now())
	r.saveAndOrder(ctx)
}

func (r *Runner) startScheduler(heldLease HeldLease) {
	r.scheduler = NewScheduler(r.config.Scheduler, heldLease.Epoch)
	r.scheduler.SetFleet(r.config.PoolView())
	r.loadCursor, r.loaded, r.processedInbox, r.returnedInbox = "", false, nil, nil
	r.markWritten = false
}

// renewRunning renews the leases of running attempts while the table cannot be reached or the pool's state is stale; it begins nothing
// else.
func (r *Runner) renewRunning(ctx context.Context) {
	if r.scheduler == nil || !r.loaded {
		return
	}
	r.readUsage(ctx)
	r.sendOrders(ctx, r.scheduler.Renewals(r.config.Clock.Now(), maxOrders))
}

// saveAndOrder writes the proposed rows and sends the orders that follow from them, until nothing is left to do or after maxPasses.
func (r *Runner) saveAndOrder(ctx context.Context) {
	for range maxPasses {
		writes := r.scheduler.PendingWrites(r.config.Clock.Now(), maxTransactionRows)
		heldLease, held := r.config.Lease.Held()
		if !held || ((len(writes) > 0 || r.inboxChanged()) && !r.commit(ctx, heldLease, writes)) {
			return
		}
		orders := r.scheduler.Orders(r.config.Clock.Now(), maxOrders)
		r.sendOrders(ctx, orders)
		if len(writes)+len(orders) == 0 && !r.inboxChanged() {
			return
		}
	}
}

func (r *Runner) sendOrders(ctx context.Context, orders []Order) {
	if len(orders) == 0 {
		return
	}
	r.counters.orders.Add(len(orders))
	results := make([]Result, len(orders))
	var group errgroup.Group
	for i, order := range orders {
		group.Go(func() error {
			results[i] = Result{Order: order, Err: r.send(ctx, order)}
			return nil
		})
	}
	_ = group.Wait()
	r.scheduler.ApplyOrderResults(results, r.config.Clock.Now())
}

func (r *Runner) send(ctx context.Context, order Order) (err error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	lease, leases := order.Lease, r.config.Leases
	switch order.Kind {
	case OrderStart:
		return leases.Start(ctx, lease)
	case OrderRenew:
		return leases.Renew(ctx, lease.Task, lease.Attempt, lease.Expires)
	case OrderThrottle:
		return leases.Throttle(ctx, lease.Task, lease.Attempt, order.Share)
	case OrderCheckpoint:
		return leases.Checkpoint(ctx, lease.Task, lease.Attempt)
	case OrderStop:
		return leases.Stop(ctx, lease.Task, lease.Attempt)
	case OrderQuarantine:
		if r.config.Quarantine == nil {
			return nil
		}
		return r.config.Quarantine(ctx, lease.Worker, order.Reason)
	}
	return oops.In("task").Errorf("unknown order kind %d", order.Kind)
}

// Running returns the number of attempts that may be running on a worker, or false when this process does not control the pool. It must
// be called from the goroutine that runs the Runner.
func (r *Runner) Running(worker acaciatally.InstanceID) (count int, known bool) {
	if r.scheduler == nil || !r.loaded {
		return 0, false
	}
	return r.scheduler.Running(worker), true
}
