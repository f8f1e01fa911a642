package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
)

// TestMain runs the program instead of the tests when a test has started this binary as an entry.
func TestMain(m *testing.M) {
	if os.Getenv("ACACIATALLY_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// entryProcess is an entry in a separate process, with a worker that holds each request until the test lets it finish.
type entryProcess struct {
	t               *testing.T
	command         *exec.Cmd
	callerAddress   string
	operatorAddress string
	requestReceived chan struct{}
	finishRequest   chan struct{}
}

func startProcess(t *testing.T) *entryProcess {
	p := &entryProcess{t: t, callerAddress: freeAddress(t), operatorAddress: freeAddress(t), requestReceived: make(chan struct{}), finishRequest: make(chan struct{})}
	platform := httptest.NewServer(standin.NewServer(standin.NewTable()))
	t.Cleanup(platform.Close)
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		p.requestReceived <- struct{}{}
		<-p.finishRequest
		_, _ = io.WriteString(writer, "done")
	}))
	t.Cleanup(worker.Close)
	t.Cleanup(func() { close(p.finishRequest) })
	path := filepath.Join(t.TempDir(), "settings.yaml")
	content := fmt.Sprintf("Deployment: test\nDataCentres: [hall-a]\nPlatform: {Address: %q}\nPeers: {Key: 0123456789abcdef}\n"+
		"Entries: [{ID: e, DataCentre: hall-a, CallerAddress: %q, OperatorAddress: %q, PeerAddress: %q}]\n"+
		"Pools: [{Name: coating, Instances: [{ID: w, DataCentre: hall-a, Rack: r, Address: %q}]}]\n",
		platform.Listener.Addr(), p.callerAddress, p.operatorAddress, freeAddress(t), worker.Listener.Addr())
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	p.command = exec.CommandContext(t.Context(), os.Args[0], "serve", "-settings", path, "-entry", "e")
	p.command.Env = append(os.Environ(), "ACACIATALLY_TEST_MAIN=1")
	require.NoError(t, p.command.Start())
	p.awaitStatus("/livez", http.StatusOK)
	p.awaitStatus("/readyz", http.StatusOK)
	return p
}

const (
	firstPort  = 20000 // the ports of the tests are below the ephemeral port range
	portBlocks = 40    // runs of this package at a time that do not share a port
	blockSize  = 300
)

// blockListener listens on the first port of portBlock until this run of the package ends, so that no other run takes the block.
var blockListener net.Listener

// portBlock returns the first port of the block of this run.
var portBlock = sync.OnceValue(func() (first uint32) {
	for first = firstPort; first < firstPort+portBlocks*blockSize; first += blockSize {
		address := fmt.Sprintf("127.0.0.1:%d", first)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			blockListener = listener
			return first
		}
	}
	panic("all blocks of ports are in use")
})

// nextPort counts the ports taken from portBlock, so that tests that run in parallel never share a port.
var nextPort atomic.Uint32

func freeAddress(t *testing.T) string {
	for {
		offset := nextPort.Add(1)
		require.Less(t, offset, uint32(blockSize), "the block of ports is used up")
		address := fmt.Sprintf("127.0.0.1:%d", portBlock()+offset)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
}

func (p *entryProcess) request(method, address, path string) (status int, body string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, nil)
	require.NoError(p.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

func (p *entryProcess) awaitStatus(path string, status int) {
	require.Eventually(p.t, func() bool {
		got, _ := p.request(http.MethodGet, p.operatorAddress, path)
		return got == status
	}, time.Minute, 10*time.Millisecond)
}

// startRequest sends a request and waits until the worker holds it. The channel delivers the body of the response, or "" if it fails.
func (p *entryProcess) startRequest() (body chan string) {
	body = make(chan string, 1)
	go func() {
		_, content := p.request(http.MethodGet, p.callerAddress, "/coating/")
		body <- content
	}()
	<-p.requestReceived
	return body
}

// TestTerminate guards against an entry that, on SIGTERM or SIGHUP, stays ready, cuts off the request in progress or exits with another code than 0
// (P7 in docs/PROOFS.md). A SIGHUP that comes during the stop is no reason to end at once.
func TestTerminate(t *testing.T) {
	tests := map[string]struct{ first, second syscall.Signal }{
		"terminate": {first: syscall.SIGTERM}, "hangup": {first: syscall.SIGHUP}, "terminate, hangup": {syscall.SIGTERM, syscall.SIGHUP},
		"hangup, terminate": {syscall.SIGHUP, syscall.SIGTERM}, "hangup twice": {syscall.SIGHUP, syscall.SIGHUP},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t)
			body := p.startRequest()
			require.NoError(t, p.command.Process.Signal(test.first))
			p.awaitStatus("/readyz", http.StatusServiceUnavailable)
			if test.second != 0 {
				require.NoError(t, p.command.Process.Signal(test.second))
			}
			p.finishRequest <- struct{}{}
			require.Equal(t, "done", <-body)
			require.NoError(t, p.command.Wait())
		})
	}
}

// TestTerminateTwice guards against an entry that an operator can't stop: a second SIGTERM ends the process at once, even with a request in
// progress.
func TestTerminateTwice(t *testing.T) {
	p := startProcess(t)
	body := p.startRequest()
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	p.awaitStatus("/readyz", http.StatusServiceUnavailable)
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	require.Error(t, p.command.Wait(), "exit code 1")
	require.Empty(t, <-body)
}
