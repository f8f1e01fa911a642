package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server behind a gate, whose handler reads the body and answers with its length.
type testServer struct {
	gate     *Gate
	listener *pipeListener
	server   *http.Server
	clients  []*client
}

func handleBody(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/panic") {
		_, _ = request.Body.Read(make([]byte, 1))
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(request.URL.Path, "/skip") {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/large") {
		_, _ = io.WriteString(writer, largeContent)
		return
	}
	content, err := ReadBody(writer, request, documentedBody)
	if strings.HasPrefix(request.URL.Path, "/slow") {
		time.Sleep(time.Second)
	}
	if err == nil && strings.HasPrefix(request.URL.Path, "/extend") {
		err = Extend(request.Context(), 1<<30)
	}
	var tooLarge *http.MaxBytesError
	var notAccepted *acaciatally.NotAcceptedError
	switch {
	case errors.As(err, &tooLarge):
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.WriteHeader(http.StatusRequestTimeout)
	case errors.As(err, &notAccepted):
		writer.WriteHeader(http.StatusServiceUnavailable)
	case err == nil:
		_, _ = fmt.Fprintf(writer, "%d", len(content))
	}
}

// runServer runs a test against a server in virtual time, and requires afterwards that the gate holds nothing.
func runServer(t *testing.T, config Config, test func(t *testing.T, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config.Limits = config.Limits.WithDefaults(0, 0)
		s := &testServer{
			gate: New(config), listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})},
			server: &http.Server{Handler: http.HandlerFunc(handleBody), IdleTimeout: time.Minute},
		}
		go func() { _ = s.server.Serve(s.gate.Serve(s.server, s.listener)) }()
		test(t, s)
		_ = s.server.Close()
		for _, c := range s.clients {
			_ = c.Close()
		}
		time.Sleep(10 * time.Second) // all connections and clients have ended
		synctest.Wait()
		state := s.gate.State()
		require.Zero(t, state.Bytes, "bytes remain reserved")
		require.Zero(t, state.Connections, "connections remain counted")
		require.Zero(t, s.gate.ledger.bodies, "bodies remain counted")
	})
}

// client is one connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	near, far := net.Pipe()
	s.listener.conns <- far
	c := &client{Conn: near, reader: bufio.NewReader(near)}
	s.clients = append(s.clients, c)
	return c
}

// send sends text in the background, since a pipe takes only what is read.
func (c *client) send(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// response returns the status and the body of the next response; the status is 0 if the connection is closed without one.
func (c *client) response(t *testing.T) (status int, content string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(read), response.Close
}

func post(path string, length int, sent string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, sent)
}

func chunked(chunks ...string) string {
	text := "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, chunk := range chunks {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	}
	return text
}

const largeBody = 100_000

