package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/fleet"
)

// loadRetryInterval is the time between two attempts to write the deployment into an empty changelog.
const loadRetryInterval = time.Second

// operatorHandler returns the HTTP handler of the operator address.
func (p *Process) operatorHandler() http.Handler {
	server := echo.New()
	server.GET("/livez", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/readyz", p.readyz)
	server.GET("/metrics", func(c *echo.Context) error {
		p.metrics.WritePrometheus(c.Response())
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	allowed := make([]command.Operator, len(p.config.Settings.Operators))
	for i, operator := range p.config.Settings.Operators {
		allowed[i] = command.Operator{Name: operator.Name, Token: operator.Token}
	}
	command.NewServer(p.newEvaluator(), allowed).Register(server)
	return server
}

func (p *Process) readyz(c *echo.Context) error {
	if !p.ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (p *Process) newEvaluator() *command.Evaluator {
	var tasks command.Tasks
	if p.tasks != nil {
		tasks = operatorTasks{p.tasks}
	}
	return command.New(command.Config{
		Tasks:            tasks,
		Log:              p.log,
		Audit:            p.auditTrail,
		Membership:       p.peers.membership,
		LeavingAnnouncer: p.peers,
		Self:             acaciatally.Peer{ID: p.config.Entry.ID, DataCentre: p.config.Entry.DataCentre},
		Clock:            p.config.Clock,
	})
}

// loadDeployment writes the deployment's pools, instances and teams into an empty changelog. Every entry tries; only one commit
// succeeds, and the others find that the log is no longer empty.
func (p *Process) loadDeployment(ctx context.Context) {
	for p.log.State().Version == 0 && ctx.Err() == nil {
		_, err := p.log.Commit(ctx, changelog.Proposal{
			CommandID: "load-" + p.config.Settings.Deployment, By: "settings", Reason: "first start of the deployment",
			Decide: func(state *fleet.State) ([]fleet.Change, error) {
				if state.Version > 0 {
					return nil, nil
				}
				return p.config.Settings.FleetChanges(), nil
			},
		})
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(loadRetryInterval):
		}
	}
}
