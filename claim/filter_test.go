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

// faultyTable simulates an outage, or loses the responses of commits that took effect.
type faultyTable struct {
	*standin.Table
	down, loseResponses atomic.Bool
	calls               atomic.Int64
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
	if f.loseResponses.Load() {
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

// fixture has two entries that share one table, in virtual time.
type fixture struct {
	t       *testing.T
	table   *faultyTable
	objects objects
	first   *Filter
	second  *Filter
}

func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fixture{t: t, table: &faultyTable{Table: standin.NewTable()}, objects: objects{}}
		f.first, f.second = f.newFilter(ctx, "entry-1"), f.newFilter(ctx, "entry-2")
		test(f)
		f.table.down.Store(false)
		cancel()
		synctest.Wait()
	})
}

func (f *fixture) newFilter(ctx context.Context, id acaciatally.EntryID) *Filter {
	runner := NewRunner(RunnerConfig{Table: f.table, Interval: 20 * time.Millisecond, Metrics: metrics.NewSet()})
	go func() { _ = runner.Run(ctx) }()
	return New(Config{Entry: id, Runner: runner, Objects: f.objects})
}

func (f *fixture) exchange(body string) *acaciatally.Exchange {
	return &acaciatally.Exchange{Request: acaciatally.Request{
		ID: id, Method: "POST", Path: "/coating/strip", Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	}}
}

// claim runs the filter and returns the exchange and the refusal, if any.
func (f *fixture) claim(filter *Filter, body string) (*acaciatally.Exchange, *acaciatally.Refusal) {
	exchange := f.exchange(body)
	err := filter.Run(f.t.Context(), exchange)
	var refusal *acaciatally.Refusal
	require.True(f.t, err == nil || errors.As(err, &refusal), err)
	return exchange, refusal
}

func (f *fixture) finish(exchange *acaciatally.Exchange, answer *acaciatally.Answer, refusal *acaciatally.Refusal) {
	exchange.Answer, exchange.Refusal = answer, refusal
	exchange.Finish()
	time.Sleep(100 * time.Millisecond)
}

func (f *fixture) requireRefused(refusal *acaciatally.Refusal, outcome acaciatally.Outcome, status int) {
	require.NotNil(f.t, refusal)
	require.Equal(f.t, outcome, refusal.Outcome)
	require.Equal(f.t, status, refusal.Status)
}

const id = "01M908XNKEGHBKW9E02YFV0XTX"

// TestRepeatedRequest guards against a request that runs twice or gets a wrong answer when the caller repeats it through another
// entry, during the run and after each kind of result.
func TestRepeatedRequest(t *testing.T) {
	large := bytes.Repeat([]byte("a"), MaxInline+1)
	done := &acaciatally.Answer{Status: 200, Header: http.Header{"Worker": {"one"}}, Body: []byte("done")}
	tests := map[string]struct {
		answer  *acaciatally.Answer
		refusal *acaciatally.Refusal
		body    string
		check   func(f *fixture, exchange *acaciatally.Exchange, refusal *acaciatally.Refusal)
	}{
		"answered": {answer: done, check: func(f *fixture, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(f.t, []byte("done"), exchange.Answer.Body)
			require.Equal(f.t, "one", exchange.Answer.Header.Get("Worker"))
			require.Equal(f.t, acaciatally.AnswerRecorded, exchange.Answer.Header.Get(acaciatally.AnswerHeader))
		}},
		"large": {answer: &acaciatally.Answer{Status: 200, Body: large}, check: func(f *fixture, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(f.t, large, exchange.Answer.Body)
		}},
		"streamed": {answer: &acaciatally.Answer{Status: 201, Remainder: http.NoBody}, check: func(f *fixture, exchange *acaciatally.Exchange, _ *acaciatally.Refusal) {
			require.Equal(f.t, 201, exchange.Answer.Status)
			require.Equal(f.t, acaciatally.AnswerNotKept, exchange.Answer.Header.Get(acaciatally.AnswerHeader))
		}},
		"other body": {answer: done, body: "other", check: func(f *fixture, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			f.requireRefused(refusal, acaciatally.NotRun, http.StatusUnprocessableEntity)
		}},
		"unknown": {refusal: &acaciatally.Refusal{Outcome: acaciatally.Unknown}, check: func(f *fixture, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			f.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}},
		"unclear status": {answer: &acaciatally.Answer{Status: 503, Outcome: acaciatally.Unknown}, check: func(f *fixture, _ *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			f.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}},
		"not run": {refusal: &acaciatally.Refusal{Outcome: acaciatally.NotRun}, check: func(f *fixture, exchange *acaciatally.Exchange, refusal *acaciatally.Refusal) {
			require.Nil(f.t, refusal, "request that did not run cannot be claimed again")
			require.Nil(f.t, exchange.Answer)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				first, refusal := f.claim(f.first, "mirror 7")
				require.Nil(t, refusal)
				_, refusal = f.claim(f.second, "mirror 7")
				f.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
				f.finish(first, test.answer, test.refusal)
				body := test.body
				if body == "" {
					body = "mirror 7"
				}
				exchange, refusal := f.claim(f.second, body)
				test.check(f, exchange, refusal)
			})
		})
	}
}

