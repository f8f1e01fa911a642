package site

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/leadership"
	"github.com/acaciatally/acaciatally/roster"
)

const (
	// leaderTerm is shorter than the platform's three seconds within which two holders must not order one instance.
	leaderTerm = 2500 * time.Millisecond
	// quickTerm is the term while the store answers quickly; the first renewal may go without an answer.
	quickTerm = 1400 * time.Millisecond
	// renewEvery lets four renewals fail within a term.
	renewEvery = 350 * time.Millisecond
	// takeOverSpread keeps entries from taking the lease over all at once.
	takeOverSpread = 100 * time.Millisecond
	// weaknessLag lets entries with more processor time and a faster link take the lease over first.
	weaknessLag = 500 * time.Millisecond
	// strongLink is the speed beyond which a faster link makes no better leader, in bits a second.
	strongLink = 100e6
	// workerLease outlasts the death of a leader, the term of its lease and the start of the next one.
	workerLease = 6 * time.Second
	// lingerTime lets the load balancer notice that this entry stops, before the listener closes.
	lingerTime        = 2500 * time.Millisecond
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = time.Minute
)

// Journal takes a line for each decision and each change of what this entry believes.
type Journal interface {
	intake.Journal
	dispatch.Journal
	leadership.Journal
	roster.Journal
	// Stopping notes why the process stops.
	Stopping(reason string)
	// Dependency notes that something outside is lost or reached again.
	Dependency(name string, reached bool, age time.Duration, err error)
	// ConfigurationTaken notes a configuration in force here.
	ConfigurationTaken(version, record uint64, queues int)
	// ConfigurationIgnored notes a configuration that can't be used.
	ConfigurationIgnored(record uint64, err error)
}

// Front answers callers and the load balancer in the words of the platform.
type Front interface {
	// Callers answers callers.
	Callers() http.Handler
	// Readiness answers the load balancer.
	Readiness() http.Handler
	// Stop reports not ready from now on.
	Stop()
}

// Config is what a Process needs.
type Config struct {
	Name         string
	CallerListen netip.AddrPort
	ReadyListen  netip.AddrPort
	Metrics      http.Handler   // nil serves none
	MetricsAt    netip.AddrPort // where Metrics is served
	Grace        time.Duration  // between the signal to stop and the kill
	Store        acaciatally.RecordStore
	Orders       acaciatally.WorkerOrders
	Operators    OperatorRecords
	Adviser      acaciatally.Adviser      // nil where no service decides on workers
	Fleet        acaciatally.FleetControl // nil leaves all instances where they are
	WaveStatus   func(number int, completed bool) (write acaciatally.RecordWrite)
	WorkerTable  string
	DecodeWorker dispatch.DecodeWorker
	NewFront     func(desk acaciatally.JobDesk, ready func() bool) Front
	LongestLease time.Duration // that a worker grants
	Retention    time.Duration // of the state of an ended job
	EarliestBy   time.Duration // how much before its time an occurrence may start

	OrdersPerSecond float64       // on instances, that the platform takes from all entries; 0 is without bound
	MoveTime        time.Duration // until a moved instance serves again
	MaintenanceTime time.Duration // until a maintained instance serves again

	Journal    Journal
	Spread     float64              // of this entry's turn to take over, 0 to 1
	Processors float64              // share of a core that this entry may use
	Link       float64              // bits a second; 0 is fast
	Now        func() time.Duration // nil is Uptime
	// Listen replaces the network in tests.
	Listen func(ctx context.Context, network, address string) (listener net.Listener, err error)
}

// Process is one entry.
type Process struct {
	config   Config
	contact  *contact
	follower *follower
	keeper   *leadership.Keeper
	front    Front
}

