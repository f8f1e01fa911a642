package intake_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
)

// pagedStore is a slow record store that returns the records of a range in pages.
type pagedStore struct {
	fakeStore
	keys  []string // sorted
	reads atomic.Int32
	fails bool
}

func (s *pagedStore) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	time.Sleep(100 * time.Millisecond)
	s.reads.Add(1)
	if s.fails {
		return page, acaciatally.ErrUnavailable
	}
	for _, key := range s.keys {
		if key < selection.From {
			continue
		}
		if len(page.Records) == selection.Limit {
			page.More = true
			return page, nil
		}
		page.Records = append(page.Records, acaciatally.Record{RecordKey: acaciatally.RecordKey{Key: key}})
	}
	return page, nil
}

// TestWaitingShared guards against callers that ask at the same time for the number of waiting jobs and each get a copy of the list, and against a
// count that ends because the first of them has left.
func TestWaitingShared(t *testing.T) {
	const jobs, callers = 1234, 50
	tests := map[string]struct {
		fails bool
		reads int32
	}{
		"counted":       {reads: 3},
		"store refuses": {fails: true, reads: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &pagedStore{fails: test.fails}
				for number := range jobs {
					store.keys = append(store.keys, fmt.Sprintf("%016x", number))
				}
				service := intake.New(intake.Config{Store: store, EventLog: nopEventLog{}})
				leaving, leave := context.WithCancel(t.Context())
				go func() { _, _ = service.Waiting(leaving, queue) }()
				synctest.Wait()
				var all sync.WaitGroup
				for range callers {
					all.Go(func() {
						count, err := service.Waiting(t.Context(), queue)
						if test.fails {
							var notAccepted *acaciatally.NotAcceptedError
							require.ErrorAs(t, err, &notAccepted)
							return
						}
						require.NoError(t, err)
						require.Equal(t, jobs, count)
					})
				}
				leave()
				all.Wait()
				require.Equal(t, test.reads, store.reads.Load())
			})
		})
	}
}