// TestReservationsReturned guards against reservations and connections that stay counted however a request ends, and against wrong answers.
// runServer checks what is left.
func TestReservationsReturned(t *testing.T) {
	large := strings.Repeat("a", largeBody)
	tests := map[string]struct {
		send       string
		limits     Limits
		disconnect bool
		status     int
		closes     bool
	}{
		"answered":            {send: post("/", largeBody, large), status: 200},
		"chunked":             {send: chunked(large, large, ""), status: 200},
		"refused":             {send: post("/", largeBody, ""), limits: Limits{Bytes: largeBody}, status: 503, closes: true},
		"chunked refused":     {send: chunked(large), limits: Limits{Bytes: largeBody}, status: 503, closes: true},
		"announced too large": {send: post("/", documentedBody+1, ""), status: 413, closes: true},
		"chunked too large":   {send: chunked(large, large, large), status: 413, closes: true},
		"not extended":        {send: post("/extend", largeBody, large), status: 503},
		"panic":               {send: post("/panic", largeBody, large[1:]), closes: true},
		"disconnect":          {send: post("/", largeBody, large[1:]), disconnect: true, closes: true},
		"chunked disconnect":  {send: chunked(large), disconnect: true, closes: true},
		"stalled":             {send: post("/", largeBody, large[1:]), status: 408, closes: true},
		"chunked stalled":     {send: chunked(large), status: 408, closes: true},
		"skipped":             {send: post("/skip", largeBody, ""), status: 401, closes: true},
		"skipped small":       {send: post("/skip", 10, "0123456789"), status: 401},
		"skipped, stalled":    {send: post("/skip", 10, "012345678"), status: 401, closes: true},
		"asterisk form":       {send: "OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", status: 200},
		"long header":         {send: "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 16384) + "\r\n\r\n", status: 200},
		"header refused":      {send: "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 16384) + "\r\n\r\n", limits: Limits{Bytes: 30_000}, status: 503, closes: true},
		"endless header":      {send: "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 1<<20), status: 431, closes: true},
		"unfinished header":   {send: "GET / HTTP/1.1\r\nHost: ", closes: true},
		"unfinished line":     {send: "GET / HTTP/1.1\r\nHo", status: 400, closes: true},
		"malformed":           {send: "GET\r\n\r\n", status: 400, closes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runServer(t, Config{Limits: test.limits}, func(t *testing.T, s *testServer) {
				c := s.dial()
				c.send(test.send)
				if test.disconnect {
					synctest.Wait()
					_ = c.Close()
				}
				status, _, closes := c.response(t)
				require.Equal(t, test.status, status)
				require.Equal(t, test.closes, closes)
				if closes {
					return
				}
				synctest.Wait()
				require.Zero(t, s.gate.State().Bytes, "bytes remain reserved between requests")
				c.send(post("/", 2, "ab"))
				status, content, _ := c.response(t)
				require.Equal(t, 200, status, "the connection stays usable")
				require.Equal(t, "2", content)
			})
		})
	}
}

// TestRefusedBeforeReading guards against memory for, and reads of, a body that is refused.
func TestRefusedBeforeReading(t *testing.T) {
	runServer(t, Config{Limits: Limits{Bytes: largeBody}}, func(t *testing.T, s *testServer) {
		c := s.dial()
		go func() { _, _ = io.WriteString(c, post("/", largeBody, "")) }()
		sent := make(chan int, 1)
		status, _, _ := c.response(t)
		require.Equal(t, 503, status)
		go func() {
			n, _ := io.WriteString(c, strings.Repeat("a", largeBody))
			sent <- n
		}()
		require.Zero(t, <-sent, "bytes of the refused body were read")
		require.Equal(t, 1, s.gate.State().RefusedRequests)
	})
}

// TestSlowBody guards against a caller on a slow link that is refused without memory pressure, and against bodies that last too long.
func TestSlowBody(t *testing.T) {
	tests := map[string]struct {
		rate   int // bytes per second
		status int
	}{"10 KiB/s": {10 << 10, 200}, "1 KiB/s": {1 << 10, 408}}
	for name, test := range tests {
		for _, framing := range []string{"whole", "chunked"} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				runServer(t, Config{}, func(t *testing.T, s *testServer) {
					c := s.dial()
					go func() {
						_, _ = io.WriteString(c, map[string]string{"whole": post("/", documentedBody, ""), "chunked": chunked()}[framing])
						for sent := 0; sent < documentedBody; {
							n := min(test.rate, documentedBody-sent)
							sent += n
							time.Sleep(time.Duration(n) * time.Second / time.Duration(test.rate))
							text := strings.Repeat("a", n)
							if framing == "chunked" {
								text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
							}
							if _, err := io.WriteString(c, text); err != nil {
								return
							}
						}
						if framing == "chunked" {
							_, _ = io.WriteString(c, "0\r\n\r\n")
						}
					}()
					status, _, _ := c.response(t)
					require.Equal(t, test.status, status)
				})
			})
		}
	}
}

