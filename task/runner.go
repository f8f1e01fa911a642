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

// Hold is the right to write under a lease.
type Hold struct {
	Epoch     uint64
	Condition acaciatally.Condition // fails once another holder has taken the lease
}

// Lease is this process's part in the lease "Tasks/<pool>"; the Runner's goroutine alone uses it.
type Lease interface {
	// Tend renews the lease, or takes it when it is free; without an error it was reached.
	Tend(ctx context.Context) (err error)
	// Hold returns the right to write, or false when the lease is not held or its state is not known.
	Hold() (hold Hold, held bool)
}

// RunnerConfig is what a Runner needs; zero durations take the defaults.
type RunnerConfig struct {
	Machine MachineConfig
	Table   acaciatally.TableService
	Leases  acaciatally.TaskLeases
	Lease   Lease
	Clock   acaciatally.Clock
	// Fleet returns the present view of the pool.
	Fleet func() Fleet
	// Fresh reports whether the view is fresh enough to begin control actions; nil is always.
	Fresh func() bool
	// Quarantine has a worker taken out of service; nil leaves it to the runner's own placement to avoid it.
	Quarantine func(ctx context.Context, worker acaciatally.InstanceID, reason string) (err error)
	Round      time.Duration // between two looks for new tasks
	UsageEvery time.Duration
	Timeout    time.Duration // of each call
	Metrics    *metrics.Set  // nil keeps the counters out of every exposition
}

const (
	defaultRound      = 250 * time.Millisecond
	defaultUsageEvery = time.Second
	defaultTimeout    = 2 * time.Second
	// pageRows bounds the rows of one read.
	pageRows = 500
	// loadPages bounds the reads of one round after a takeover.
	loadPages = 8
	// maxRows bounds the rows of one transaction.
	maxRows = 100
	// maxPasses bounds the transactions of one round.
	maxPasses = 8
	// maxOrders bounds the orders of one pass, all in flight at once.
	maxOrders = 64
	// usageWorkers bounds the workers of one usage call.
	usageWorkers = 200
)

// Runner controls the tasks of one pool while it holds the pool's lease.
type Runner struct {
	config  RunnerConfig
	machine *Machine // nil while another process controls the pool
	loading string   // key up to which the rows have been read after a takeover
	loaded  bool
	handled []string // inbox rows that can be deleted
	usageAt time.Time
	commits int
	counts  runnerCounts
}

type runnerCounts struct {
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
		{&config.Round, defaultRound},
		{&config.UsageEvery, defaultUsageEvery},
		{&config.Timeout, defaultTimeout},
	} {
		if *value.field == 0 {
			*value.field = value.fallback
		}
	}
	return &Runner{config: config, counts: newRunnerCounts(config)}
}

func newRunnerCounts(config RunnerConfig) runnerCounts {
	counter := func(name string) *metrics.Counter {
		return config.Metrics.GetOrCreateCounter(fmt.Sprintf("acaciatally_task_%s_total{pool=%q}", name, config.Machine.Pool))
	}
	return runnerCounts{
		reads: counter("reads"), writes: counter("writes"), rowsRead: counter("rows_read"),
		rowsWritten: counter("rows_written"), orders: counter("orders"), malformed: counter("malformed_rows"),
	}
}

// Run controls the pool's tasks until ctx ends.
func (r *Runner) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(r.config.Round)
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

// Step carries out one round; what fails in it is tried again in the next.
func (r *Runner) Step(ctx context.Context) {
	tendErr := r.config.Lease.Tend(ctx)
	hold, held := r.config.Lease.Hold()
	switch {
	case !held && tendErr == nil:
		r.machine = nil
		return
	case !held, r.config.Fresh != nil && !r.config.Fresh():
		r.sustain(ctx)
		return
	}
	if r.machine == nil || r.machine.Epoch() != hold.Epoch {
		r.begin(hold)
	}
	if !r.loaded && r.load(ctx) != nil || !r.loaded {
		return
	}
	r.look(ctx)
	r.machine.SetFleet(r.config.Fleet())
	r.machine.Tick(r.config.Clock.Now())
	r.act(ctx)
}

func (r *Runner) begin(hold Hold) {
	r.machine = NewMachine(r.config.Machine, hold.Epoch)
	r.machine.SetFleet(r.config.Fleet())
	r.loading, r.loaded, r.handled = "", false, nil
}

// sustain keeps running attempts alive while the table cannot be reached or the view is stale, and begins nothing.
func (r *Runner) sustain(ctx context.Context) {
	if r.machine == nil || !r.loaded {
		return
	}
	r.lookAtUsage(ctx)
	r.order(ctx, r.machine.Renewals(r.config.Clock.Now(), maxOrders))
}

// act writes the proposed rows and sends the orders that follow, until nothing is left to do.
func (r *Runner) act(ctx context.Context) {
	for range maxPasses {
		saves := r.machine.Saves(r.config.Clock.Now(), maxRows)
		hold, held := r.config.Lease.Hold()
		if !held || (len(saves)+len(r.handled) > 0 && !r.commit(ctx, hold, saves)) {
			return
		}
		orders := r.machine.Orders(r.config.Clock.Now(), maxOrders)
		r.order(ctx, orders)
		if len(saves)+len(orders)+len(r.handled) == 0 {
			return
		}
	}
}

func (r *Runner) order(ctx context.Context, orders []Order) {
	if len(orders) == 0 {
		return
	}
	r.counts.orders.Add(len(orders))
	results := make([]Result, len(orders))
	var group errgroup.Group
	for i, order := range orders {
		group.Go(func() error {
			results[i] = Result{Order: order, Err: r.send(ctx, order)}
			return nil
		})
	}
	_ = group.Wait()
	r.machine.Ordered(results, r.config.Clock.Now())
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
	return oops.In("task").Errorf("unknown order %d", order.Kind)
}

// Running returns the number of attempts that may be running on a worker, or false when this process does not control the pool.
// It is called from the goroutine that runs the runner.
func (r *Runner) Running(worker acaciatally.InstanceID) (count int, known bool) {
	if r.machine == nil || !r.loaded {
		return 0, false
	}
	return r.machine.Running(worker), true
}
