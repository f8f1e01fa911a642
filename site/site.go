package site

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/leadership"
	"github.com/acaciatally/acaciatally/overload"
	"github.com/acaciatally/acaciatally/roster"
)

const (
	// leaseTerm is the term of the leader's lease. The platform forbids orders for one instance by two holders within 3 s; the term is shorter.
	leaseTerm = 2500 * time.Millisecond
	// shortLeaseTerm is the term while the store responds fast. The lease survives the loss of the response to the first renewal.
	shortLeaseTerm = 1400 * time.Millisecond
	// renewInterval is short enough for a lease to survive four failed renewals within a term.
	renewInterval = 350 * time.Millisecond
	// maxTakeoverJitter bounds the jitter that keeps entries from acquiring an expired lease all at once.
	maxTakeoverJitter = 100 * time.Millisecond
	// maxSlowEntryDelay bounds each of the takeover delays for too little processor time and for a slow link, so that faster entries
	// acquire the lease first.
	maxSlowEntryDelay = 500 * time.Millisecond
	// fastLinkBitsPerSecond is the link speed above which a faster link makes no better leader.
	fastLinkBitsPerSecond = 100e6
	// maxWorkerLease covers the crash of a leader, the rest of its lease term and the start of the next leader, so that runs survive them.
	maxWorkerLease = 6 * time.Second
	// startDelayInterval is the interval at which a leader determines how long jobs wait for it; it is that of the lease's renewals.
	startDelayInterval = renewInterval
	// startDelaySettleTime is how long after its first round of decisions a leader goes by the delay of the leader before it as well.
	startDelaySettleTime = 2 * time.Second
	// maxCloseDelay is the delay before the listener closes, in which the load balancer notices that this entry is stopping.
	maxCloseDelay = 2500 * time.Millisecond
	idleTimeout   = time.Minute
)

// EventLog logs the decisions of this entry and the state changes that it observes.
type EventLog interface {
	intake.EventLog
	dispatch.EventLog
	leadership.EventLog
	roster.EventLog
	// AccountsUnderPressure logs the admission that this entry publishes as the leader, at most once a second; nil if no account is under
	// pressure any more.
	AccountsUnderPressure(state *overload.State)
	// Stopping logs why the process stops.
	Stopping(reason string)
	// DependencyChanged logs that an external dependency has become unreachable or reachable again. sinceLastResponse is the time since its
	// last response, or since the last one before the outage if it is reachable again. err is nil if it is reachable.
	DependencyChanged(name string, reached bool, sinceLastResponse time.Duration, err error)
	// ConfigurationApplied logs that this entry has applied a configuration; record is the version of its record.
	ConfigurationApplied(version, record uint64, queues, accounts int)
	// ConfigurationIgnored logs that a configuration could not be decoded; record is the version of its record.
	ConfigurationIgnored(record uint64, err error)
	// ConfigurationPartIgnored logs that a part of a configuration is not valid and does not take effect; record is the version of its record.
	ConfigurationPartIgnored(record uint64, err error)
	// IngressLimited logs that requests were refused or connections closed, because of the limits on requests on their way in.
	IngressLimited(report ingress.Report)
}

// JobAPI serves the platform's HTTP API to callers and the load balancer.
type JobAPI interface {
	// Handler returns the handler of the job API.
	Handler() http.Handler
	// ReadinessHandler returns the handler of the load balancer's readiness check.
	ReadinessHandler() http.Handler
	// SetStopping makes the readiness check fail from now on.
	SetStopping()
}

