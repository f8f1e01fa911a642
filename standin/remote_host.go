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
	hostTimeout  = time.Second
	maxBusyReply = 32 // bytes
)

// RemoteHost orders a worker of another process to drain.
type RemoteHost struct {
	address netip.AddrPort
	client  *http.Client
}

// NewRemoteHost returns the host behind a worker's address.
func NewRemoteHost(address netip.AddrPort) *RemoteHost {
	return &RemoteHost{address: address, client: &http.Client{Timeout: hostTimeout}}
}

// Drain makes the worker refuse new requests.
func (h *RemoteHost) Drain() { _, _ = h.call(http.MethodPost, DrainPath) }

// Undrain makes the worker accept requests again.
func (h *RemoteHost) Undrain() { _, _ = h.call(http.MethodPost, UndrainPath) }

// Busy returns the number of requests in progress; a worker that does not answer counts as idle.
func (h *RemoteHost) Busy() int {
	reply, err := h.call(http.MethodGet, BusyPath)
	if err != nil {
		return 0
	}
	busy, _ := strconv.Atoi(string(bytes.TrimSpace(reply)))
	return busy
}

func (h *RemoteHost) call(method, path string) (reply []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", h.address, path), nil)
	if err != nil {
		return nil, err
	}
	answer, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	return io.ReadAll(io.LimitReader(answer.Body, maxBusyReply))
}
