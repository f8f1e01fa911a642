package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/settings"
)

const readHeaderTimeout = 5 * time.Second

// Config is what a Process needs.
type Config struct {
	Settings *settings.Settings
	Entry    settings.Entry
	Table    acaciatally.TableService
	Logger   *log.Logger
}

// Process is one entry.
type Process struct {
	config Config
	log    *changelog.Log
	peers  *peers
	next   counter
}

// New returns an entry that is not yet running.
func New(config Config) *Process {
	p := &Process{config: config}
	p.log = changelog.New(changelog.Config{Table: config.Table, Notify: func(uint64) { p.peers.keeper.Changed() }})
	p.peers = newPeers(config, p.log)
	return p
}

// Run serves callers and operators until ctx ends, then finishes the requests in progress.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("entry").With("entry", p.config.Entry.ID).Wrapf(err, "run entry") }()
	group, ctx := errgroup.WithContext(ctx)
	drained, finish := context.WithCancel(context.WithoutCancel(ctx)) // ends when no caller's request is in progress
	defer finish()
	group.Go(func() error { return p.poll(drained) })
	group.Go(func() error { return p.peers.run(ctx, drained) })
	group.Go(func() error {
		defer finish()
		return serve(ctx, p.config.Entry.CallerAddress.String(), p.callers())
	})
	group.Go(func() error { return serve(ctx, p.config.Entry.OperatorAddress.String(), p.operators()) })
	return group.Wait()
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

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- server.Shutdown(context.WithoutCancel(ctx))
	}()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