// Config is the configuration of a Process.
type Config struct {
	Name          string
	CallerListen  netip.AddrPort
	ReadyListen   netip.AddrPort
	Metrics       http.Handler   // nil if metrics are not served
	MetricsListen netip.AddrPort // listen address of Metrics
	Ingress       ingress.Limits // with defaults; on requests on their way in to all listeners together
	GracePeriod   time.Duration  // between the signal to stop and the kill
	Store         acaciatally.RecordStore
	Orders        acaciatally.WorkerOrders
	Operators     OperatorRecords
	Adviser       acaciatally.Adviser      // nil if the platform has no service that chooses workers
	Fleet         acaciatally.FleetControl // nil if instances are neither moved nor maintained
	// WaveStatus returns the write that reports to operators whether a wave is completed.
	WaveStatus    func(number int, completed bool) (write acaciatally.RecordWrite)
	WorkerTable   string
	DecodeWorker  dispatch.DecodeWorker
	NewJobAPI     func(jobs acaciatally.JobService, ready func() bool) JobAPI
	MaxLease      time.Duration // longest lease that a worker grants
	Retention     time.Duration // how long the state of an ended job is kept
	MaxEarlyStart time.Duration // how long before its scheduled time an occurrence may start
	// MaxRecordBytes is the size of the largest record that the store takes; 0 is job.DefaultRecordBytes.
	MaxRecordBytes int
	// MaxBacklogBytes is the memory for accepted jobs in the entry that leads; 0 is unlimited.
	MaxBacklogBytes int64
	// MaxConfigurationAge is the age of the configuration beyond which keys of accounts can't be checked; 0 is intake.DefaultMaxConfigurationAge.
	MaxConfigurationAge time.Duration

	QuotaWindow  time.Duration // time over which the rate of an account's jobs is counted; if it is 0, the defaults apply to all three
	QuotaOverage float64       // part of its weight by which an account may exceed its rate of jobs
	QuotaSlack   int           // jobs by which an account may exceed its rate in each window

	OrdersPerSecond float64       // the platform's rate limit for orders on instances, over all entries; 0 is unlimited
	MoveTime        time.Duration // from the order until a moved instance serves again
	MaintenanceTime time.Duration // from the order until a maintained instance serves again

	IgnoreWorkerSpeed bool              // the leader learns nothing of the speed of workers
	Interference      interference.Mode // what the leader does about tasks that slow each other down; empty is off
	EventLog          EventLog
	TakeoverJitter    float64              // jitter factor of this entry's takeover delay, 0 to 1
	Processors        float64              // cores that this entry may use, also a fraction
	LinkBitsPerSecond float64              // link speed in bits per second; 0 if not limited
	Now               func() time.Duration // monotonic clock; nil is Uptime
	// IngressMetrics is the set of the metrics of requests on their way in; nil if they are not measured.
	IngressMetrics *metrics.Set
	// Listen opens listeners; nil uses the network. Tests replace it.
	Listen func(ctx context.Context, network, address string) (listener net.Listener, err error)
}

// Process runs one entry.
type Process struct {
	config  Config
	store   *monitoredStore
	watcher *operatorWatcher
	elector *leadership.Elector
	// startDelay is the scheduler's StartDelay in nanoseconds while this entry leads.
	startDelay atomic.Int64
	// overload is the admission that this entry publishes while it leads.
	overload atomic.Pointer[overload.State]
	backlog  *backlogRoom
	jobAPI   JobAPI
	gate     *ingress.Gate
}

