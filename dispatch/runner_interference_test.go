package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// interferenceStore holds the record of interference. Its first calls fail.
type interferenceStore struct {
	callCounter
	mutex    sync.Mutex
	record   acaciatally.Record
	failures int // calls that fail from now on
	reads    int // of the record
	writes   int
}

func (s *interferenceStore) fails() bool {
	s.failures--
	return s.failures >= 0
}

func (s *interferenceStore) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (s *interferenceStore) Follow(_ context.Context, _ string, _ uint64, wait time.Duration) (page acaciatally.RecordPage, err error) {
	time.Sleep(wait)
	return page, nil
}

func (s *interferenceStore) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page.Now = 10 * time.Minute
	if selection.Table != InterferenceTable {
		return page, nil
	}
	s.reads++
	if s.fails() {
		return page, acaciatally.ErrUnavailable
	}
	if s.record.Version > 0 {
		page.Records = []acaciatally.Record{s.record}
	}
	return page, nil
}

func (s *interferenceStore) Commit(_ context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if transaction.Writes[0].RecordKey != InterferenceKey {
		return 1, nil
	}
	s.writes++
	if s.fails() {
		return 0, acaciatally.ErrUnknownCommit
	}
	if transaction.Conditions[0].Version != s.record.Version {
		return 0, &acaciatally.RecordConflictError{Current: []acaciatally.Record{s.record}}
	}
	s.record = acaciatally.Record{RecordKey: InterferenceKey, Value: transaction.Writes[0].Value, Version: s.record.Version + 1}
	return s.record.Version, nil
}

// interferenceRunner returns a runner that leads, with the store.
func interferenceRunner(store *interferenceStore, mode interference.Mode) (*Runner, *countingEventLog) {
	startedAt := time.Now()
	eventLog := &countingEventLog{counts: map[string]int{}}
	return NewRunner(RunnerConfig{
		Store: store, Orders: store, Leads: func() bool { return true }, Now: func() time.Duration { return time.Since(startedAt) },
		Configuration: func() *acaciatally.Configuration { return nil }, WorkerTable: "workers",
		Scheduler: Config{
			Epoch: 2, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, EventLog: eventLog, Interference: mode,
		},
	}), eventLog
}

// TestInterferenceLoaded guards against a new leader that does not start or does not dispatch because the record is absent, damaged or can't be read, and
// against reads of it where interference is not observed.
func TestInterferenceLoaded(t *testing.T) {
	valid := knownRecord()
	valid.At = 10*time.Minute - time.Second
	tests := map[string]struct {
		mode     interference.Mode
		value    []byte
		failures int
		verdicts int
		ignored  int
	}{
		"absent":      {interference.ModeObserve, nil, 0, 0, 0},
		"valid":       {interference.ModeObserve, valid.Encode(), 0, 1, 0},
		"unreachable": {interference.ModeAvoid, valid.Encode(), 3, 1, 0},
		"damaged":     {interference.ModeAvoid, []byte(`{"Verdicts":[{"Factor":`), 0, 0, 1},
		"too old":     {interference.ModeAvoid, knownRecord().Encode(), 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &interferenceStore{failures: test.failures}
				if test.value != nil {
					store.record = acaciatally.Record{RecordKey: InterferenceKey, Value: test.value, Version: 4}
				}
				r, eventLog := interferenceRunner(store, test.mode)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				rounds := 0
				r.config.Round = func(*Scheduler, time.Duration) { rounds++ }
				require.NoError(t, r.Run(ctx))
				require.Greater(t, rounds, 100)
				require.Equal(t, test.failures+1, store.reads)
				require.Equal(t, test.verdicts, r.scheduler.interference.detector.Verdicts())
				require.Equal(t, test.ignored, eventLog.counts["RecordIgnored"])
				require.Equal(t, store.record.Version, r.scheduler.interference.published.version)
			})
		})
	}
	t.Run("off", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &interferenceStore{}
			r, _ := interferenceRunner(store, interference.ModeOff)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			require.NoError(t, r.Run(ctx))
			require.Zero(t, store.reads)
		})
	})
}

// TestInterferenceStored guards against a verdict that the next leader never learns of because a write failed or its response was lost, against a write
// in each round, and against rounds that wait for a write.
func TestInterferenceStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &interferenceStore{record: acaciatally.Record{RecordKey: InterferenceKey, Value: []byte("damaged"), Version: 4}}
		r, _ := interferenceRunner(store, interference.ModeObserve)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		rounds := 0
		r.config.Round = func(s *Scheduler, now time.Duration) {
			rounds++
			if rounds == 20 {
				s.interference.detector.Merge(knownRecord(), 0, now)
				store.mutex.Lock()
				store.failures = 3
				store.mutex.Unlock()
			}
		}
		require.NoError(t, r.Run(ctx))
		require.Greater(t, rounds, 500)
		require.Equal(t, uint64(5), store.record.Version)
		require.Equal(t, 4, store.writes)
		record, err := interference.DecodeRecord(store.record.Value)
		require.NoError(t, err)
		require.Len(t, record.Verdicts, 1)
		require.Equal(t, uint64(2), record.Epoch)
		require.Greater(t, record.At, 10*time.Minute)
	})
}
