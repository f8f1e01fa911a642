package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const takeoverStart = 20 * time.Second // start of the term of the leader that takes over

// runOnWorker returns the accepted record and the progress of a job with one run on the worker i-1.
func runOnWorker(run job.Task) (job.Accepted, job.Progress) {
	accepted := job.Accepted{
		Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}}, Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
	}
	run.Phase, run.Attempt, run.Worker = job.Assigned, 1, "i-1"
	return accepted, job.Progress{State: acaciatally.JobRunning, Next: 1, Open: []job.Occurrence{{Steps: [][]job.Task{{run}}}}}
}

// requireHeldForLongestLease requires that the runs on a worker that has not answered since its last report are held until the longest lease is over.
func requireHeldForLongestLease(t *testing.T, scheduler *Scheduler, reportedAt time.Duration) {
	t.Helper()
	scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, reportedAt+time.Second)
	scheduler.Plan(reportedAt+9*time.Second, time.UnixMilli(0))
	require.Len(t, scheduler.workers["i-1"].runs, 1, "the lease may be in force")
	scheduler.Plan(reportedAt+scheduler.longestLease()+renewalAnswerTime+time.Millisecond, time.UnixMilli(0))
	require.Empty(t, scheduler.workers["i-1"].runs)
}

// Guards against two runs of a task: a worker that answered a renewal before its jobs were loaded was taken to hold the usual lease, though their records
// show that it may hold the longest.
func TestLongLeaseLoadedAfterReport(t *testing.T) {
	w := restartedWorker()
	tests := map[string]job.Task{
		"recorded long lease": {WorkerStart: w.StartTime, LongLease: true},
		"restarted since":     {WorkerStart: testWorker(1).StartTime},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			next := testLeader(2, takeoverStart)
			next.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
			now := takeoverStart + loadingRenewDelay
			require.Len(t, next.LoadingRenewals(now), 1)
			next.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: time.Minute, StartTime: w.StartTime}, now)
			require.Len(t, next.LoadingRenewals(now), 1)
			accepted, progress := runOnWorker(run)
			next.LoadJob("aa", accepted, progress, 0, now)
			requireHeldForLongestLease(t, next, now)
		})
	}
}

// Guards against two runs of a task: the lease of a worker without recorded runs was taken for the usual one, though a renewal of the leader before may
// have reached it after a restart.
func TestRestartOfIdleWorkerBetweenLeaders(t *testing.T) {
	former := testLeader(1, time.Second)
	w := testWorker(1)
	former.SetDirectory([]acaciatally.Worker{w}, time.Second)
	renewAndReport(t, former, w, time.Minute, time.Second)
	late := renewAndReport(t, former, w, time.Minute+time.Second, 2*time.Second)
	require.NotZero(t, late.LeaseUntil, "the worker may carry this renewal out after its restart")

	w = restartedWorker()
	next := testLeader(2, takeoverStart)
	next.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
	renewAndReport(t, next, w, time.Second, takeoverStart)
	loadJob(next, "aa", takeoverStart, testStep(1, 1000))
	require.Len(t, startDue(next, takeoverStart), 1)
	require.Len(t, next.Renewals(takeoverStart+time.Second), 1)
	requireHeldForLongestLease(t, next, takeoverStart)
}

// Guards against two runs of a task: a leader that knew of the restart only from the worker's directory record did not record it, and the next leader no
// longer found that record.
func TestRestartKnownFromRemovedDirectoryRecord(t *testing.T) {
	w := restartedWorker()
	accepted, progress := runOnWorker(job.Task{WorkerStart: testWorker(1).StartTime})
	second := testLeader(2, takeoverStart)
	second.LoadJob("aa", accepted, progress, 0, takeoverStart)
	second.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
	second.Plan(takeoverStart+time.Second, time.UnixMilli(0))

	thirdStart := takeoverStart + 2*time.Second
	third := testLeader(3, thirdStart)
	third.LoadJob("aa", accepted, decoded(t, second.progress(second.jobs["aa"], takeoverStart+time.Second)), 0, thirdStart)
	third.SetDirectory(nil, thirdStart)
	third.Plan(thirdStart+third.usualLease()+time.Millisecond, time.UnixMilli(0))
	require.Len(t, third.workers[w.ID].runs, 1, "the lease may be in force")
}

