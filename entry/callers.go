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
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time for a body; at 4 MiB a caller needs 140 KiB/s.
	readTimeout = 30 * time.Second
	// keepAliveTimeout is longer than the 45 s of this system's own clients, so that the client closes idle connections.
	keepAliveTimeout = time.Minute
	// headerSlack lets a header somewhat above the bound be read, so that the refusal carries an outcome.
	headerSlack = 4
	// maxInFlight bounds the requests of one entry, and with the bound on a buffered answer their memory.
	maxInFlight = 4096
	// busyRetryAfter is the advice to callers beyond maxInFlight.
	busyRetryAfter = time.Second
)

// callers returns the handler of the callers' address.
func (p *Process) callers() http.Handler {
	server := echo.New()
	server.HTTPErrorHandler = func(c *echo.Context, _ error) {
		answer.Refuse(c.Response(), "", &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusNotFound, Reason: "no pool at this path",
		})
	}
	if p.tasks != nil {
		ServeTasks(server, p.tasks.frontend, p.log.State)
	}
	server.Any("/*", p.receive)
	return server
}

// receive sends one request through the pipeline.
func (p *Process) receive(c *echo.Context) error {
	exchange := &acaciatally.Exchange{HTTP: c.Request(), Writer: c.Response(), Received: p.config.Clock.Now()}
	select {
	case p.inFlight <- struct{}{}:
		defer func() { <-p.inFlight }()
	default:
		answer.Refuse(exchange.Writer, "", &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable,
			Reason: "the entry has too many requests in progress", RetryAfter: busyRetryAfter,
		})
		return nil
	}
	if err := p.traffic.serve(c.Request().Context(), exchange); err != nil {
		p.cut.Inc()
		panic(http.ErrAbortHandler) // cuts the connection, so the caller cannot take a part for the whole
	}
	return nil
}

// callerServer returns the server of the callers' address, bounded against slow callers and long headers.
func (p *Process) callerServer() *http.Server {
	return &http.Server{
		Handler:           p.callers(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    headerSlack * int(p.config.Settings.Traffic.MaxHeader),
	}
}

// serve listens until stop ends, then finishes the requests in progress.
func (p *Process) serve(ctx, stop context.Context, address string, server *http.Server) error {
	listener, err := p.config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
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
