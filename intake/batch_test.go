package intake_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/job"
)

// fakeStore is a record store that only implements Commit, with a delay and a script of errors, and reads of one record.
type fakeStore struct {
	mu         sync.Mutex
	rows       map[acaciatally.RecordKey]acaciatally.Record
	delay      time.Duration
	script     []error // results of the next commits; a commit with ErrUnknownCommit is applied nevertheless
	batchSizes []int
	maxBytes   int // size of the values of the largest transaction that is not refused; 0 is unlimited
}

func (s *fakeStore) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := acaciatally.RecordKey{Table: selection.Table, Partition: selection.Partition, Key: selection.From}
	if record, found := s.rows[key]; found {
		page.Records = []acaciatally.Record{record}
	}
	return page, nil
}

func (s *fakeStore) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (s *fakeStore) Follow(context.Context, string, uint64, time.Duration) (acaciatally.RecordPage, error) {
	return acaciatally.RecordPage{}, nil
}

func valueBytes(transaction acaciatally.RecordTransaction) (size int) {
	for _, write := range transaction.Writes {
		size += len(write.Value)
	}
	return size
}

func (s *fakeStore) Commit(_ context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) > 0 {
		err, s.script = s.script[0], s.script[1:]
		if err != nil && err != acaciatally.ErrUnknownCommit { //nolint:errorlint // the script holds the values themselves
			return 0, err
		}
	}
	if size := valueBytes(transaction); s.maxBytes > 0 && size > s.maxBytes {
		return 0, acaciatally.ErrUnavailable
	}
	conflict := &acaciatally.RecordConflictError{}
	for _, condition := range transaction.Conditions {
		if row, found := s.rows[condition.RecordKey]; found && row.Version != condition.Version {
			conflict.Current = append(conflict.Current, row)
		}
	}
	if len(conflict.Current) > 0 {
		return 0, conflict
	}
	s.batchSizes = append(s.batchSizes, len(transaction.Conditions))
	for _, write := range transaction.Writes {
		s.rows[write.RecordKey] = acaciatally.Record{RecordKey: write.RecordKey, Value: write.Value, Version: 1}
	}
	return 1, err
}

// nopEventLog discards all events.
type nopEventLog struct{}

func (nopEventLog) JobSubmitted(acaciatally.Queue, acaciatally.JobID, time.Duration, error) {}

func (nopEventLog) JobRefused(acaciatally.AccountName, string) {}

func (nopEventLog) SubmissionResolved(acaciatally.QueueName, acaciatally.JobID, error) {}

func (nopEventLog) StateRead(acaciatally.Queue, acaciatally.JobID, acaciatally.JobState, error) {}

func (nopEventLog) JobCancelled(acaciatally.Queue, acaciatally.JobID, error) {}

func (nopEventLog) KeyRefused(acaciatally.QueueName, intake.KeyRefusal) {}

func (nopEventLog) OwnerMismatch(acaciatally.QueueName, acaciatally.JobID, acaciatally.AccountName) {}

var queue = acaciatally.Queue{Name: "quotes"}

func spec(payload string) acaciatally.JobSpec {
	return acaciatally.JobSpec{Payload: payload, Steps: []acaciatally.Step{{Count: 1}}}
}

func newService(store *fakeStore) *intake.Service {
	return intake.New(intake.Config{Store: store, Routes: func() *intake.Routes { return nil }, EventLog: nopEventLog{}})
}

// TestSubmissionsBatched checks that submissions are batched while the store is slow, so that it does not get one transaction for each
// of them.
func TestSubmissionsBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}, delay: 200 * time.Millisecond}
		service := newService(store)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				require.NoError(t, service.Submit(t.Context(), queue, "", acaciatally.JobID(fmt.Sprint(i)), spec("x")))
			})
		}
		group.Wait()
		require.LessOrEqual(t, len(store.batchSizes), 4)
	})
}

// TestJobBeyondRecord guards against accepting a job that can't be recorded: its caller was told to come back for good, the other jobs of its
// batch were refused with it, and one whose progress outgrew its record would have blocked its queue.
func TestJobBeyondRecord(t *testing.T) {
	tests := map[string]struct {
		spec     acaciatally.JobSpec
		tooLarge bool
	}{
		"usual":        {spec("x"), false},
		"long payload": {spec(strings.Repeat("x", 5000)), true},
		"many tasks":   {acaciatally.JobSpec{Steps: []acaciatally.Step{{Count: 500}}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
			service := intake.New(intake.Config{Store: store, EventLog: nopEventLog{}, MaxRecordBytes: 4096})
			err := service.Submit(t.Context(), queue, "", "a", test.spec)
			if !test.tooLarge {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, acaciatally.ErrJobTooLarge)
			require.Empty(t, store.rows)
		})
	}
}

