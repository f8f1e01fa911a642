package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// doneReport is a report of a test worker whose only run has ended as done.
func doneReport(task acaciatally.TaskRef, now time.Duration) acaciatally.WorkerReport {
	return acaciatally.WorkerReport{Clock: now, StartTime: testWorker(1).StartTime, Ended: []acaciatally.EndedTask{
		{Number: 1, Task: task, Attempt: 1, End: acaciatally.EndDone},
	}}
}

// acknowledged returns the number of workers whose end is acknowledged by the next renewal.
func acknowledged(scheduler *Scheduler) (count int) {
	for _, w := range scheduler.workers {
		count += int(w.acknowledgedNumber())
	}
	return count
}

// scheduledJob returns an accepted job with two occurrences, the first of which is due.
func scheduledJob(steps ...acaciatally.Step) job.Accepted {
	return job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: steps, Repeat: 2, FirstAt: time.UnixMilli(0), Interval: time.Hour},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
	}
}

// TestGangEndsRecordedBeforeAcknowledgement guards against acknowledging the ends of a gang's members, all but the one that came first, before it is
// recorded that the gang is done: with the worker of that member gone, the next leader found no end and ran the gang again.
func TestGangEndsRecordedBeforeAcknowledgement(t *testing.T) {
	const members = 3
	second := testStep(1, 1000)
	second.After = []int{0}
	jobs := map[string]job.Accepted{
		"only step":  {Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{gangStep(members, 1)}}, Queue: scheduledJob().Queue},
		"first step": {Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{gangStep(members, 1), second}}, Queue: scheduledJob().Queue},
		"occurrence": scheduledJob(gangStep(members, 1)),
	}
	tests := map[string]struct {
		reportedBefore int // members whose ends are reported before the commit is sent
		failures       int // commits that fail before one is applied
	}{
		"before the commit":       {reportedBefore: members},
		"while it is in flight":   {reportedBefore: 1},
		"commits fail":            {reportedBefore: members, failures: 2},
		"in flight, commits fail": {reportedBefore: 1, failures: 2},
	}
	for jobName, accepted := range jobs {
		for name, test := range tests {
			t.Run(jobName+", "+name, func(t *testing.T) {
				scheduler, _ := newScheduler()
				reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
				scheduler.LoadJob("aa", accepted, job.Progress{State: acaciatally.JobQueued}, 0, 0)
				orders := startDue(scheduler, 0)
				require.Len(t, orders, members)
				report := func(orders []Order) {
					for _, order := range orders {
						scheduler.Report(order.Worker.ID, doneReport(order.Start.Task, time.Second), time.Second, time.Second)
					}
				}
				report(orders[:test.reportedBefore])
				commit := scheduler.Commits(time.Second)[0]
				report(orders[test.reportedBefore:])
				for range test.failures {
					require.Zero(t, acknowledged(scheduler))
					scheduler.CommitFailed(commit, acaciatally.ErrUnavailable, time.Second)
					commit = scheduler.Commits(time.Second)[0]
				}
				require.Zero(t, acknowledged(scheduler), "it is not recorded that the gang is done")
				scheduler.Committed(commit, 3, time.Second)
				require.Equal(t, members, acknowledged(scheduler))
				require.Empty(t, scheduler.Commits(time.Second), "the ends need no record of their own")
			})
		}
	}
}

// TestEndOfReleasedRun guards against acknowledging the end of a run that the leader has given up before that is recorded: the next leader took the run
// for the current one and, without its end, for lost.
func TestEndOfReleasedRun(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	order := startDue(scheduler, 0)[0]
	scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, time.Second)
	now := time.Minute
	scheduler.Plan(now, time.UnixMilli(0))
	require.Equal(t, job.Waiting, scheduler.findTask(order.Start.Task).phase, "the lease of the worker has expired")
	commit := scheduler.Commits(now)[0]
	scheduler.Report("i-1", doneReport(order.Start.Task, now), now, now)
	require.Zero(t, acknowledged(scheduler))
	scheduler.CommitFailed(commit, acaciatally.ErrUnavailable, now)
	require.Zero(t, acknowledged(scheduler))
	commitAll(scheduler, now)
	require.Equal(t, 1, acknowledged(scheduler))
}

// TestEndListedAgain guards against acknowledging an end that is not recorded when its worker lists it again after it counted as lost.
func TestEndListedAgain(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	reportIdle(scheduler, w)
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	task := startDue(scheduler, 0)[0].Start.Task
	scheduler.Report(w.ID, doneReport(task, time.Second), time.Second, time.Second)
	commit := scheduler.Commits(time.Second)[0]
	scheduler.markLost(scheduler.workers[w.ID], "order on its instance", time.Second)
	now := 3 * time.Second
	scheduler.Heartbeats([]acaciatally.WorkerID{w.ID}, now)
	scheduler.Report(w.ID, doneReport(task, now), now, now)
	require.Zero(t, acknowledged(scheduler))
	scheduler.Committed(commit, 3, now)
	require.Equal(t, 1, acknowledged(scheduler))
}
