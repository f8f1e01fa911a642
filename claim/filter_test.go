package claim

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

// faultyTable can be down, or lose the answers of commits that took effect.
type faultyTable struct {
	*standin.Table
	down, losing atomic.Bool
	calls        atomic.Int64
}

func (f *faultyTable) Read(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	return f.Table.Read(ctx, keys...)
}

func (f *faultyTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	version, err := f.Table.Commit(ctx, transaction)
	if f.losing.Load() {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	return version, err
}

type objects map[string][]byte

func (o objects) Put(_ context.Context, name string, content []byte) error {
	o[name] = content
	return nil
}

func (o objects) Get(_ context.Context, name string) ([]byte, error) { return o[name], nil }

func (o objects) List(context.Context, string) ([]string, error) { return nil, nil }

// scene is two entries over one table in virtual time.
type scene struct {
	t       *testing.T
	table   *faultyTable
	objects objects
	one     *Filter
	other   *Filter
}

func inScene(t *testing.T, test func(s *scene)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &scene{t: t, table: &faultyTable{Table: standin.NewTable()}, objects: objects{}}
		s.one, s.other = s.entry(ctx, "entry-1"), s.entry(ctx, "entry-2")
		test(s)
		s.table.down.Store(false)
		cancel()
		synctest.Wait()
	})
}

func (s *scene) entry(ctx context.Context, id acaciatally.EntryID) *Filter {
	runner := NewRunner(RunnerConfig{Table: s.table, Interval: 20 * time.Millisecond, Metrics: metrics.NewSet()})
	go func() { _ = runner.Run(ctx) }()
	return New(Config{Entry: id, Runner: runner, Objects: s.objects})
}

func (s *scene) exchange(body string) *acaciatally.Exchange {
	return &acaciatally.Exchange{Request: acaciatally.Request{
		ID: id, Method: "POST", Path: "/coating/strip", Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	}}
}

// claim runs the filter and returns the exchange and the refusal, if any.
func (s *scene) claim(filter *Filter, body string) (*acaciatally.Exchange, *acaciatally.Refusal) {
	exchange := s.exchange(body)
	err := filter.Run(s.t.Context(), exchange)
	var refusal *acaciatally.Refusal
	require.True(s.t, err == nil || errors.As(err, &refusal), err)
	return exchange, refusal
}

func (s *scene) finish(exchange *acaciatally.Exchange, answer *acaciatally.Answer, refusal *acaciatally.Refusal) {
	exchange.Answer, exchange.Refusal = answer, refusal
	exchange.Finish()
	time.Sleep(100 * time.Millisecond)
}

func (s *scene) requireRefused(refusal *acaciatally.Refusal, outcome acaciatally.Outcome, status int) {
	require.NotNil(s.t, refusal)
	require.Equal(s.t, outcome, refusal.Outcome)
	require.Equal(s.t, status, refusal.Status)
}

const id = "01M908XNKEGHBKW9E02YFV0XTX"

// Guards P5 and P3 for the caller's own retry through another entry, during the run and after each kind of end.
func TestRepeatedRequest(t *testing.T) {
	large := bytes.Repeat([]byte("a"), MaxInline+1)
	done := &acaciatally.Answer{Status: 200, Header: http.Header{"Worker": {"one"}}, Body: []byte("done")}
	tests := map[string]struct {
		answer  *acaciatally.Answer
		refusal *acaciatally.Refusal
		body    string
		check   func(s *scene, exchange *acaciatally.Exchange, refusal *acaciatally.Refusal)
	}{
		"answered": {answer: done, check: func(s *scene, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(s.t, []byte("done"), exchange.Answer.Body)
			require.Equal(s.t, "one", exchange.Answer.Header.Get("Worker"))
			require.Equal(s.t, acaciatally.AnswerRecorded, exchange.Answer.Header.Get(acaciatally.AnswerHeader))
		}},
		"large": {answer: &acaciatally.Answer{Status: 200, Body: large}, check: func(s *scene, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(s.t, large, exchange.Answer.Body)
		}},
		"streamed": {answer: &acaciatally.Answer{Status: 201, Rest: http.NoBody}, check: func(s *scene, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(s.t, 201, exchange.Answer.Status)
			require.Equal(s.t, acaciatally.AnswerNotKept, exchange.Answer.Header.Get(acaciatally.AnswerHeader))
		}},
		"other body": {answer: done, body: "other", check: func(s *scene, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			s.requireRefused(refusal, acaciatally.NotRun, http.StatusUnprocessableEntity)
		}},
		"unknown": {refusal: &acaciatally.Refusal{Outcome: acaciatally.Unknown}, check: func(s *scene, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			s.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}},
		"unclear status": {answer: &acaciatally.Answer{Status: 503, Outcome: acaciatally.Unknown}, check: func(s *scene, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			s.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}},
		"not run": {refusal: &acaciatally.Refusal{Outcome: acaciatally.NotRun}, check: func(s *scene, exchange *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			require.Nil(s.t, refusal, "a request that did not run may be claimed again")
			require.Nil(s.t, exchange.Answer)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inScene(t, func(s *scene) {
				first, refusal := s.claim(s.one, "mirror 7")
				require.Nil(t, refusal)
				_, refusal = s.claim(s.other, "mirror 7")
				s.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
				s.finish(first, test.answer, test.refusal)
				body := test.body
				if body == "" {
					body = "mirror 7"
				}
				exchange, refusal := s.claim(s.other, body)
				test.check(s, exchange, refusal)
			})
		})
	}
}

