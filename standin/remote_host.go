package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

const (
	hostTimeout = time.Second
	maxResponse = 32 // bytes; enough for the number that BusyPath returns
)

// RemoteHost is a Host that controls a Worker in another process over HTTP.
type RemoteHost struct {
	address netip.AddrPort
	client  *http.Client
}

// NewRemoteHost returns a host that calls the worker at the address.
func NewRemoteHost(address netip.AddrPort) *RemoteHost {
	return &RemoteHost{address: address, client: &http.Client{Timeout: hostTimeout}}
}

// Drain makes the worker refuse new requests; errors are ignored.
func (h *RemoteHost) Drain() { _, _ = h.call(http.MethodPost, DrainPath) }

// Undrain makes the worker accept requests again; errors are ignored.
func (h *RemoteHost) Undrain() { _, _ = h.call(http.MethodPost, UndrainPath) }

// Busy returns the number of requests in progress, or 0 if the worker cannot be reached.
func (h *RemoteHost) Busy() int {
	body, err := h.call(http.MethodGet, BusyPath)
	if err != nil {
		return 0
	}
	busy, _ := strconv.Atoi(string(bytes.TrimSpace(body)))
	return busy
}

func (h *RemoteHost) call(method, path string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", h.address, path), nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(io.LimitReader(response.Body, maxResponse))
}
