package entry

import (
	"crypto/rand"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

type moveRequest struct {
	ID       string
	Instance acaciatally.InstanceID
	To       acaciatally.PoolName
}

func (p *Process) operators() http.Handler {
	server := echo.New()
	server.GET("/livez", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/readyz", func(c *echo.Context) error {
		if !p.ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	server.GET("/metrics", func(c *echo.Context) error {
		p.metrics.WritePrometheus(c.Response())
		return nil
	})
	server.GET("/state", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.log.State()) })
	server.POST("/load", func(c *echo.Context) error {
		return p.commit(c, "load-"+p.config.Settings.Deployment, func(state *fleet.State) ([]fleet.Change, error) {
			if state.Version > 0 {
				return nil, nil
			}
			return p.config.Settings.Changes(), nil
		})
	})
	server.POST("/move", func(c *echo.Context) error {
		var move moveRequest
		if err := c.Bind(&move); err != nil {
			return err
		}
		if move.ID == "" {
			move.ID = rand.Text()
		}
		return p.commit(c, move.ID, func(state *fleet.State) ([]fleet.Change, error) {
			from := state.Instances[move.Instance].Pool
			return []fleet.Change{
				{SetPhase: &fleet.SetPhase{ID: move.Instance, Phase: fleet.Draining, Cause: fleet.CauseMove}},
				{MoveInstance: &fleet.MoveInstance{ID: move.Instance, From: from, To: move.To}},
			}, nil
		})
	})
	return server
}

func (p *Process) commit(c *echo.Context, id string, decide func(*fleet.State) ([]fleet.Change, error)) error {
	version, err := p.log.Commit(c.Request().Context(), changelog.Proposal{CommandID: id, By: "operator", Decide: decide})
	if err != nil {
		return c.String(http.StatusConflict, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, map[string]uint64{"Version": version})
}