// Guards P4 and P5 while the table service is down: nothing is claimed, the refusal says NotRun, the platform is not flooded.
func TestTableDown(t *testing.T) {
	inScene(t, func(s *scene) {
		s.table.down.Store(true)
		for range 50 {
			_, refusal := s.claim(s.one, "mirror 7")
			s.requireRefused(refusal, acaciatally.NotRun, http.StatusServiceUnavailable)
		}
		require.LessOrEqual(t, s.table.calls.Load(), int64(60), "calls while down")
		s.table.down.Store(false)
		_, refusal := s.claim(s.one, "mirror 7")
		require.Nil(t, refusal, "claims work again after the outage")
	})
}

// Guards against a request that runs twice, or is refused, because the answer of its claim's commit was lost.
func TestLostAnswer(t *testing.T) {
	inScene(t, func(s *scene) {
		s.table.losing.Store(true)
		exchange, refusal := s.claim(s.one, "mirror 7")
		require.Nil(t, refusal, "the claim is read back by its nonce")
		_, refusal = s.claim(s.other, "mirror 7")
		s.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		s.finish(exchange, &acaciatally.Answer{Status: 200}, nil)
		exchange, refusal = s.claim(s.other, "mirror 7")
		require.Nil(t, refusal)
		require.NotNil(t, exchange.Answer)
	})
}

// Guards P4 when an outage begins with a lost answer: the request is held to its deadline, refused as NotRun, and its claim
// released when the table service is back.
func TestLostAnswerThenOutage(t *testing.T) {
	inScene(t, func(s *scene) {
		s.table.losing.Store(true)
		s.one.config.Runner.config.Table = &outageAfterCommit{faultyTable: s.table}
		_, refusal := s.claim(s.one, "mirror 7")
		s.requireRefused(refusal, acaciatally.NotRun, http.StatusGatewayTimeout)
		s.table.down.Store(false)
		s.table.losing.Store(false)
		time.Sleep(time.Second)
		_, refusal = s.claim(s.other, "mirror 7")
		require.Nil(t, refusal, "the abandoned claim is released")
	})
}

type outageAfterCommit struct{ *faultyTable }

func (o *outageAfterCommit) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	version, err := o.faultyTable.Commit(ctx, transaction)
	if o.losing.Load() {
		o.down.Store(true)
	}
	return version, err
}

// Guards P5 when the holder dies between claim and send: the claim is never taken over, before or after the deadline.
func TestDeadHolder(t *testing.T) {
	inScene(t, func(s *scene) {
		_, refusal := s.claim(s.one, "mirror 7") // the holder never sends
		require.Nil(t, refusal)
		for _, pause := range []time.Duration{0, time.Minute, 50 * time.Minute} {
			time.Sleep(pause)
			_, refusal = s.claim(s.other, "mirror 7")
			s.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}
		require.Contains(t, refusal.Reason, "entry-1")
	})
}

// Guards the bounds of the sweep, and P5 against a claim that is deleted while its id is still accepted.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		sweeper := NewSweeper(SweeperConfig{
			Table: table, Retention: time.Hour, MaxDeadline: 10 * time.Minute,
			Random: rand.New(rand.NewPCG(1, 1)), Metrics: metrics.NewSet(),
		})
		add := func(age time.Duration, count int) {
			var transaction acaciatally.Transaction
			for range count {
				key := Key(ulid.MustNewDefault(time.Now().Add(-age)).String())
				transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: key})
			}
			_, err := table.Commit(t.Context(), transaction)
			require.NoError(t, err)
		}
		left := func() int {
			rows, err := table.Scan(t.Context(), keyPrefix, "", 1000)
			require.NoError(t, err)
			return len(rows)
		}
		add(2*time.Hour, sweepRows+1)
		add(time.Hour+10*time.Minute, 1) // no new claim, but a send may still come
		add(0, 1)
		more, err := sweeper.Sweep(t.Context())
		require.NoError(t, err)
		require.True(t, more)
		require.Equal(t, 3, left(), "one sweep deletes at most one batch")
		more, err = sweeper.Sweep(t.Context())
		require.NoError(t, err)
		require.False(t, more)
		require.Equal(t, 2, left())
	})
}
