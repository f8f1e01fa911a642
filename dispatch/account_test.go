package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// TestOwnerInProgress guards against a record of a leader that lacks the owner of the job: entries would let every account read and cancel it.
func TestOwnerInProgress(t *testing.T) {
	for _, owner := range []acaciatally.AccountName{"", "a"} {
		scheduler, _ := newScheduler()
		scheduler.Configure(&acaciatally.Configuration{Version: 1}) // without one, no maximum is known and nothing of an account is placed
		reportIdle(scheduler, testWorker(1))
		accepted := job.Accepted{
			Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(2, 1000)}}, Account: owner,
			Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
		}
		scheduler.LoadJob("aa", accepted, job.Progress{State: acaciatally.JobQueued, Account: owner}, 0, 0)
		states := map[acaciatally.JobState]bool{}
		commit := func(now time.Duration) {
			for _, commit := range scheduler.Commits(now) {
				for _, write := range commit.Transaction.Writes {
					if write.Table == job.ProgressTable {
						progress, err := job.DecodeProgress(write.Value)
						require.NoError(t, err)
						require.Equal(t, owner, progress.Account)
						states[progress.State] = true
					}
				}
				scheduler.Committed(commit, 2, now)
			}
		}
		scheduler.Plan(0, time.UnixMilli(0))
		commit(0)
		scheduler.CancelJob("quotes", "aa")
		commit(time.Second)
		require.Equal(t, map[acaciatally.JobState]bool{acaciatally.JobQueued: true, acaciatally.JobCancelled: true}, states, "the states of the records")
	}
}
