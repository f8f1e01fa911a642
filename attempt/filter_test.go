package attempt

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// endpoint serves one connection; n is the number of the connection, starting from 0.
type endpoint func(n int, connection net.Conn)

// fixture is a filter with one worker that is connected through net.Pipe.
type fixture struct {
	filter   *Filter
	requests atomic.Int64 // requests that the endpoint read completely
	released []acaciatally.AttemptResult
	refuse   *acaciatally.Refusal // returned by Acquire from the second call on
	acquired int
	pause    time.Duration // how long Acquire blocks, to simulate a paused process
}

func (f *fixture) Acquire(context.Context, acaciatally.Request) (*acaciatally.Grant, error) {
	f.acquired++
	time.Sleep(f.pause)
	if f.refuse != nil && f.acquired > 1 {
		return nil, f.refuse
	}
	return &acaciatally.Grant{Worker: "coating-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Release: func(result acaciatally.AttemptResult) {
		f.released = append(f.released, result)
	}}, nil
}

func newFixture(serve endpoint) *fixture {
	f := &fixture{}
	dialled := 0
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		n := dialled
		dialled++
		go func() {
			defer func() { _ = server.Close() }()
			serve(n, server)
		}()
		return client, nil
	}
	f.filter = New(Config{
		Slots: f, Dial: dial, ProvesNotRun: func(acaciatally.PoolName) []int { return []int{429} },
		Budget: NewBudget(0.05), MaxRetries: 2, MaxAnswer: 1 << 10, MaxIdle: 4, ConnectTimeout: 2 * time.Second,
		IdleTimeout: 5 * time.Second, Random: func() float64 { return 0.5 }, Metrics: metrics.NewSet(),
	})
	return f
}

// reply reads one request for each of the given answers and writes the answer; then the connection is closed.
func (f *fixture) reply(connection net.Conn, answers ...string) {
	reader := bufio.NewReader(connection)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.requests.Add(1)
		_, _ = io.WriteString(connection, answer)
	}
}

