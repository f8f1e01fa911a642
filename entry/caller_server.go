package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/answer"
)

const (
	// readTimeout limits the time to read a request; a body of 4 MiB needs 140 KiB/s.
	readTimeout = 30 * time.Second
	// keepAliveTimeout is longer than the 45 s of this system's own clients, so that the client side closes idle connections.
	keepAliveTimeout = time.Minute
	// headerReadFactor is how many times the header limit the server reads. A header that is only somewhat too long is thereby
	// refused by the pipeline, with an outcome, and not by net/http.
	headerReadFactor = 4
	// maxInFlight limits the concurrent requests of one entry and, together with the limit on a buffered answer, their memory.
	maxInFlight = 4096
	// overloadRetryAfter is the Retry-After value of requests refused because of maxInFlight.
	overloadRetryAfter = time.Second
)

// callerHandler returns the HTTP handler of the caller address.
func (p *Process) callerHandler() http.Handler {
	server := echo.New()
	server.HTTPErrorHandler = func(c *echo.Context, _ error) {
		answer.Refuse(c.Response(), "", &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusNotFound, Reason: "no pool at this path",
		})
	}
	if p.tasks != nil {
		ServeTasks(server, p.tasks.frontend, p.log.State)
	}
	server.Any("/*", p.handleRequest)
	return server
}

// handleRequest runs one request through the pipeline, or refuses it when too many are in progress.
func (p *Process) handleRequest(c *echo.Context) error {
	exchange := &acaciatally.Exchange{HTTP: c.Request(), Writer: c.Response(), Received: p.config.Clock.Now()}
	select {
	case p.inFlight <- struct{}{}:
		defer func() { <-p.inFlight }()
	default:
		answer.Refuse(exchange.Writer, "", &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable,
			Reason: "the entry has too many requests in progress", RetryAfter: overloadRetryAfter,
		})
		return nil
	}
	if err := p.pipeline.serve(c.Request().Context(), exchange); err != nil {
		p.answersCut.Inc()
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the truncated answer
	}
	return nil
}

// newCallerServer returns the server of the caller address, with limits on slow callers and long headers.
func (p *Process) newCallerServer() *http.Server {
	return &http.Server{
		Handler:        p.callerHandler(),
		ReadTimeout:    readTimeout,
		IdleTimeout:    keepAliveTimeout,
		MaxHeaderBytes: headerReadFactor * int(p.config.Settings.Traffic.MaxHeader),
	}
}

// serve accepts connections until stop is done, then shuts down gracefully: it waits for the requests in progress.
func (p *Process) serve(ctx, stop context.Context, address string, server *http.Server) error {
	listener, err := p.config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	listener = p.gate.Serve(server, listener)
	stopped := make(chan error, 1)
	go func() {
		<-stop.Done()
		stopped <- server.Shutdown(context.WithoutCancel(ctx))
	}()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