// TestBatchBytes guards against a batch of large jobs that is larger than the store takes: all of them were refused.
func TestBatchBytes(t *testing.T) {
	const jobs = 30
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}, delay: 10 * time.Millisecond, maxBytes: 700_000}
		service := newService(store)
		var group sync.WaitGroup
		for i := range jobs {
			group.Go(func() {
				require.NoError(t, service.Submit(t.Context(), queue, "", acaciatally.JobID(fmt.Sprint(i)), spec(strings.Repeat("x", 50_000))))
			})
		}
		group.Wait()
		require.LessOrEqual(t, len(store.batchSizes), jobs/5)
	})
}

// TestSubmissionResults checks that each submission gets its own result and not that of another one in its batch, and that a submission
// that may have been recorded is not reported as refused.
func TestSubmissionResults(t *testing.T) {
	tests := map[string]struct {
		script   []error
		recorded map[acaciatally.JobID]acaciatally.JobSpec
		failed   map[acaciatally.JobID]error
		refused  bool
	}{
		"all submissions new": {},
		"outcome unknown":     {script: []error{acaciatally.ErrUnknownCommit}},
		"refused once":        {script: []error{acaciatally.ErrUnavailable}},
		"refused repeatedly": {
			script:  []error{acaciatally.ErrUnavailable, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable},
			refused: true,
		},
		"outcome unknown, then refused repeatedly": {script: []error{
			acaciatally.ErrUnknownCommit, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable,
		}},
		"one submission repeated": {recorded: map[acaciatally.JobID]acaciatally.JobSpec{"b": spec("x")}},
		"one ID in use by another job": {
			recorded: map[acaciatally.JobID]acaciatally.JobSpec{"b": spec("y")},
			failed:   map[acaciatally.JobID]error{"b": acaciatally.ErrJobIDInUse},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}, script: test.script, delay: time.Millisecond}
				for id, recorded := range test.recorded {
					value, err := job.EncodeProgress(job.Progress{Digest: job.Digest(recorded)})
					require.NoError(t, err)
					key := job.ProgressKey(queue.Name, id)
					store.rows[key] = acaciatally.Record{RecordKey: key, Value: value, Version: 1}
				}
				service := newService(store)
				var group sync.WaitGroup
				for _, id := range []acaciatally.JobID{"a", "b", "c", "a"} {
					group.Go(func() {
						err := service.Submit(t.Context(), queue, "", id, spec("x"))
						var refused *acaciatally.NotAcceptedError
						if test.refused {
							if err != nil {
								require.ErrorAs(t, err, &refused)
							}
							return
						}
						require.ErrorIs(t, err, test.failed[id])
					})
				}
				group.Wait()
			})
		})
	}
}

// resolutionLog counts the submissions that were resolved after their caller had stopped waiting, by result.
type resolutionLog struct {
	nopEventLog
	mutex    sync.Mutex
	resolved map[error]int
}

func (l *resolutionLog) SubmissionResolved(_ acaciatally.QueueName, _ acaciatally.JobID, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resolved[err]++
}

// TestAbandonedSubmissionLogged guards against a job of which no log line says whether it was accepted, because its caller had stopped waiting.
func TestAbandonedSubmissionLogged(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		script   []error
		resolved map[error]int
	}{
		"caller waits":       {time.Second, nil, map[error]int{}},
		"accepted later":     {100 * time.Millisecond, nil, map[error]int{nil: 1}},
		"repeated and taken": {100 * time.Millisecond, []error{acaciatally.ErrUnknownCommit}, map[error]int{nil: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}, delay: 300 * time.Millisecond, script: test.script}
				eventLog := &resolutionLog{resolved: map[error]int{}}
				service := intake.New(intake.Config{Store: store, EventLog: eventLog})
				ctx, stop := context.WithTimeout(t.Context(), test.deadline)
				defer stop()
				_ = service.Submit(ctx, queue, "", "a", spec("x")) // the outcome is in the log
				time.Sleep(5 * time.Second)
				synctest.Wait()
				require.Equal(t, test.resolved, eventLog.resolved)
			})
		})
	}
}
