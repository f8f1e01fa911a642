package intake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/job"
)

// table is a record store that only commits, slowly, with a script of failures.
type table struct {
	mu     sync.Mutex
	rows   map[acaciatally.RecordKey]acaciatally.Record
	took   time.Duration
	script []error // results of the next commits; ErrUnknownCommit is applied nevertheless
	sizes  []int
}

func (s *table) Read(context.Context, acaciatally.RecordRange) (acaciatally.RecordPage, error) {
	return acaciatally.RecordPage{}, nil
}

func (s *table) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (s *table) Follow(context.Context, string, uint64, time.Duration) (acaciatally.RecordPage, error) {
	return acaciatally.RecordPage{}, nil
}

func (s *table) Commit(_ context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	time.Sleep(s.took)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) > 0 {
		err, s.script = s.script[0], s.script[1:]
		if err != nil && err != acaciatally.ErrUnknownCommit { //nolint:errorlint // the script holds the values themselves
			return 0, err
		}
	}
	conflict := &acaciatally.RecordConflictError{}
	for _, condition := range transaction.Conditions {
		if row, found := s.rows[condition.RecordKey]; found {
			conflict.Current = append(conflict.Current, row)
		}
	}
	if len(conflict.Current) > 0 {
		return 0, conflict
	}
	s.sizes = append(s.sizes, len(transaction.Conditions))
	for _, write := range transaction.Writes {
		s.rows[write.RecordKey] = acaciatally.Record{RecordKey: write.RecordKey, Value: write.Value, Version: 1}
	}
	return 1, err
}

// silent takes no notes.
type silent struct{}

func (silent) Submitted(acaciatally.Queue, acaciatally.JobID, time.Duration, error) {}

func (silent) Read(acaciatally.Queue, acaciatally.JobID, acaciatally.JobState, error) {}

func (silent) Cancelled(acaciatally.Queue, acaciatally.JobID, error) {}

var queue = acaciatally.Queue{Name: "quotes"}

func spec(payload string) acaciatally.JobSpec {
	return acaciatally.JobSpec{Payload: payload, Steps: []acaciatally.Step{{Count: 1}}}
}

func newDesk(store *table) *intake.Desk {
	return intake.New(intake.Config{Store: store, Routes: func() *intake.Routes { return nil }, Journal: silent{}})
}

// TestBatch guards against a partition that is flooded with one transaction for each submission while it is slow.
func TestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &table{rows: map[acaciatally.RecordKey]acaciatally.Record{}, took: 200 * time.Millisecond}
		desk := newDesk(store)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				require.NoError(t, desk.Submit(t.Context(), queue, acaciatally.JobID(fmt.Sprint(i)), spec("x")))
			})
		}
		group.Wait()
		require.LessOrEqual(t, len(store.sizes), 4)
	})
}

// TestBatchResults guards against a submission that gets the result of another one of its batch, or a refusal that is not true.
func TestBatchResults(t *testing.T) {
	tests := map[string]struct {
		script   []error
		recorded map[acaciatally.JobID]acaciatally.JobSpec
		failed   map[acaciatally.JobID]error
		refused  bool
	}{
		"all new":              {},
		"answer lost":          {script: []error{acaciatally.ErrUnknownCommit}},
		"refused for a moment": {script: []error{acaciatally.ErrUnavailable}},
		"refused": {
			script:  []error{acaciatally.ErrUnavailable, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable},
			refused: true,
		},
		"lost, then refused for long": {script: []error{
			acaciatally.ErrUnknownCommit, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable, acaciatally.ErrUnavailable,
		}},
		"one repeated": {recorded: map[acaciatally.JobID]acaciatally.JobSpec{"b": spec("x")}},
		"one different": {
			recorded: map[acaciatally.JobID]acaciatally.JobSpec{"b": spec("y")},
			failed:   map[acaciatally.JobID]error{"b": acaciatally.ErrOtherJob},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &table{rows: map[acaciatally.RecordKey]acaciatally.Record{}, script: test.script, took: time.Millisecond}
				for id, recorded := range test.recorded {
					value, err := job.Encode(job.Progress{Digest: job.Digest(recorded)})
					require.NoError(t, err)
					key := job.ProgressKey(queue.Name, id)
					store.rows[key] = acaciatally.Record{RecordKey: key, Value: value, Version: 1}
				}
				desk := newDesk(store)
				var group sync.WaitGroup
				for _, id := range []acaciatally.JobID{"a", "b", "c", "a"} {
					group.Go(func() {
						err := desk.Submit(t.Context(), queue, id, spec("x"))
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
