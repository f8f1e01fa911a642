package site

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/eventlog"
)

// TestConfigurationAge guards against an age that counts from the response to a call instead of from the call, that grows because responses
// arrive in another order than their calls were sent, or that stays small while a newer configuration can't be decoded.
func TestConfigurationAge(t *testing.T) {
	now := 100 * time.Second
	age := configurationAge{now: func() time.Duration { return now }, max: 5 * time.Second}
	require.Equal(t, now, age.get(), "before the first response")
	age.confirm(98 * time.Second)
	require.Equal(t, 2*time.Second, age.get())
	require.Equal(t, 500*time.Millisecond, age.needsConfirmationIn())
	age.confirm(97 * time.Second) // a late response
	require.Equal(t, 2*time.Second, age.get())
	now += time.Second
	require.Negative(t, age.needsConfirmationIn())
	age.unknown.Store(true)
	age.confirm(100 * time.Second)
	require.Equal(t, 3*time.Second, age.get())
	require.Positive(t, age.needsConfirmationIn(), "no call can confirm it")
	age.unknown.Store(false)
	age.confirm(101 * time.Second)
	require.Zero(t, age.get())
}

// newWatcher returns a watcher whose configurations are "1", "2" and so on, with accounts, "1-" without, or "?", which can't be decoded.
func newWatcher(t *testing.T) *operatorWatcher {
	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	logger := eventlog.New(t.Output(), "entry-1")
	t.Cleanup(func() { _ = logger.Close() })
	return &operatorWatcher{
		eventLog: logger, now: now, age: configurationAge{now: now, max: 5 * time.Second},
		records: OperatorRecords{
			Table: "op", ConfigurationKey: "config",
			DecodeConfiguration: func(value []byte) (configuration *acaciatally.Configuration, err error) {
				if value[0] == '?' {
					return nil, errors.New("not valid")
				}
				configuration = &acaciatally.Configuration{Version: uint64(value[0] - '0')}
				if len(value) == 1 {
					configuration.Accounts = map[acaciatally.AccountName]acaciatally.Account{}
				}
				return configuration, nil
			},
		},
	}
}

func configurationRecord(version uint64, value string) []acaciatally.Record {
	return []acaciatally.Record{{RecordKey: acaciatally.RecordKey{Table: "op", Key: "config"}, Version: version, Value: []byte(value)}}
}

// TestConfigurationOutOfOrder guards against a version that is replaced by an earlier one, or an undecodable one that is forgotten, because the
// responses to the two kinds of calls arrive in another order than their calls were sent.
func TestConfigurationOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcher(t)
		time.Sleep(10 * time.Second)
		w.apply(configurationRecord(20, "2"), 9*time.Second)
		w.apply(configurationRecord(10, "1"), 8*time.Second)
		require.EqualValues(t, 2, w.configuration.Load().Version)
		require.EqualValues(t, 2, w.routes.Load().Version)
		require.Equal(t, time.Second, w.age.get())
		w.apply(configurationRecord(30, "?"), 9500*time.Millisecond)
		w.apply(configurationRecord(20, "2"), 9600*time.Millisecond)
		require.Equal(t, time.Second, w.age.get(), "a newer configuration exists")
		w.apply(nil, 9700*time.Millisecond)
		require.Equal(t, time.Second, w.age.get(), "a newer configuration exists")
		w.apply(configurationRecord(40, "4"), 9800*time.Millisecond)
		require.EqualValues(t, 4, w.configuration.Load().Version)
		require.Equal(t, 200*time.Millisecond, w.age.get())
	})
}

// unreachableStore counts reads, which all fail.
type unreachableStore struct {
	acaciatally.RecordStore
	reads int
}

func (s *unreachableStore) Read(context.Context, acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	s.reads++
	return page, acaciatally.ErrUnavailable
}

// TestConfirmationRate guards against an entry that burdens a store which does not answer with reads of the configuration, or that reads it though no
// key has to be checked.
func TestConfirmationRate(t *testing.T) {
	tests := map[string]struct {
		configuration      string
		maxAge             time.Duration
		minReads, maxReads int // in a minute
	}{
		"usual bound": {"1", 5 * time.Second, 80, 100}, "bound too short to keep": {"1", time.Millisecond, 80, 600}, "no accounts": {"1-", 5 * time.Second, 0, 0},
		"undecodable": {"?", 5 * time.Second, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &unreachableStore{}
				w := newWatcher(t)
				w.store, w.age.max = store, test.maxAge
				w.apply(configurationRecord(10, test.configuration), 0)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				w.confirmConfiguration(ctx)
				require.LessOrEqual(t, store.reads, test.maxReads)
				require.GreaterOrEqual(t, store.reads, test.minReads)
				require.GreaterOrEqual(t, w.followWait(), minFollowWait)
			})
		})
	}
}
