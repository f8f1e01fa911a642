package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/job"
)

// TestSubmitWhileLeaderIsAtLimit guards against jobs that are accepted although the leader can't start them in time, against a refusal
// that says of an accepted job that it has not run, and against refusing work that has to run at all times.
func TestSubmitWhileLeaderIsAtLimit(t *testing.T) {
	const jobID = "0000000000000001"
	queue := acaciatally.Queue{Name: "quotes"}
	recorded, err := job.EncodeProgress(job.Progress{State: acaciatally.JobRunning, Digest: job.Digest(specOf(false))})
	require.NoError(t, err)
	tests := map[string]struct {
		delay         time.Duration
		isLongRunning bool
		recorded      bool
		retryAfter    time.Duration // of the refusal; 0 if the job is accepted
	}{
		"leader keeps up":          {delay: 0},
		"short delay":              {delay: 3 * time.Second},
		"long delay":               {delay: 10 * time.Second, retryAfter: 6 * time.Second},
		"long-running tasks":       {delay: 10 * time.Second, isLongRunning: true},
		"repetition of an earlier": {delay: 10 * time.Second, recorded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
			if test.recorded {
				key := job.ProgressKey(queue.Name, jobID)
				store.rows[key] = acaciatally.Record{RecordKey: key, Value: recorded, Version: 1}
			}
			service := intake.New(intake.Config{
				Store: store, EventLog: nopEventLog{}, StartDelay: func() time.Duration { return test.delay },
			})
			err := service.Submit(t.Context(), queue, "", jobID, specOf(test.isLongRunning))
			if test.retryAfter == 0 {
				require.NoError(t, err)
				return
			}
			var refused *acaciatally.NotAcceptedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, test.retryAfter, refused.RetryAfter)
			require.Empty(t, store.rows, "a refused job is not recorded")
		})
	}
}

func specOf(isLongRunning bool) acaciatally.JobSpec {
	return acaciatally.JobSpec{Payload: "work", Steps: []acaciatally.Step{{Count: 1, LongRunning: isLongRunning}}}
}
