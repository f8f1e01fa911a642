package flood

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// readerClients is the number of clients that do not read their responses.
	readerClients = 300
	// smallWindow is the size of their receive buffers, in bytes.
	smallWindow = 2 << 10
	// pipelinedRequests is the number of requests that each of them sends.
	pipelinedRequests = 5000
)

// openUnread connects clients that send the same request again and again and do not read the responses. It returns when all have sent what they can.
// Their connections stay open until the test ends.
func openUnread(t *testing.T, address, request string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var sent, ended sync.WaitGroup
	for range readerClients {
		sent.Add(1)
		ended.Go(func() { sendUnread(ctx, address, request, sync.OnceFunc(sent.Done)) })
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	sent.Wait()
}

// sendUnread is one client. It calls sent when the server takes no more requests or it has given up, and holds its connection open until ctx ends.
func sendUnread(ctx context.Context, address, request string, sent func()) {
	defer sent()
	dialer := &net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
	}}
	for range crowdAttempts {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
		_, err = conn.Write([]byte(strings.Repeat(request, pipelinedRequests)))
		if stalled, ok := err.(net.Error); err == nil || ok && stalled.Timeout() { //nolint:errorlint // a connection returns it as it is
			sent()
			<-ctx.Done()
		}
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			return
		}
	}
}

// requireWithstandsUnread sends such a crowd to an address and requires that the process stays within its limits and answers an ordinary request.
func requireWithstandsUnread(t *testing.T, p *process, address, request string, ordinary func() (status int, content string)) {
	t.Helper()
	stop := p.watch()
	openUnread(t, address, request)
	time.Sleep(holdTime)
	status, content := ordinary()
	used := stop()
	requireBounded(t, p, used)
	assert.LessOrEqual(t, used.resident+used.unsent, int64(memoryMB<<20), "resident memory and unsent bytes exceed the memory limit")
	require.Equal(t, http.StatusOK, status, content)
}

const (
	metricsRequest = "GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n"
	stateRequest   = "GET /quotes/00000000dddddddd HTTP/1.1\r\nHost: a.example\r\n\r\n"
	sendRequest    = "GET /coating/strip HTTP/1.1\r\nHost: a.example\r\nAcaciatally-Idempotent: true\r\n\r\n"
)

// TestUnreadAttend guards against clients that keep others out with connections whose responses they do not read.
func TestUnreadAttend(t *testing.T) {
	submit := func(p *process) func() (int, string) {
		return func() (int, string) {
			return p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
		}
	}
	t.Run("metrics", func(t *testing.T) {
		p := startAttend(t)
		requireWithstandsUnread(t, p, p.metrics, metricsRequest, submit(p))
	})
	t.Run("states", func(t *testing.T) {
		p := startAttend(t)
		requireWithstandsUnread(t, p, p.callers, stateRequest, submit(p))
	})
	t.Run("after unfinished requests", func(t *testing.T) {
		p := startAttend(t)
		crowds("POST /quotes/%d")[0].send(t, p.callers)
		requireWithstandsUnread(t, p, p.metrics, metricsRequest, submit(p))
	})
}

// TestUnreadServe guards against the same on the traffic path and the operators' address.
func TestUnreadServe(t *testing.T) {
	send := func(p *process) func() (int, string) {
		return func() (int, string) { return p.request(http.MethodPost, p.callers, "/coating/strip", "mirror 7") }
	}
	t.Run("metrics", func(t *testing.T) {
		p := startServe(t)
		requireWithstandsUnread(t, p, p.metrics, metricsRequest, send(p))
	})
	t.Run("requests", func(t *testing.T) {
		p := startServe(t)
		requireWithstandsUnread(t, p, p.callers, sendRequest, send(p))
	})
}

// TestPeerPort guards against clients of the address for other entries that do not have the key of the deployment.
func TestPeerPort(t *testing.T) {
	tests := map[string]crowd{
		"silent":            {body: []byte("\x00")},
		"no protocol":       {body: []byte(strings.Repeat("x", maxBody))},
		"long announcement": {head: "\xff\xff\x3f", body: []byte(strings.Repeat("\x00", 1<<20-1))},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := startServe(t)
			requireWithstands(t, p, c, p.peers, func() (int, string) {
				return p.request(http.MethodPost, p.callers, "/coating/strip", "mirror 7")
			})
		})
	}
}
