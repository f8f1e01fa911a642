package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/overload"
)

// TestAccountLoads guards against rates that count a job twice, that leave out jobs which end between two samples, or that count jobs of other
// accounts and long-running tasks.
func TestAccountLoads(t *testing.T) {
	scheduler, _ := newScheduler()
	require.Empty(t, scheduler.AccountLoads(0), "without accounts nothing is measured")
	scheduler.Configure(&acaciatally.Configuration{Version: 100, Accounts: map[acaciatally.AccountName]acaciatally.Account{
		"hot": {Name: "hot", Weight: 30}, "quiet": {Name: "quiet", Weight: 10},
	}})
	load := func(id acaciatally.JobID, account acaciatally.AccountName, isLongRunning bool) {
		spec := acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}}
		spec.Steps[0].Estimate, spec.Steps[0].LongRunning = time.Second, isLongRunning
		queue := acaciatally.Queue{Name: "quotes", Pool: "intake", Objective: time.Second, Stretch: 2}
		scheduler.LoadJob(id, job.Accepted{Spec: spec, Queue: queue, Account: account}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	}
	load("1", "hot", false)
	load("2", "hot", false)
	load("3", "hot", true)
	load("4", "", false)
	scheduler.Plan(0, time.UnixMilli(0))
	begin := func(id acaciatally.JobID) {
		scheduler.jobs[id].openOccurrences[0].steps[0][0].phase = job.Assigned
	}
	begin("1")
	sample := func() (hot, quiet overload.Load) {
		for _, l := range scheduler.AccountLoads(0) {
			if l.Account == "hot" {
				hot = l
			} else {
				quiet = l
			}
		}
		return hot, quiet
	}
	hot, quiet := sample()
	require.Equal(t, overload.Load{Account: "hot", Weight: 30, Slack: 1750 * time.Millisecond, EstimatedSlack: 1750 * time.Millisecond, Arrived: 2, Begun: 1}, hot)
	require.Equal(t, overload.Load{Account: "quiet", Weight: 10}, quiet)
	begin("2")
	scheduler.countAccountBegin(scheduler.jobs["2"]) // as when it ends
	delete(scheduler.jobs, "2")
	hot, _ = sample()
	require.Equal(t, 0, hot.Arrived)
	require.Equal(t, 1, hot.Begun)
}
