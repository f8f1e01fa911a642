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

// health asks an instance's health path, or for a connection where its pool has none.
type health struct {
	state func() *fleet.State
	dial  attempt.Dial
	http  *http.Client
}

func newHealth(state func() *fleet.State, dial attempt.Dial) *health {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &health{state: state, dial: dial, http: &http.Client{Transport: transport}}
}

// Check returns nil when the instance is ready.
func (h *health) Check(ctx context.Context, instance acaciatally.InstanceID, address netip.AddrPort) (err error) {
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
		return fmt.Errorf("instance %s answered its health check with %s", instance, response.Status)
	}
	return nil
}

func (h *health) connect(ctx context.Context, address netip.AddrPort) error {
	conn, err := h.dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}