// TestTableDown guards against requests that run, or refusals other than NotRun, while the table service is down, and against
// overloading it with calls.
func TestTableDown(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.table.down.Store(true)
		for range 50 {
			_, refusal := f.claim(f.first, "mirror 7")
			f.requireRefused(refusal, acaciatally.NotRun, http.StatusServiceUnavailable)
		}
		require.LessOrEqual(t, f.table.calls.Load(), int64(60), "calls during the outage")
		f.table.down.Store(false)
		_, refusal := f.claim(f.first, "mirror 7")
		require.Nil(t, refusal, "claim refused after the outage")
	})
}

// TestLostAnswer guards against a request that runs twice, or is refused, because the response to the commit of its claim was lost.
func TestLostAnswer(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.table.loseResponses.Store(true)
		exchange, refusal := f.claim(f.first, "mirror 7")
		require.Nil(t, refusal, "claim not recognised by its nonce")
		_, refusal = f.claim(f.second, "mirror 7")
		f.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		f.finish(exchange, &acaciatally.Answer{Status: 200}, nil)
		exchange, refusal = f.claim(f.second, "mirror 7")
		require.Nil(t, refusal)
		require.NotNil(t, exchange.Answer)
	})
}

// TestLostAnswerThenOutage guards against an outage that begins with a lost commit response: the request must wait until its
// deadline and be refused as NotRun, and its claim must be released when the table service is back.
func TestLostAnswerThenOutage(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.table.loseResponses.Store(true)
		f.first.config.Runner.config.Table = &outageAfterCommit{faultyTable: f.table}
		_, refusal := f.claim(f.first, "mirror 7")
		f.requireRefused(refusal, acaciatally.NotRun, http.StatusGatewayTimeout)
		f.table.down.Store(false)
		f.table.loseResponses.Store(false)
		time.Sleep(time.Second)
		_, refusal = f.claim(f.second, "mirror 7")
		require.Nil(t, refusal, "abandoned claim not released")
	})
}

type outageAfterCommit struct{ *faultyTable }

func (o *outageAfterCommit) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	version, err := o.faultyTable.Commit(ctx, transaction)
	if o.loseResponses.Load() {
		o.down.Store(true)
	}
	return version, err
}

// TestDeadHolder guards against another entry that takes over a claim, before or after the deadline, when the holder stops between
// claiming and sending.
func TestDeadHolder(t *testing.T) {
	withFixture(t, func(f *fixture) {
		_, refusal := f.claim(f.first, "mirror 7") // the holder never sends the request
		require.Nil(t, refusal)
		for _, pause := range []time.Duration{0, time.Minute, 50 * time.Minute} {
			time.Sleep(pause)
			_, refusal = f.claim(f.second, "mirror 7")
			f.requireRefused(refusal, acaciatally.Unknown, http.StatusConflict)
		}
		require.Contains(t, refusal.Reason, "entry-1")
	})
}

// TestSweep guards against sweeps that exceed one batch, and against deleting a claim while its id is still accepted.
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
		add(2*time.Hour, sweepBatch+1)
		add(time.Hour+10*time.Minute, 1) // cannot be claimed again, but may still be sent
		add(0, 1)
		more, err := sweeper.Sweep(t.Context())
		require.NoError(t, err)
		require.True(t, more)
		require.Equal(t, 3, left(), "sweep deleted more than one batch")
		more, err = sweeper.Sweep(t.Context())
		require.NoError(t, err)
		require.False(t, more)
		require.Equal(t, 2, left())
	})
}
