package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const outcomeHeader = "Acaciatally-Outcome"

type counter struct{ atomic.Uint64 }

func (p *Process) callers() http.Handler {
	server := echo.New()
	server.Any("/*", p.forward)
	return server
}

// forward sends the request to the pool's serving workers in turn.
func (p *Process) forward(c *echo.Context) error {
	request := c.Request()
	pool, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	worker, found := p.pick(acaciatally.PoolName(pool))
	if !found {
		return refuse(c, http.StatusNotFound, acaciatally.NotRun, "no worker serves "+pool)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), request.Body, int64(p.config.Settings.Traffic.MaxBody)))
	if err != nil {
		return refuse(c, http.StatusRequestEntityTooLarge, acaciatally.NotRun, "body too large")
	}
	url := "http://" + worker.Address.String() + request.URL.RequestURI()
	attempt, err := http.NewRequestWithContext(request.Context(), request.Method, url, bytes.NewReader(body))
	if err != nil {
		return refuse(c, http.StatusBadRequest, acaciatally.NotRun, "invalid request")
	}
	answer, err := http.DefaultClient.Do(attempt)
	if err != nil {
		return refuse(c, http.StatusBadGateway, acaciatally.Unknown, "no answer from the endpoint")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusTooManyRequests {
		return refuse(c, http.StatusServiceUnavailable, acaciatally.NotRun, "worker is full")
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return refuse(c, http.StatusBadGateway, acaciatally.Unknown, "answer broke off")
	}
	return c.Blob(answer.StatusCode, answer.Header.Get("Content-Type"), content)
}

func (p *Process) pick(pool acaciatally.PoolName) (worker fleet.Instance, found bool) {
	var serving []fleet.Instance
	for _, member := range p.log.State().Members(pool) {
		if member.Phase == fleet.Serving {
			serving = append(serving, member)
		}
	}
	if len(serving) == 0 {
		return fleet.Instance{}, false
	}
	return serving[p.next.Add(1)%uint64(len(serving))], true
}

func refuse(c *echo.Context, status int, outcome acaciatally.Outcome, reason string) error {
	c.Response().Header().Set(outcomeHeader, string(outcome))
	return c.String(status, string(outcome)+": "+reason+"\n")
}