// New returns a process that is not running yet.
func New(config Config) *Process {
	if config.Now == nil {
		config.Now = Uptime
	}
	if config.Listen == nil {
		config.Listen = ingress.Listen
	}
	if config.MaxConfigurationAge == 0 {
		config.MaxConfigurationAge = intake.DefaultMaxConfigurationAge
	}
	config.Ingress = config.Ingress.WithDefaults(0, 0)
	p := &Process{config: config, store: &monitoredStore{RecordStore: config.Store, now: config.Now}}
	p.config.Store = p.store
	p.watcher = &operatorWatcher{
		store: p.store, sinceLastResponse: p.store.sinceLastResponse, records: config.Operators, eventLog: config.EventLog, now: config.Now,
		waves: map[int]observedWave{}, age: configurationAge{now: config.Now, max: config.MaxConfigurationAge},
	}
	p.gate = ingress.New(ingress.Config{
		Limits: config.Ingress, Processors: config.Processors, HeaderTimeout: p.headerTimeout,
		Report: config.EventLog.IngressLimited, Metrics: config.IngressMetrics,
	})
	p.backlog = &backlogRoom{
		admission: backlog.NewAdmission(config.MaxBacklogBytes), now: config.Now,
		published: func() (*backlog.State, uint64) { return p.elector.Backlog() },
	}
	jobs := intake.New(intake.Config{
		Store: p.store, Routes: p.watcher.routes.Load, StoreReachable: p.store.reachable, EventLog: config.EventLog,
		ConfigurationAge: p.watcher.age.get, MaxConfigurationAge: config.MaxConfigurationAge,
		MaxRecordBytes: config.MaxRecordBytes, StartDelay: func() time.Duration { return p.elector.StartDelay() },
		Overload: func() *overload.State { return p.elector.Overload() }, AdmitBytes: p.backlog.admit,
	})
	p.jobAPI = config.NewJobAPI(jobs, p.ready)
	p.elector = leadership.NewElector(leadership.ElectorConfig{
		Lease: leadership.Config{
			Self: config.Name, Term: leaseTerm, ShortTerm: shortLeaseTerm, RenewEvery: renewInterval,
			TakeoverDelay: takeoverDelay(config),
		},
		Store: p.store, Now: config.Now, EventLog: config.EventLog, Lead: p.runLeader,
		StartDelay: func() time.Duration { return time.Duration(p.startDelay.Load()) },
		Overload:   p.overload.Load, Backlog: p.backlog.own.Load,
	})
	return p
}

// ConfigurationAge returns the time since the configuration of this entry was certainly the newest one.
func (p *Process) ConfigurationAge() time.Duration { return p.watcher.age.get() }

// BacklogBytes returns the memory that accepted jobs take while this entry leads, in bytes.
func (p *Process) BacklogBytes() int64 { return p.backlog.bytes.Load() }

// takeoverDelay returns how long after the term this entry waits before it acquires an expired lease. It is longer for entries with
// less processor time or a slower link.
func takeoverDelay(config Config) time.Duration {
	cpuShortfall := 1 - min(1, config.Processors)
	linkShortfall := 0.0
	if config.LinkBitsPerSecond > 0 {
		linkShortfall = 1 - min(1, config.LinkBitsPerSecond/fastLinkBitsPerSecond)
	}
	return time.Duration(config.TakeoverJitter*float64(maxTakeoverJitter) + (cpuShortfall+linkShortfall)*float64(maxSlowEntryDelay))
}

// headerTimeout returns the time limit of headers by the operators' configuration; 0 if it has none.
func (p *Process) headerTimeout() time.Duration {
	if routes := p.watcher.routes.Load(); routes != nil {
		return routes.Limits.HeaderTimeout
	}
	return 0
}

// ready reports whether this entry is ready for new connections.
func (p *Process) ready() bool {
	return p.watcher.routes.Load() != nil && p.store.reachable()
}

// entitlement returns the entitlement of accounts beyond their weights, for the admission of their jobs.
func (p *Process) entitlement() overload.Config {
	return overload.Config{Overage: p.config.QuotaOverage, Window: p.config.QuotaWindow, Extra: p.config.QuotaSlack}
}

