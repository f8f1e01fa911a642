package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// callIDHeader identifies one call, so that the endpoint can distinguish the calls that repeat a request under the same id.
const callIDHeader = "X-Call"

// countingEndpoint counts the runs of each request and each call. It answers 429 above 24 concurrent requests.
type countingEndpoint struct {
	mu            sync.Mutex
	runsByRequest map[string]int
	runsByCall    map[string]int
	inProgress    int
}

func (e *countingEndpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if !e.begin(request) {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(20 * time.Millisecond)
	e.end()
	_, _ = io.WriteString(writer, request.Header.Get(acaciatally.RequestIDHeader))
}

func (e *countingEndpoint) begin(request *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inProgress >= 24 {
		return false
	}
	e.inProgress++
	e.runsByRequest[request.Header.Get(acaciatally.RequestIDHeader)]++
	e.runsByCall[request.Header.Get(callIDHeader)]++
	return true
}

func (e *countingEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress--
}

// reply is the result of a call: an outcome, a complete answer, or neither if the connection was cut.
type reply struct {
	call, id   string
	idempotent bool
	entry      int
	outcome    acaciatally.Outcome
	answer     string
	cut        bool
	impatient  bool // the caller used impatientTimeout
}

type caller struct {
	d         *deployment
	random    *rand.Rand
	name      string
	client    *http.Client
	calls     int
	replies   []reply
	impatient *atomic.Bool // whether calls use impatientTimeout; may be nil
}

// impatientTimeout is shorter than the time of an answer.
const impatientTimeout = 10 * time.Millisecond

// sendUntil sends requests until the given time. A request without an answer is repeated under its id through a random entry, up to
// three times.
func (c *caller) sendUntil(until time.Time) {
	for time.Now().Before(until) {
		id, idempotent := ulid.MustNewDefault(time.Now()).String(), c.random.IntN(2) == 0
		for range 4 {
			r := c.call(id, idempotent, c.random.IntN(len(c.d.hosts)))
			c.replies = append(c.replies, r)
			if r.answer != "" {
				break
			}
			time.Sleep(time.Duration(c.random.IntN(500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(c.random.IntN(50)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

func (c *caller) call(id string, idempotent bool, entry int) reply {
	c.calls++
	r := reply{call: fmt.Sprint(c.name, c.calls), id: id, idempotent: idempotent, entry: entry}
	limit := time.Minute
	if c.impatient != nil && c.impatient.Load() {
		r.impatient, limit = true, impatientTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(callerPorts, entry).String()+"/coating/", strings.NewReader(id))
	require.NoError(c.d.t, err)
	request.Header.Set(acaciatally.RequestIDHeader, id)
	request.Header.Set(callIDHeader, r.call)
	request.Header.Set(acaciatally.DeadlineHeader, "2s")
	if idempotent {
		request.Header.Set(acaciatally.IdempotentHeader, "true")
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.cut = true
		return r
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	r.cut = err != nil
	if r.outcome = acaciatally.Outcome(response.Header.Get(acaciatally.OutcomeHeader)); r.outcome == "" {
		r.answer = string(content)
	}
	return r
}

// TestFaultsOnTheWholePath guards guarantees P3, P4 and P5 (docs/PROOFS.md) on the whole request path during lost commit answers, an
// outage of the table service and the crash of an entry and a worker: no request runs twice unless it is idempotent, each call ends,
// a call refused as NotRun has not run, and each answer belongs to its request.
func TestFaultsOnTheWholePath(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e := &countingEndpoint{runsByRequest: map[string]int{}, runsByCall: map[string]int{}}
		d := newDeployment(t, 3, 4, e)
		start := time.Now()
		time.AfterFunc(1*time.Second, func() { d.faults.loseAnswers.Store(true) })
		time.AfterFunc(2*time.Second, func() { d.faults.loseAnswers.Store(false) })
		time.AfterFunc(3*time.Second, func() { d.faults.down.Store(true) })
		time.AfterFunc(5*time.Second, func() { d.faults.down.Store(false) })
		time.AfterFunc(6*time.Second, d.hosts[0].kill)
		time.AfterFunc(7*time.Second, d.workers[0].kill)
		callers := make([]*caller, 30)
		var group sync.WaitGroup
		for i := range callers {
			callers[i] = &caller{d: d, name: string(rune('A' + i)), client: d.client(), random: rand.New(rand.NewPCG(1, uint64(i)))}
			group.Go(func() { callers[i].sendUntil(start.Add(9 * time.Second)) })
		}
		group.Wait()
		d.close()
		cut, byOutcome := 0, map[acaciatally.Outcome]int{}
		for _, c := range callers {
			for _, r := range c.replies {
				byOutcome[r.outcome]++
				if r.cut {
					cut++
				}
				e.checkReply(t, r)
			}
		}
		answered := byOutcome[""] - cut
		require.Greater(t, answered, 500, "most calls must be answered")
		require.Greater(t, byOutcome[acaciatally.NotRun], 50, "the outage causes refusals")
		require.Positive(t, byOutcome[acaciatally.Unknown]+cut, "the crashes leave some outcomes unknown")
		t.Log(answered, cut, byOutcome)
	})
}

func (e *countingEndpoint) checkReply(t *testing.T, r reply) {
	if !r.idempotent {
		require.LessOrEqual(t, e.runsByRequest[r.id], 1, "request %s ran twice", r.id)
	}
	switch {
	case r.outcome == acaciatally.NotRun:
		require.Zero(t, e.runsByCall[r.call], "a call refused as not run has run")
	case r.outcome == "" && !r.cut:
		require.Equal(t, r.id, r.answer, "the answer belongs to another request")
	case r.cut:
		require.Equal(t, 0, r.entry, "a call through a live entry was cut")
	}
}

// TestGracefulStop guards guarantee P7 (docs/PROOFS.md) for entries: a stopping entry reports not ready, answers the requests in
// progress and records their answers under their claims.
func TestGracefulStop(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		d := newDeployment(t, 2, 1, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(writer, "done")
		}))
		c := &caller{d: d, client: d.client(), random: rand.New(rand.NewPCG(1, 1))}
		d.settings.Traffic.DefaultDeadline = time.Minute
		id := ulid.MustNewDefault(time.Now()).String()
		answered := make(chan reply, 1)
		go func() {
			request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://127.0.0.1:100/coating/", http.NoBody)
			request.Header.Set(acaciatally.RequestIDHeader, id)
			answered <- c.do(request)
		}()
		time.Sleep(time.Second)
		require.Equal(t, "ready\n", c.get("http://127.0.0.1:200/readyz").answer)
		d.stop[1]()
		time.Sleep(time.Second)
		require.Equal(t, "not ready\n", c.get("http://127.0.0.1:200/readyz").answer)
		require.True(t, c.get("http://127.0.0.1:100/coating/").cut, "a stopping entry accepts a connection")
		require.Equal(t, "done", (<-answered).answer)
		require.NoError(t, <-d.results[0])
		d.results[0] <- nil
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://127.0.0.1:101/coating/", http.NoBody)
		request.Header.Set(acaciatally.RequestIDHeader, id)
		require.Equal(t, "done", c.do(request).answer, "the answer is recorded")
		c.client.CloseIdleConnections()
	})
}

func (c *caller) get(url string) reply {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	require.NoError(c.d.t, err)
	return c.do(request)
}

func (c *caller) do(request *http.Request) reply {
	response, err := c.client.Do(request)
	if err != nil {
		return reply{cut: true}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{answer: string(content), cut: err != nil}
}
