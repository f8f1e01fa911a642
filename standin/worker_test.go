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

func sendRequest(ctx context.Context, worker *standin.Worker) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/strip", strings.NewReader("work"))
	worker.ServeHTTP(recorder, request)
	return recorder
}

// TestWorkerSlots checks that a worker refuses requests when all its slots are in use or it is draining.
func TestWorkerSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: time.Second})
		go sendRequest(t.Context(), worker)
		synctest.Wait()
		require.Equal(t, http.StatusTooManyRequests, sendRequest(t.Context(), worker).Code)
		worker.Drain()
		require.Equal(t, http.StatusServiceUnavailable, sendRequest(t.Context(), worker).Code)
		require.Equal(t, 1, worker.Busy())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, standin.WorkerCounts{Started: 1, RefusedFull: 1, RefusedDraining: 1, MaxBusy: 1}, worker.Counts())
	})
}

// TestWorkerModes checks the status, the duration and the body of the response in each mode.
func TestWorkerModes(t *testing.T) {
	tests := map[string]struct {
		mode     standin.Mode
		status   int
		duration time.Duration
		size     int
		fails    bool
	}{
		"healthy":          {status: http.StatusOK, duration: time.Second, size: len("done by coating-1: work")},
		"fast errors":      {mode: standin.ModeFastErrors, status: http.StatusInternalServerError},
		"slow":             {mode: standin.ModeSlow, status: http.StatusOK, duration: 10 * time.Second, size: len("done by coating-1: work")},
		"hang":             {mode: standin.ModeHang, duration: time.Minute, fails: true},
		"oversized answer": {mode: standin.ModeOversizedAnswer, status: http.StatusOK, duration: time.Second, size: 2 << 20},
		"truncated answer": {mode: standin.ModeTruncatedAnswer, status: http.StatusOK, duration: time.Second, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 1, ServiceTime: time.Second})
				worker.SetMode(test.mode)
				start := time.Now()
				content, status, err := requestOverPipe(t, worker)
				require.Equal(t, test.duration, time.Since(start))
				require.Equal(t, test.fails, err != nil)
				if !test.fails {
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

func requestOverPipe(t *testing.T, handler http.Handler) (content []byte, status int, err error) {
	t.Helper()
	listener := pipeListener{connections: make(chan net.Conn, 1)}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	clientEnd, serverEnd := net.Pipe()
	listener.connections <- serverEnd
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil }}
	defer func() {
		transport.CloseIdleConnections()
		close(listener.connections)
		_ = server.Close()
	}()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://worker/strip", strings.NewReader("work"))
	require.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	return content, response.StatusCode, err
}
