package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/attempt"
	"github.com/acaciatally/acaciatally/fleet"
)

// healthChecker checks an instance by an HTTP request to its pool's health path, or by a TCP connection if the pool has none.
type healthChecker struct {
	state func() *fleet.State
	dial  attempt.Dial
	http  *http.Client
}

func newHealthChecker(state func() *fleet.State, dial attempt.Dial) *healthChecker {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &healthChecker{state: state, dial: dial, http: &http.Client{Transport: transport}}
}

// Check returns nil if the instance answers its health path with status 200, or accepts a connection if its pool has no path.
func (h *healthChecker) Check(ctx context.Context, instance acaciatally.InstanceID, address netip.AddrPort) (err error) {
	state := h.state()
	path := state.Pools[state.Instances[instance].Pool].HealthPath
	if path == "" {
		return h.connect(ctx, address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := h.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("health check of instance %s returned status %s", instance, response.Status)
	}
	return nil
}

func (h *healthChecker) connect(ctx context.Context, address netip.AddrPort) error {
	conn, err := h.dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}
