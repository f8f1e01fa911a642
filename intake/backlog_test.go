package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/intake"
)

// TestBacklogRefusals guards against a job that is accepted though the leader has no memory for it, and against a refused repetition of a call that
// was accepted.
func TestBacklogRefusals(t *testing.T) {
	const retryAfter = 7 * time.Second
	tests := map[string]struct {
		room     int64
		account  acaciatally.AccountName
		recorded bool
		refused  bool
	}{
		"room":                 {room: 1 << 20},
		"no room":              {refused: true},
		"no room, of account":  {account: "a", refused: true},
		"no room, repeated":    {recorded: true},
		"room for less":        {room: 100, refused: true},
		"room, call of before": {room: 1 << 20, recorded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
			if test.recorded {
				require.NoError(t, newService(store).Submit(t.Context(), queue, test.account, "01", spec("x")))
			}
			var asked backlog.Source
			service := intake.New(intake.Config{
				Store: store, EventLog: nopEventLog{}, AdmitBytes: func(source backlog.Source, bytes int64) (time.Duration, bool) {
					asked = source
					return retryAfter, bytes <= test.room
				},
			})
			err := service.Submit(t.Context(), queue, test.account, "01", spec("x"))
			require.Equal(t, backlog.SourceOf(queue.Name, test.account), asked)
			if !test.refused {
				require.NoError(t, err)
				return
			}
			var notAccepted *acaciatally.NotAcceptedError
			require.ErrorAs(t, err, &notAccepted)
			require.Equal(t, retryAfter, notAccepted.RetryAfter)
			require.True(t, notAccepted.Overload)
			require.Empty(t, store.rows)
		})
	}
}

// TestWithdrawalsBounded guards against callers that fill the leader's memory with the IDs of jobs that never were.
func TestWithdrawalsBounded(t *testing.T) {
	store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
	service := intake.New(intake.Config{
		Store: store, EventLog: nopEventLog{}, AdmitBytes: func(backlog.Source, int64) (time.Duration, bool) { return time.Minute, false },
	})
	err := service.Cancel(t.Context(), queue, "", "01")
	var notAccepted *acaciatally.NotAcceptedError
	require.ErrorAs(t, err, &notAccepted)
	require.Equal(t, time.Minute, notAccepted.RetryAfter)
	require.Empty(t, store.rows)
}
