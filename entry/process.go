package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/attempt"
	"github.com/acaciatally/acaciatally/audit"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/claim"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/settings"
)

// Config holds the settings and the dependencies of a Process.
type Config struct {
	Settings *settings.Settings
	Entry    settings.Entry
	Table    acaciatally.TableService
	// Tasks runs tasks on workers; if it is nil, this entry accepts no tasks.
	Tasks acaciatally.TaskLeases
	// List and Instances read and control the platform's instances; if either is nil, this entry runs no controller.
	List      acaciatally.InstanceList
	Instances acaciatally.InstanceControl
	// Objects stores large answers; if it is nil, only their status is stored.
	Objects acaciatally.ObjectStore
	Logger  *log.Logger
	Clock   acaciatally.Clock // nil means the system clock
	Seed    uint64            // of random choices; 0 means a random seed
	// Dial and Listen replace the network in tests; nil means the TCP network.
	Dial   attempt.Dial
	Listen func(ctx context.Context, network, address string) (listener net.Listener, err error)
}

// Process is one entry process with its servers and background loops.
type Process struct {
	config     Config
	log        *changelog.Log
	auditTrail *audit.Trail
	metrics    *metrics.Set
	peers      *peers
	observers  *observers
	tasks      *taskControl
	lease      *changelog.Lease
	claims     *claim.Runner
	sweeper    *claim.Sweeper
	pipeline   *pipeline
	inFlight   chan struct{}
	answersCut *metrics.Counter // caller connections closed in the middle of an answer
	stopping   atomic.Bool
	gate       *ingress.Gate
}

// New returns an entry process; Run starts it.
func New(config Config) *Process {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	peersConfig := config
	if config.Listen == nil {
		config.Listen = ingress.Listen
		peersConfig.Listen = (&net.ListenConfig{}).Listen // sessions with other entries keep the system's receive buffers
	}
	p := &Process{
		config:     config,
		auditTrail: audit.New(audit.Config{Table: config.Table, Objects: config.Objects}),
		metrics:    metrics.NewSet(),
		inFlight:   make(chan struct{}, maxInFlight),
	}
	p.gate = ingress.New(ingress.Config{
		Limits:  config.Settings.Ingress.Limits().WithDefaults(int64(config.Entry.Memory), config.Entry.Descriptors),
		Metrics: p.metrics, Report: p.logIngress,
	})
	limits := config.Settings.Traffic
	entries := len(config.Settings.Entries)
	p.log = changelog.New(changelog.Config{
		Table: config.Table, Objects: config.Objects, Clock: config.Clock, Archive: p.auditTrail, Notify: func(uint64) { p.peers.membership.ViewChanged() },
	})
	p.answersCut = p.metrics.NewCounter("acaciatally_answers_cut_total")
	p.peers = newPeers(peersConfig, p.log, p.metrics)
	p.lease = newControlLease(p)
	p.observers = newObservers(p)
	p.tasks = newTaskControl(p)
	p.claims = claim.NewRunner(claim.RunnerConfig{
		Table: config.Table, Interval: claim.CommitInterval(limits.ClaimInterval, entries), Clock: config.Clock, Metrics: p.metrics,
	})
	p.sweeper = claim.NewSweeper(claim.SweeperConfig{
		Table: config.Table, Retention: limits.ClaimRetention, MaxDeadline: limits.MaxDeadline,
		Clock: config.Clock, Random: newRandom(config.Seed), Metrics: p.metrics,
	})
	p.pipeline = newPipeline(p)
	p.registerStateGauges()
	return p
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// Run serves callers and operators until ctx is done, then finishes the requests in progress. It returns the first error of any part.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("entry").With("entry", p.config.Entry.ID).Wrapf(err, "run entry") }()
	group, ctx := errgroup.WithContext(ctx)
	drained, markDrained := context.WithCancel(context.WithoutCancel(ctx)) // is done when no caller's request is in progress
	defer markDrained()
	context.AfterFunc(ctx, func() { p.stopping.Store(true) })
	group.Go(func() error {
		defer markDrained()
		return p.serveCallers(ctx)
	})
	group.Go(func() error {
		p.loadDeployment(ctx)
		return p.pollChangelog(drained)
	})
	group.Go(func() error { return p.peers.run(ctx, drained, p.observers.sharer) })
	group.Go(func() error { return p.runControl(ctx) })
	if p.tasks != nil {
		group.Go(func() error { return p.tasks.run(ctx) })
		group.Go(func() error { return p.tasks.frontend.Run(drained) })
	}
	group.Go(func() error { return p.claims.Run(drained) })
	group.Go(func() error { return p.sweeper.Run(ctx) })
	group.Go(func() error {
		server := &http.Server{Handler: p.operatorHandler(), ReadTimeout: readTimeout}
		return p.serve(ctx, drained, p.config.Entry.OperatorAddress.String(), server)
	})
	return group.Wait()
}

// serveCallers serves callers until ctx is done. It returns when the last request has finished and its claim has been handed to
// the claim runner.
func (p *Process) serveCallers(ctx context.Context) error {
	err := p.serve(ctx, ctx, p.config.Entry.CallerAddress.String(), p.newCallerServer())
	p.pipeline.claim.Wait()
	p.pipeline.attempt.Close()
	return err
}

// ready reports whether the load balancer may send requests to this entry.
func (p *Process) ready() bool {
	return !p.stopping.Load() && p.log.State().Version > 0 && p.peers.membership.MayServe()
}

func (p *Process) provesNotRun(pool acaciatally.PoolName) []int {
	return p.log.State().Pools[pool].ProvesNotRun
}

func (p *Process) pollChangelog(ctx context.Context) error {
	ticker := time.NewTicker(p.config.Settings.Control.PollInterval)
	defer ticker.Stop()
	for {
		version := p.log.State().Version
		if err := p.log.Poll(ctx); err != nil && ctx.Err() == nil {
			p.config.Logger.Warn().Err(err).Msg("polling the changelog failed")
		}
		p.peers.updateViewFreshness()
		if now := p.log.State().Version; now != version {
			p.config.Logger.Info().Uint64("version", now).Msg("configuration version applied")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// logIngress logs that requests were refused or connections closed because of the limits on requests on their way in.
func (p *Process) logIngress(report ingress.Report) {
	p.config.Logger.Warn().Int64("bytes", report.Bytes).Int("connections", report.Connections).
		Int("refusedConnections", report.RefusedConnections).Int("refusedRequests", report.RefusedRequests).
		Int("closedIdle", report.ClosedIdle).Int("closedUnfinished", report.ClosedUnfinished).Int("closedUnread", report.ClosedUnread).Int("slow", report.Slow).
		Msg("incoming requests limited")
}