// New returns an entry that is not yet running.
func New(config Config) *Process {
	if config.Now == nil {
		config.Now = Uptime
	}
	if config.Listen == nil {
		config.Listen = (&net.ListenConfig{}).Listen
	}
	p := &Process{config: config, contact: &contact{RecordStore: config.Store, now: config.Now}}
	p.config.Store = p.contact
	p.follower = &follower{
		store: p.contact, age: p.contact.age, records: config.Operators, journal: config.Journal, now: config.Now, waves: map[int]seenWave{},
	}
	desk := intake.New(intake.Config{
		Store: p.contact, Routes: p.follower.routes.Load, Reached: p.contact.fresh, Journal: config.Journal,
	})
	p.front = config.NewFront(desk, p.ready)
	p.keeper = leadership.NewKeeper(leadership.KeeperConfig{
		Lease: leadership.Config{
			Self: config.Name, Term: leaderTerm, QuickTerm: quickTerm, RenewEvery: renewEvery,
			TakeOverLag: takeOverLag(config),
		},
		Store: p.contact, Now: config.Now, Journal: config.Journal, Lead: p.lead,
	})
	return p
}

// takeOverLag is how much longer than a term this entry waits before it takes the lease over.
func takeOverLag(config Config) time.Duration {
	weak := 1 - min(1, config.Processors)
	slow := 0.0
	if config.Link > 0 {
		slow = 1 - min(1, config.Link/strongLink)
	}
	return time.Duration(config.Spread*float64(takeOverSpread) + (weak+slow)*float64(weaknessLag))
}

// ready reports whether this entry takes new connections.
func (p *Process) ready() bool {
	return p.follower.routes.Load() != nil && p.contact.fresh()
}

// lead dispatches jobs for one tenure.
func (p *Process) lead(ctx context.Context, epoch uint64) {
	var runner *dispatch.Runner
	var round func(m *dispatch.Machine, now time.Duration)
	if p.config.Fleet != nil {
		fleet := newFleetRunner(p, epoch, func(f func()) { runner.Post(ctx, f) })
		round = func(m *dispatch.Machine, now time.Duration) { fleet.round(ctx, m, now) }
	}
	runner = dispatch.NewRunner(dispatch.RunnerConfig{
		Round: round,
		Store: p.config.Store, Orders: p.config.Orders, Adviser: p.config.Adviser, WorkerTable: p.config.WorkerTable, DecodeWorker: p.config.DecodeWorker,
		Configuration: p.follower.configuration.Load, Now: p.config.Now,
		Leads:   func() bool { return p.keeper.Leads(epoch) },
		Deposed: p.keeper.Resign,
		Machine: dispatch.Config{
			Epoch: epoch, WorkerLease: min(workerLease, p.config.LongestLease), LongestLease: p.config.LongestLease,
			Retention: p.config.Retention, EarliestBy: p.config.EarliestBy, Began: p.config.Now(), Journal: p.config.Journal,
		},
	})
	if err := runner.Run(ctx); err != nil {
		p.config.Journal.Tenure(epoch, false, err.Error())
	}
}

// Run serves until ctx ends, then finishes the requests in progress.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("site").With("entry", p.config.Name).Wrapf(err, "run entry") }()
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	serving, finish := context.WithCancel(failed) // ends when no caller's request is in progress
	defer finish()
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(failed, cancel)
	context.AfterFunc(stop, p.front.Stop)
	group.Go(func() error {
		defer finish()
		return p.serve(stop, p.config.CallerListen, p.front.Callers(), p.linger())
	})
	group.Go(func() error { return p.serve(serving, p.config.ReadyListen, p.front.Readiness(), 0) })
	if p.config.Metrics != nil {
		group.Go(func() error {
			if err := p.serve(serving, p.config.MetricsAt, p.config.Metrics, 0); err != nil {
				p.config.Journal.Dependency("metrics address", false, 0, err) // callers are served without it
			}
			return nil
		})
	}
	group.Go(func() error {
		p.follower.run(serving)
		return nil
	})
	group.Go(func() error { return p.keeper.Run(stop) })
	return group.Wait()
}

func (p *Process) linger() time.Duration {
	return min(lingerTime, p.config.Grace/2)
}

// serve answers on an address until ctx ends, for a while longer, and until the requests in progress have their answers.
func (p *Process) serve(ctx context.Context, address netip.AddrPort, handler http.Handler, linger time.Duration) error {
	listener, err := p.config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err = <-ended:
		return err
	case <-ctx.Done():
	}
	acaciatally.Pause(context.WithoutCancel(ctx), linger)
	finishing, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.config.Grace/2)
	defer cancel()
	if err = server.Shutdown(finishing); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