// TestSmallChunks guards against bodies in very small chunks that take the processor from others, and against the refusal of a single one.
func TestSmallChunks(t *testing.T) {
	text := chunked(strings.Split(strings.Repeat("a", documentedBody/16), "")...) + "0\r\n\r\n"
	for _, clients := range []int{1, 10} {
		runServer(t, Config{Processors: 0.192}, func(t *testing.T, s *testServer) {
			began := time.Now()
			var all sync.WaitGroup
			for range clients {
				c := s.dial()
				c.send(text)
				all.Go(func() {
					status, content, _ := c.response(t)
					assert.Equal(t, 200, status)
					assert.Equal(t, fmt.Sprint(documentedBody/16), content)
				})
			}
			all.Wait()
			took := time.Since(began) // time passes only in pauses
			cost := time.Duration(clients) * 5 * documentedBody / 16 / framingStep * framingTime
			require.InEpsilon(t, framingShare*0.192, cost.Seconds()/took.Seconds(), 0.2)
		})
	}
}

// TestHeaderTimeout guards against unfinished headers that stay open, on new and on used connections, and against a configured time limit
// without effect.
func TestHeaderTimeout(t *testing.T) {
	tests := map[string]struct {
		configured, want time.Duration
		used             bool
	}{
		"default":          {want: 3 * time.Second},
		"configured":       {configured: 500 * time.Millisecond, want: 500 * time.Millisecond},
		"configured, long": {configured: 5 * time.Second, want: 5 * time.Second},
		"used connection":  {want: 3 * time.Second, used: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runServer(t, Config{HeaderTimeout: func() time.Duration { return test.configured }}, func(t *testing.T, s *testServer) {
				c := s.dial()
				if test.used {
					c.send(post("/", 2, "ab"))
					_, _, _ = c.response(t)
					time.Sleep(20 * time.Second) // idle
				}
				began := time.Now()
				go func() {
					for _, err := io.WriteString(c, "GET / HTTP/1.1\r\nX: "); err == nil; _, err = io.WriteString(c, "a") {
						time.Sleep(100 * time.Millisecond)
					}
				}()
				_, err := io.ReadAll(c.reader)
				require.NoError(t, err)
				require.Equal(t, test.want, time.Since(began))
			})
		})
	}
}

// TestOrdinaryLoad guards against limits that ordinary callers of the smallest machine meet: 500 connections with 20 requests each, of 500 bytes or, on
// some, the largest body and header.
func TestOrdinaryLoad(t *testing.T) {
	runServer(t, Config{Limits: Limits{}.WithDefaults(184<<20, 4100)}, func(t *testing.T, s *testServer) {
		var all sync.WaitGroup
		for number := range 500 {
			c := s.dial()
			all.Go(func() {
				for range 20 {
					text := post("/slow", 500, strings.Repeat("a", 500))
					if number%50 == 0 {
						text = strings.Replace(post("/slow", documentedBody, strings.Repeat("a", documentedBody)), "\r\n", "\r\nX: "+strings.Repeat("a", 16000)+"\r\n", 1)
					}
					c.send(text)
					status, _, closes := c.response(t)
					assert.Equal(t, 200, status)
					assert.False(t, closes)
				}
			})
		}
		all.Wait()
		state := s.gate.State()
		require.Equal(t, Report{Connections: 500}, state)
	})
}

// TestIdleTimeBetweenRequests guards against limits on requests that also end idle connections.
func TestIdleTimeBetweenRequests(t *testing.T) {
	runServer(t, Config{}, func(t *testing.T, s *testServer) {
		c := s.dial()
		for range 3 {
			c.send(post("/", largeBody, strings.Repeat("a", largeBody)))
			status, _, _ := c.response(t)
			require.Equal(t, 200, status)
			time.Sleep(50 * time.Second)
		}
	})
}

// TestReadBodyWithoutGate guards against handlers that work only behind a gate.
func TestReadBodyWithoutGate(t *testing.T) {
	for _, length := range []int64{4, -1} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader("body"))
		require.NoError(t, err)
		request.ContentLength = length
		content, err := ReadBody(nil, request, 4)
		require.NoError(t, err)
		require.Equal(t, "body", string(content))
	}
	require.NoError(t, Extend(context.Background(), 1<<40))
}