func (f *fixture) run(t *testing.T, method string, idempotent bool, header http.Header) (*acaciatally.Exchange, *acaciatally.Refusal) {
	body := ""
	if method == http.MethodPost {
		body = "mirror"
	}
	if method == "POST without body" {
		method = http.MethodPost
	}
	exchange := &acaciatally.Exchange{
		HTTP: httptest.NewRequestWithContext(t.Context(), method, "/coating/strip", nil),
		Request: acaciatally.Request{
			ID: "r", Pool: "coating", Method: method, Path: "/coating/strip", Header: header, Body: []byte(body),
			Idempotent: idempotent, Deadline: time.Now().Add(20 * time.Second),
		},
	}
	err := f.filter.Run(t.Context(), exchange)
	if err == nil {
		return exchange, nil
	}
	exchange.Finish()
	var refusal *acaciatally.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	return exchange, refusal
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// TestOutcomes guards against wrong outcomes: each way in which an attempt can end must give exactly one correct outcome and release
// the slot once.
func TestOutcomes(t *testing.T) {
	unknown, notRun := acaciatally.Unknown, acaciatally.NotRun
	tests := map[string]struct {
		answer  string
		method  string // POST when empty
		broken  error  // error of the dial function
		outcome acaciatally.Outcome
		status  int
	}{
		"complete":                 {answer: ok, status: 200},
		"chunked":                  {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", status: 200},
		"no content":               {answer: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		"head with a long body":    {answer: "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", method: "HEAD", status: 200},
		"failed":                   {answer: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", outcome: acaciatally.Failed, status: 500},
		"gateway":                  {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", outcome: unknown, status: 503},
		"status proves not run":    {answer: "HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n", outcome: notRun, status: 503},
		"dial refused":             {broken: errors.New("connection refused"), outcome: notRun, status: 503},
		"closed without an answer": {answer: "", outcome: unknown, status: 502},
		"truncated header":         {answer: "HTTP/1.1 200 OK\r\nContent-", outcome: unknown, status: 502},
		"truncated body":           {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", outcome: unknown, status: 502},
		"truncated chunk":          {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", outcome: unknown, status: 502},
		"no length":                {answer: "HTTP/1.1 200 OK\r\n\r\ndone", outcome: unknown, status: 502},
		"switched protocols":       {answer: "HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", outcome: unknown, status: 502},
		"for another request":      {answer: "HTTP/1.1 200 OK\r\nAcaciatally-Request-Id: q\r\nContent-Length: 0\r\n\r\n", outcome: unknown, status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture
				f = newFixture(func(_ int, connection net.Conn) { f.reply(connection, test.answer) })
				defer f.filter.Close()
				if test.broken != nil {
					f.filter.transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, test.broken }
				}
				method := test.method
				if method == "" {
					method = http.MethodPost
				}
				exchange, refusal := f.run(t, method, false, nil)
				if refusal != nil {
					require.Equal(t, test.outcome, refusal.Outcome, refusal.Reason)
					require.Equal(t, test.status, refusal.Status)
					require.Nil(t, exchange.Answer)
				} else {
					require.Equal(t, test.outcome, exchange.Answer.Outcome)
					require.Equal(t, test.status, exchange.Answer.Status)
				}
				require.Len(t, f.released, exchange.Attempts, "each slot is released once")
				require.Equal(t, test.outcome, f.released[0].Outcome)
				exchange.Finish()
			})
		})
	}
}

// TestNoTransportRetry guards against a non-idempotent request that runs twice because net/http resends it when a reused connection
// breaks after the request was read.
func TestNoTransportRetry(t *testing.T) {
	for name, header := range map[string]http.Header{
		http.MethodGet: nil, http.MethodHead: nil, http.MethodOptions: nil, http.MethodPost: {"Idempotency-Key": {"k"}},
		"POST without body": {"X-Idempotency-Key": {"k"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture
				f = newFixture(func(_ int, connection net.Conn) { f.reply(connection, ok, "") })
				defer f.filter.Close()
				_, refusal := f.run(t, http.MethodPost, false, nil)
				require.Nil(t, refusal)
				_, refusal = f.run(t, name, false, header)
				require.NotNil(t, refusal)
				require.Equal(t, acaciatally.Unknown, refusal.Outcome)
				require.Equal(t, int64(2), f.requests.Load(), "endpoint read the second request more than once")
			})
		})
	}
}

// TestSurplusAnswer guards against surplus bytes on a reused connection that are taken for the answer to the next request.
func TestSurplusAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := strings.ReplaceAll(ok, "done", "old!")
		var f *fixture
		f = newFixture(func(_ int, connection net.Conn) { f.reply(connection, ok+stale, ok) })
		defer f.filter.Close()
		for range 20 {
			exchange, refusal := f.run(t, http.MethodGet, true, nil)
			if refusal == nil {
				require.Equal(t, "done", string(exchange.Answer.Body))
			}
		}
	})
}

// TestRetries guards against retries of the wrong outcomes or too many retries, and against outcome NotRun after an attempt that may
// have run.
func TestRetries(t *testing.T) {
	full := "HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		answers    []string // one per connection
		idempotent bool
		noBudget   bool
		refuse     *acaciatally.Refusal
		requests   int64
		outcome    acaciatally.Outcome
	}{
		"refused, then answered":               {answers: []string{full, ok}, requests: 2},
		"refused three times":                  {answers: []string{full, full, full, ok}, requests: 3, outcome: acaciatally.NotRun},
		"refused without budget":               {answers: []string{full, ok}, noBudget: true, requests: 1, outcome: acaciatally.NotRun},
		"unknown":                              {answers: []string{"", ok}, requests: 1, outcome: acaciatally.Unknown},
		"unknown, idempotent":                  {answers: []string{"", ok}, idempotent: true, requests: 2},
		"unknown, then refused":                {answers: []string{"", full, full}, idempotent: true, requests: 3, outcome: acaciatally.Unknown},
		"unknown, then no slot":                {answers: []string{"", ok}, idempotent: true, refuse: &acaciatally.Refusal{Outcome: acaciatally.NotRun}, requests: 1, outcome: acaciatally.Unknown},
		"gateway status, then answered":        {answers: []string{"HTTP/1.1 502 Bad\r\nContent-Length: 0\r\n\r\n", ok}, idempotent: true, requests: 2},
		"failed is not retried":                {answers: []string{"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n", ok}, idempotent: true, requests: 1},
		"refused on the first two connections": {answers: []string{full, full, ok}, requests: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture
				f = newFixture(func(n int, connection net.Conn) { f.reply(connection, test.answers[n]) })
				defer f.filter.Close()
				f.refuse = test.refuse
				if test.noBudget {
					f.filter.config.Budget = &Budget{}
				}
				exchange, refusal := f.run(t, http.MethodPost, test.idempotent, nil)
				require.Equal(t, test.requests, f.requests.Load())
				require.Len(t, f.released, exchange.Attempts)
				if test.outcome == "" {
					require.Nil(t, refusal)
					return
				}
				require.Equal(t, test.outcome, refusal.Outcome)
			})
		})
	}
}

