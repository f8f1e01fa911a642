package site

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxCloseDelay is the delay before the listener closes, in which the load balancer notices that this entry is stopping.
	maxCloseDelay = 2500 * time.Millisecond
	idleTimeout   = time.Minute
)

// closeDelay returns how long the listener of the callers stays open after the signal to stop.
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
