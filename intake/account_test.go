package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/overload"
)

// overloadLog records the refusals because of load.
type overloadLog struct {
	nopEventLog
	refusals []string
}

func (l *overloadLog) JobRefused(account acaciatally.AccountName, reason string) {
	l.refusals = append(l.refusals, string(account)+" "+reason)
}

// TestSubmitOfAccountUnderPressure guards against jobs that are accepted although they come too late to be of use, against the refusal of an
// accepted job, of other accounts, and of work that has to run at all times or later.
func TestSubmitOfAccountUnderPressure(t *testing.T) {
	const jobID = "0000000000000001"
	queue := acaciatally.Queue{Name: "quotes", Objective: 600 * time.Millisecond, Stretch: 1.6}
	spec := specOf(false)
	recorded, err := job.EncodeProgress(job.Progress{State: acaciatally.JobRunning, Digest: job.Digest(spec)})
	require.NoError(t, err)
	state := &overload.State{Turn: 1, Accounts: []overload.AccountState{{Account: "hot", WaitMS: 3000, RetryMS: 7000, IntervalMS: 0}}}
	scheduled := spec
	scheduled.Repeat, scheduled.Interval = 3, time.Minute
	patient := specOf(false)
	patient.Steps[0].Estimate = time.Minute
	tests := map[string]struct {
		account  acaciatally.AccountName
		spec     acaciatally.JobSpec
		state    *overload.State
		recorded bool
		refused  bool
	}{
		"under pressure":           {account: "hot", spec: spec, state: state, refused: true},
		"nothing published":        {account: "hot", spec: spec},
		"another account":          {account: "cold", spec: spec, state: state},
		"no account":               {spec: spec, state: state},
		"long-running tasks":       {account: "hot", spec: specOf(true), state: state},
		"scheduled":                {account: "hot", spec: scheduled, state: state},
		"useful after the wait":    {account: "hot", spec: patient, state: state},
		"repetition of an earlier": {account: "hot", spec: spec, state: state, recorded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, log := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}, &overloadLog{}
			if test.recorded {
				key := job.ProgressKey(queue.Name, jobID)
				store.rows[key] = acaciatally.Record{RecordKey: key, Value: recorded, Version: 1}
			}
			service := intake.New(intake.Config{Store: store, EventLog: log, Overload: func() *overload.State { return test.state }})
			err := service.Submit(t.Context(), queue, test.account, jobID, test.spec)
			if !test.refused {
				require.NoError(t, err)
				require.Empty(t, log.refusals)
				return
			}
			var refused *acaciatally.NotAcceptedError
			require.ErrorAs(t, err, &refused)
			require.True(t, refused.Overload)
			require.Equal(t, 7*time.Second, refused.RetryAfter)
			require.Equal(t, []string{"hot account"}, log.refusals)
			require.Empty(t, store.rows, "a refused job is not recorded")
		})
	}
}