// TestTimeouts guards against timeouts or cancellations by the caller that do not end the attempt, report a wrong outcome, or keep
// the slot.
func TestTimeouts(t *testing.T) {
	read := func(_ int, connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }
	stall := func(_ int, connection net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		_, _ = connection.Read(make([]byte, 1)) // until it is closed
	}
	tests := map[string]struct {
		serve     endpoint
		dialHangs bool
		firstByte time.Duration
		leave     time.Duration // when the caller disconnects
		want      time.Duration
		outcome   acaciatally.Outcome
		status    int
		cutOff    bool
	}{
		"connect":       {serve: read, dialHangs: true, want: 2 * time.Second, outcome: acaciatally.NotRun, status: 503},
		"first byte":    {serve: read, firstByte: 3 * time.Second, want: 3 * time.Second, outcome: acaciatally.Unknown, status: 502},
		"idle":          {serve: stall, want: 5 * time.Second, outcome: acaciatally.Unknown, status: 502},
		"total":         {serve: read, want: 20 * time.Second, outcome: acaciatally.Unknown, status: 504, cutOff: true},
		"caller leaves": {serve: read, leave: time.Second, want: time.Second, outcome: acaciatally.Unknown, status: 502, cutOff: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(test.serve)
				defer f.filter.Close()
				f.filter.config.FirstByteTimeout = test.firstByte
				f.filter.config.MaxRetries = 0
				if test.dialHangs {
					f.filter.transport.DialContext = recordingDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					}, 2*time.Second)
				}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if test.leave > 0 {
					time.AfterFunc(test.leave, leave)
				}
				start := time.Now()
				exchange := &acaciatally.Exchange{
					HTTP:    httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/coating/", nil),
					Request: acaciatally.Request{Method: "GET", Path: "/coating/", Idempotent: true, Deadline: start.Add(20 * time.Second)},
				}
				err := f.filter.Run(ctx, exchange)
				var refusal *acaciatally.Refusal
				require.True(t, errors.As(err, &refusal), "%v", err)
				require.Equal(t, test.outcome, refusal.Outcome)
				require.Equal(t, test.status, refusal.Status)
				require.Equal(t, test.want, time.Since(start))
				require.Len(t, f.released, 1)
				require.Equal(t, test.cutOff, f.released[0].EndedByCaller, "only attempts that the caller ended are cut off")
				exchange.Finish()
			})
		})
	}
}

// TestLongAnswer guards against unlimited buffering: a long answer must be streamed, its slot released at the end, and a truncated
// answer reported as an error.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("a", 5000)
	for name, test := range map[string]struct {
		answer string
		broken bool
	}{
		"complete":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + long},
		"chunked":          {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + long + "\r\n0\r\n\r\n"},
		"truncated body":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5001\r\n\r\n" + long, broken: true},
		"truncated chunks": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + long + "\r\n", broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture
				f = newFixture(func(_ int, connection net.Conn) { f.reply(connection, test.answer) })
				defer f.filter.Close()
				exchange, refusal := f.run(t, http.MethodPost, false, nil)
				require.Nil(t, refusal)
				require.Empty(t, f.released, "slot released before the end of the answer")
				rest, err := io.ReadAll(exchange.Answer.Remainder)
				require.Equal(t, test.broken, err != nil)
				require.Equal(t, long, string(exchange.Answer.Body)+string(rest))
				_ = exchange.Answer.Remainder.Close()
				exchange.Finish()
				require.Len(t, f.released, 1)
			})
		})
	}
}

// TestPausedBeforeSend guards against sending after the deadline when the process was paused after claiming the request; the outcome
// must be NotRun.
func TestPausedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *fixture
		f = newFixture(func(_ int, connection net.Conn) { f.reply(connection, ok) })
		defer f.filter.Close()
		f.pause = time.Minute
		_, refusal := f.run(t, http.MethodPost, false, nil)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		require.Equal(t, http.StatusGatewayTimeout, refusal.Status)
		require.Zero(t, f.requests.Load())
		require.Len(t, f.released, 1)
	})
}