// runLeader dispatches jobs and manages instances during one term of leadership.
func (p *Process) runLeader(ctx context.Context, epoch uint64) {
	var runner *dispatch.Runner
	var fleet *fleetRunner
	if p.config.Fleet != nil {
		fleet = newFleetRunner(p, epoch, func(f func()) { runner.Post(ctx, f) })
	}
	delay := startDelay{inherited: p.elector.StartDelay()}
	p.startDelay.Store(int64(delay.inherited))
	accounts := newAccountAdmission(p.entitlement(), p.elector.Overload(), p.config.EventLog)
	p.overload.Store(accounts.published)
	p.backlog.begin()
	defer p.backlog.end()
	round := func(scheduler *dispatch.Scheduler, now time.Duration) {
		if fleet != nil {
			fleet.round(ctx, scheduler, now)
		}
		if now >= delay.nextAt {
			p.startDelay.Store(int64(delay.update(scheduler.StartDelay(now), now)))
			p.overload.Store(accounts.update(scheduler.AccountLoads(now), now))
			p.backlog.update(scheduler, runner.HasUnloaded(), now)
		}
	}
	defer p.startDelay.Store(0)
	defer p.overload.Store(nil)
	defer accounts.stop()
	runner = dispatch.NewRunner(dispatch.RunnerConfig{
		Round: round,
		Store: p.config.Store, Orders: p.config.Orders, Adviser: p.config.Adviser, WorkerTable: p.config.WorkerTable, DecodeWorker: p.config.DecodeWorker,
		Configuration: p.watcher.configuration.Load, Now: p.config.Now,
		Leads:            func() bool { return p.elector.Leads(epoch) },
		OnLeadershipLost: p.elector.Resign, LoadsAtOnce: loadsAtOnce(p.config.LinkBitsPerSecond),
		Scheduler: dispatch.Config{
			Epoch: epoch, WorkerLease: min(maxWorkerLease, p.config.MaxLease), MaxLease: p.config.MaxLease,
			Retention: p.config.Retention, MaxEarlyStart: p.config.MaxEarlyStart, LeadershipStart: p.config.Now(), EventLog: p.config.EventLog,
			MaxCommitBytes: commitBytes(p.config.LinkBitsPerSecond), MaxRecordBytes: p.config.MaxRecordBytes, MaxBacklogBytes: p.config.MaxBacklogBytes, Interference: p.config.Interference,
			IgnoreWorkerSpeed: p.config.IgnoreWorkerSpeed,
			QuotaOverage:      p.config.QuotaOverage, QuotaWindow: p.config.QuotaWindow, QuotaSlack: p.config.QuotaSlack,
		},
	})
	if err := runner.Run(ctx); err != nil {
		p.config.EventLog.LeadershipChanged(epoch, false, err.Error())
	}
}

// Run serves until ctx ends, then shuts down gracefully: it finishes the requests in progress.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("site").With("entry", p.config.Name).Wrapf(err, "run entry") }()
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	servingCtx, stopServing := context.WithCancel(groupCtx) // ends once the callers' server has shut down
	defer stopServing()
	stopCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(groupCtx, cancel)
	context.AfterFunc(stopCtx, p.jobAPI.SetStopping)
	group.Go(func() error {
		defer stopServing()
		return p.serve(stopCtx, p.config.CallerListen, p.jobAPI.Handler(), p.closeDelay())
	})
	group.Go(func() error { return p.serve(servingCtx, p.config.ReadyListen, p.jobAPI.ReadinessHandler(), 0) })
	if p.config.Metrics != nil {
		group.Go(func() error {
			if err := p.serve(servingCtx, p.config.MetricsListen, p.config.Metrics, 0); err != nil {
				p.config.EventLog.DependencyChanged("metrics address", false, 0, err) // callers are still served
			}
			return nil
		})
	}
	group.Go(func() error {
		p.watcher.run(servingCtx)
		return nil
	})
	group.Go(func() error {
		p.watcher.confirmConfiguration(servingCtx)
		return nil
	})
	group.Go(func() error { return p.elector.Run(stopCtx) })
	return group.Wait()
}

func (p *Process) closeDelay() time.Duration {
	return min(maxCloseDelay, p.config.GracePeriod/2)
}

// serve runs an HTTP server on an address until ctx ends, then keeps the listener open for closeDelay, and then finishes the requests in
// progress within half of the grace period.
func (p *Process) serve(ctx context.Context, address netip.AddrPort, handler http.Handler, closeDelay time.Duration) error {
	listener, err := p.config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, IdleTimeout: idleTimeout}
	listener = p.gate.Serve(server, listener)
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	select {
	case err = <-serveResult:
		return err
	case <-ctx.Done():
	}
	acaciatally.Sleep(context.WithoutCancel(ctx), closeDelay)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.config.GracePeriod/2)
	defer cancel()
	if err = server.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
