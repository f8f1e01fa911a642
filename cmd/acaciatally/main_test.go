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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
)

// TestMain runs the program itself when a test starts this binary as an entry.
func TestMain(m *testing.M) {
	if os.Getenv("ACACIATALLY_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// running is a real entry in front of a worker that answers when it is told to.
type running struct {
	t         *testing.T
	command   *exec.Cmd
	callers   string
	operators string
	begun     chan struct{}
	answer    chan struct{}
}

func start(t *testing.T) *running {
	r := &running{t: t, callers: freeAddress(t), operators: freeAddress(t), begun: make(chan struct{}), answer: make(chan struct{})}
	platform := httptest.NewServer(standin.NewServer(standin.NewTable()))
	t.Cleanup(platform.Close)
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		r.begun <- struct{}{}
		<-r.answer
		_, _ = io.WriteString(writer, "done")
	}))
	t.Cleanup(worker.Close)
	t.Cleanup(func() { close(r.answer) })
	path := filepath.Join(t.TempDir(), "settings.yaml")
	content := fmt.Sprintf("Deployment: test\nDataCentres: [hall-a]\nPlatform: {Address: %q}\nPeers: {Key: 0123456789abcdef}\n"+
		"Entries: [{ID: e, DataCentre: hall-a, CallerAddress: %q, OperatorAddress: %q, PeerAddress: %q}]\n"+
		"Pools: [{Name: coating, Instances: [{ID: w, DataCentre: hall-a, Rack: r, Address: %q}]}]\n",
		platform.Listener.Addr(), r.callers, r.operators, freeAddress(t), worker.Listener.Addr())
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	r.command = exec.CommandContext(t.Context(), os.Args[0], "serve", "-settings", path, "-entry", "e")
	r.command.Env = append(os.Environ(), "ACACIATALLY_TEST_MAIN=1")
	require.NoError(t, r.command.Start())
	r.eventually("/livez", http.StatusOK)
	r.eventually("/readyz", http.StatusOK)
	return r
}

// nextPort counts up below the ports that the system gives to connections, so that tests that run at the same time never share one.
var nextPort atomic.Uint32

const firstPort = 20000

func freeAddress(t *testing.T) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
}

func (r *running) request(method, address, path string) (status int, body string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, nil)
	require.NoError(r.t, err)
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

func (r *running) eventually(path string, status int) {
	require.Eventually(r.t, func() bool {
		got, _ := r.request(http.MethodGet, r.operators, path)
		return got == status
	}, time.Minute, 10*time.Millisecond)
}

// inProgress sends a request that the worker holds, and returns its answer's body when it comes.
func (r *running) inProgress() (body chan string) {
	body = make(chan string, 1)
	go func() {
		_, content := r.request(http.MethodGet, r.callers, "/coating/")
		body <- content
	}()
	<-r.begun
	return body
}

// Guards P7 in a real process: SIGTERM makes the entry unready, lets the request in progress finish, and ends with code 0.
func TestTerminate(t *testing.T) {
	r := start(t)
	body := r.inProgress()
	require.NoError(t, r.command.Process.Signal(syscall.SIGTERM))
	r.eventually("/readyz", http.StatusServiceUnavailable)
	r.answer <- struct{}{}
	require.Equal(t, "done", <-body)
	require.NoError(t, r.command.Wait())
}

// Guards the operator's way out: a second SIGTERM ends the process at once, with a request in progress.
func TestTerminateTwice(t *testing.T) {
	r := start(t)
	body := r.inProgress()
	require.NoError(t, r.command.Process.Signal(syscall.SIGTERM))
	r.eventually("/readyz", http.StatusServiceUnavailable)
	require.NoError(t, r.command.Process.Signal(syscall.SIGTERM))
	require.Error(t, r.command.Wait(), "exit code 1")
	require.Empty(t, <-body)
}
