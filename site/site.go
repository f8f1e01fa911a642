package site

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/leadership"
	"github.com/acaciatally/acaciatally/overload"
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
)

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
	config.setDefaults()
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