// Guards against two runs of a task: the leader that saw the restart kept a run that a late start order had begun, but its record did not say that the
// lease may be the longest, and the next leader no longer found the worker in the directory.
func TestRunKeptAcrossRestartIsRecorded(t *testing.T) {
	leader := testLeader(1, time.Second)
	w := testWorker(1)
	leader.SetDirectory([]acaciatally.Worker{w}, time.Second)
	renewAndReport(t, leader, w, time.Second, time.Second)
	loadJob(leader, "aa", time.Second, testStep(1, 1000))
	order := startDue(leader, time.Second)[0]
	running := acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: 10}
	renewAndReport(t, leader, w, 2*time.Second, 2*time.Second, running)
	commitAll(leader, 2*time.Second)
	require.False(t, leader.jobs["aa"].dirty)

	w = restartedWorker()
	leader.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
	renewAndReport(t, leader, w, time.Second, takeoverStart, running)
	require.Len(t, leader.workers[w.ID].runs, 1)
	require.True(t, leader.jobs["aa"].dirty, "the record still names the earlier incarnation and the usual lease")
}

// Guards against two runs of a task after an upgrade: a record of an earlier release does not name the worker's incarnation, so that it may have restarted
// since.
func TestRestartAfterRecordOfEarlierRelease(t *testing.T) {
	w := restartedWorker()
	accepted, progress := runOnWorker(job.Task{})
	next := testLeader(2, takeoverStart)
	next.LoadJob("aa", accepted, progress, 0, takeoverStart)
	next.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
	running := acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1}
	renewAndReport(t, next, w, time.Minute, takeoverStart, running)
	require.Len(t, next.Renewals(takeoverStart+time.Second), 1)
	requireHeldForLongestLease(t, next, takeoverStart)
}

// Guards against tasks that wait for the longest lease of a worker that has not restarted, after a change of leaders at which it is lost for good.
func TestUsualLeaseOfLostWorker(t *testing.T) {
	w := testWorker(1)
	accepted, progress := runOnWorker(job.Task{WorkerStart: w.StartTime})
	next := testLeader(2, takeoverStart)
	next.SetDirectory([]acaciatally.Worker{w}, takeoverStart)
	next.LoadJob("aa", accepted, progress, 0, takeoverStart)
	next.SetDirectory(nil, takeoverStart+time.Second)
	next.Plan(takeoverStart+next.usualLease()-time.Millisecond, time.UnixMilli(0))
	require.Len(t, next.workers[w.ID].runs, 1)
	next.Plan(takeoverStart+next.usualLease()+time.Millisecond, time.UnixMilli(0))
	require.Empty(t, next.workers[w.ID].runs)
}

// Guards against a job that is recorded again and again once the longest lease of its worker is over.
func TestRecordedOnceAfterLongestLease(t *testing.T) {
	leader := testLeader(1, time.Second)
	w := testWorker(1)
	leader.SetDirectory([]acaciatally.Worker{w}, time.Second)
	renewAndReport(t, leader, w, time.Second, time.Second)
	w = restartedWorker()
	leader.SetDirectory([]acaciatally.Worker{w}, 2*time.Second)
	renewAndReport(t, leader, w, time.Second, 2*time.Second)
	loadJob(leader, "aa", 2*time.Second, testStep(1, 1000))
	order := startDue(leader, 2*time.Second)[0]
	running := acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: 10}
	commits := 0
	for now := 3 * time.Second; now < 30*time.Second; now += 500 * time.Millisecond {
		leader.Report(w.ID, acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime, Running: []acaciatally.RunningTask{running}}, now, now)
		leader.Plan(now, time.UnixMilli(0))
		for _, commit := range leader.Commits(now) {
			commits++
			leader.Committed(commit, 2, now)
		}
		require.False(t, leader.jobs["aa"].dirty)
	}
	require.LessOrEqual(t, commits, 2, "the start, and the usual lease")
}
