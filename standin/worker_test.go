package standin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
)

func ask(ctx context.Context, worker *standin.Worker) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/strip", strings.NewReader("work"))
	worker.ServeHTTP(recorder, request)
	return recorder
}

// TestWorkerSlots guards against a worker that runs more requests than it has slots, or runs new ones while it leaves.
func TestWorkerSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: time.Second})
		go ask(t.Context(), worker)
		synctest.Wait()
		require.Equal(t, http.StatusTooManyRequests, ask(t.Context(), worker).Code)
		worker.Drain()
		require.Equal(t, http.StatusServiceUnavailable, ask(t.Context(), worker).Code)
		require.Equal(t, 1, worker.Busy())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, standin.WorkerCounts{Run: 1, Full: 1, Leaving: 1, MostBusy: 1}, worker.Counts())
	})
}

// TestWorkerModes guards against a fault mode that answers like a healthy worker.
func TestWorkerModes(t *testing.T) {
	tests := map[string]struct {
		mode   standin.Mode
		status int
		took   time.Duration
		size   int
		broken bool
	}{
		"well":             {status: http.StatusOK, took: time.Second, size: len("done by coating-1: work")},
		"fast errors":      {mode: standin.ModeFastErrors, status: http.StatusInternalServerError},
		"slow":             {mode: standin.ModeSlow, status: http.StatusOK, took: 10 * time.Second, size: len("done by coating-1: work")},
		"hang":             {mode: standin.ModeHang, took: time.Minute, broken: true},
		"oversized answer": {mode: standin.ModeOversizedAnswer, status: http.StatusOK, took: time.Second, size: 2 << 20},
		"truncated answer": {mode: standin.ModeTruncatedAnswer, status: http.StatusOK, took: time.Second, broken: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: time.Second})
				worker.SetMode(test.mode)
				start := time.Now()
				content, status, err := overPipe(t, worker)
				require.Equal(t, test.took, time.Since(start))
				require.Equal(t, test.broken, err != nil)
				if !test.broken {
					require.Equal(t, test.status, status)
					require.Len(t, content, test.size)
				}
			})
		})
	}
}

type pipeListener struct{ connections chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	connection, open := <-l.connections
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func overPipe(t *testing.T, handler http.Handler) (content []byte, status int, err error) {
	t.Helper()
	listener := pipeListener{connections: make(chan net.Conn, 1)}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	near, far := net.Pipe()
	listener.connections <- far
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	defer func() {
		transport.CloseIdleConnections()
		close(listener.connections)
		_ = server.Close()
	}()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://worker/strip", strings.NewReader("work"))
	require.NoError(t, err)
	answer, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err = io.ReadAll(answer.Body)
	return content, answer.StatusCode, err
}
