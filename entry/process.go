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
	"github.com/acaciatally/acaciatally/settings"
)

// Config is what a Process needs.
type Config struct {
	Settings *settings.Settings
	Entry    settings.Entry
	Table    acaciatally.TableService
	// Tasks runs tasks on workers; without it this entry takes no tasks.
	Tasks acaciatally.TaskLeases
	// List and Instances are the platform's instances; without them this entry takes no part in control.
	List      acaciatally.InstanceList
	Instances acaciatally.InstanceControl
	// Objects keeps large answers; without it only their status is kept.
	Objects acaciatally.ObjectStore
	Logger  *log.Logger
	Clock   acaciatally.Clock // nil is the process's own
	Seed    uint64            // of random choices; 0 draws one
	// Dial and Listen replace the network in tests.
	Dial   attempt.Dial
	Listen func(ctx context.Context, network, address string) (listener net.Listener, err error)
}

// Process is one entry.
type Process struct {
	config   Config
	log      *changelog.Log
	trail    *audit.Trail
	metrics  *metrics.Set
	peers    *peers
	watch    *watch
	tasks    *taskControl
	lease    *changelog.Lease
	claims   *claim.Runner
	sweeper  *claim.Sweeper
	traffic  *traffic
	inFlight chan struct{}
	cut      *metrics.Counter // callers' connections cut in the middle of an answer
	stopping atomic.Bool
}

// New returns an entry that is not yet running.
func New(config Config) *Process {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	if config.Listen == nil {
		config.Listen = (&net.ListenConfig{}).Listen
	}
	p := &Process{
		config:   config,
		trail:    audit.New(audit.Config{Table: config.Table, Objects: config.Objects}),
		metrics:  metrics.NewSet(),
		inFlight: make(chan struct{}, maxInFlight),
	}
	limits := config.Settings.Traffic
	entries := len(config.Settings.Entries)
	p.log = changelog.New(changelog.Config{
		Table: config.Table, Objects: config.Objects, Clock: config.Clock, Archive: p.trail, Notify: func(uint64) { p.peers.keeper.Changed() },
	})
	p.cut = p.metrics.NewCounter("acaciatally_answers_cut_total")
	p.peers = newPeers(config, p.log, p.metrics)
	p.lease = newControlLease(p)
	p.watch = newWatch(p)
	p.tasks = newTaskControl(p)
	p.claims = claim.NewRunner(claim.RunnerConfig{
		Table: config.Table, Interval: claim.Interval(limits.ClaimInterval, entries), Clock: config.Clock, Metrics: p.metrics,
	})
	p.sweeper = claim.NewSweeper(claim.SweeperConfig{
		Table: config.Table, Retention: limits.ClaimRetention, MaxDeadline: limits.MaxDeadline,
		Clock: config.Clock, Random: newRandom(config.Seed), Metrics: p.metrics,
	})
	p.traffic = newTraffic(p)
	p.exposeState()
	return p
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// Run serves callers and operators until ctx ends, then finishes the requests in progress.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("entry").With("entry", p.config.Entry.ID).Wrapf(err, "run entry") }()
	group, ctx := errgroup.WithContext(ctx)
	drained, finish := context.WithCancel(context.WithoutCancel(ctx)) // ends when no caller's request is in progress
	defer finish()
	context.AfterFunc(ctx, func() { p.stopping.Store(true) })
	group.Go(func() error {
		defer finish()
		return p.serveCallers(ctx)
	})
	group.Go(func() error {
		p.loadDeployment(ctx)
		return p.poll(drained)
	})
	group.Go(func() error { return p.peers.run(ctx, drained, p.watch.sharer) })
	group.Go(func() error { return p.runControl(ctx) })
	if p.tasks != nil {
		group.Go(func() error { return p.tasks.run(ctx) })
		group.Go(func() error { return p.tasks.frontend.Run(drained) })
	}
	group.Go(func() error { return p.claims.Run(drained) })
	group.Go(func() error { return p.sweeper.Run(ctx) })
	group.Go(func() error {
		server := &http.Server{Handler: p.operators(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}
		return p.serve(ctx, drained, p.config.Entry.OperatorAddress.String(), server)
	})
	return group.Wait()
}

// serveCallers ends when the last request in progress is finished and its claim handed to the runner.
func (p *Process) serveCallers(ctx context.Context) error {
	err := p.serve(ctx, ctx, p.config.Entry.CallerAddress.String(), p.callerServer())
	p.traffic.claim.Wait()
	p.traffic.attempt.Close()
	return err
}

// ready reports whether the load balancer may send callers here.
func (p *Process) ready() bool {
	return !p.stopping.Load() && p.log.State().Version > 0 && p.peers.keeper.MayServe()
}

func (p *Process) provesNotRun(pool acaciatally.PoolName) []int {
	return p.log.State().Pools[pool].ProvesNotRun
}

func (p *Process) poll(ctx context.Context) error {
	ticker := time.NewTicker(p.config.Settings.Control.PollInterval)
	defer ticker.Stop()
	for {
		version := p.log.State().Version
		if err := p.log.Poll(ctx); err != nil && ctx.Err() == nil {
			p.config.Logger.Warn().Err(err).Msg("cannot poll the log")
		}
		p.peers.polled()
		if now := p.log.State().Version; now != version {
			p.config.Logger.Info().Uint64("version", now).Msg("configuration in force")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
