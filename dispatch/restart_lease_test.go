package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// testLeader returns the leader of an epoch whose term begins at a time.
func testLeader(epoch uint64, start time.Duration) *Scheduler {
	scheduler := New(Config{
		Epoch: epoch, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, LeadershipStart: start,
		EventLog: &countingEventLog{counts: map[string]int{}},
	})
	scheduler.PartitionClaimed("quotes", 1)
	return scheduler
}

// restartedWorker returns a worker as it is listed after a restart.
func restartedWorker() acaciatally.Worker {
	w := testWorker(1)
	w.StartTime = w.StartTime.Add(time.Minute)
	return w
}

// renewAndReport sends the renewals that are due and answers that of a worker, on a clock that began at its start.
func renewAndReport(t *testing.T, scheduler *Scheduler, w acaciatally.Worker, clock, now time.Duration, running ...acaciatally.RunningTask) acaciatally.RenewOrder {
	t.Helper()
	for _, renewal := range scheduler.Renewals(now) {
		if renewal.Worker.ID == w.ID {
			scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: clock, StartTime: w.StartTime, Running: running}, now, now)
			return renewal.Order
		}
	}
	require.Fail(t, "no renewal is due")
	return acaciatally.RenewOrder{}
}

// Guards against the longest lease for a worker that has restarted: the retries of a renewal named a lease end on the clock of its earlier incarnation.
func TestRetriedRenewalNamesNoLease(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 0)
	renewAndReport(t, scheduler, w, time.Minute, time.Second)
	require.Greater(t, renewAndReport(t, scheduler, w, time.Minute, 2*time.Second).LeaseUntil, time.Minute)
	scheduler.Renewals(3 * time.Second)
	scheduler.RenewalFailed(w.ID, acaciatally.ErrUnknownOutcome, 4*time.Second)
	retry := scheduler.Renewals(5 * time.Second)
	require.Len(t, retry, 1)
	require.Zero(t, retry[0].Order.LeaseUntil)
}

// Guards against two runs of a task: the leader took the lease of a worker that had restarted for the usual one.
func TestRunsOfRestartedWorkerHeldForLongestLease(t *testing.T) {
	scheduler, eventLog := newScheduler()
	w := testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: time.Minute, StartTime: w.StartTime}, time.Second, time.Second)
	w = restartedWorker()
	reportedAt := 2 * time.Second
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: w.StartTime}, reportedAt, reportedAt)
	scheduler.SetDirectory([]acaciatally.Worker{w}, reportedAt)
	loadJob(scheduler, "aa", reportedAt, testStep(1, 1000))
	require.Len(t, startDue(scheduler, reportedAt), 1)
	scheduler.RenewalFailed(w.ID, acaciatally.ErrUnknownOutcome, reportedAt+time.Second)
	scheduler.Plan(reportedAt+9*time.Second, time.UnixMilli(0))
	require.Len(t, scheduler.workers[w.ID].runs, 1)
	scheduler.Plan(reportedAt+scheduler.longestLease(), time.UnixMilli(0))
	require.Len(t, scheduler.workers[w.ID].runs, 1)
	scheduler.Plan(reportedAt+scheduler.longestLease()+renewalAnswerTime+time.Millisecond, time.UnixMilli(0))
	require.Empty(t, scheduler.workers[w.ID].runs)
	require.Equal(t, 1, eventLog.counts["LeaseExpired Renewals"])
}

// Guards against two runs of a task after a change of leaders: the next leader never reached the worker, and did not know that it had restarted.
func TestRecordedLongLease(t *testing.T) {
	const reportedAt = 20 * time.Second
	tests := map[string]struct {
		recordedAfter time.Duration // the first report of the new incarnation
		longest       bool
	}{
		"recorded at once": {0, true},
		"recorded while the lease may be longer than the usual one": {3 * time.Second, true},
		"recorded later": {5 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader := testLeader(1, time.Second)
			w := testWorker(1)
			leader.SetDirectory([]acaciatally.Worker{w}, time.Second)
			leader.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, time.Second, time.Second)
			w = restartedWorker()
			leader.SetDirectory([]acaciatally.Worker{w}, reportedAt)
			leader.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, reportedAt, reportedAt)
			at := reportedAt + test.recordedAfter
			leader.Report(w.ID, acaciatally.WorkerReport{Clock: test.recordedAfter, StartTime: w.StartTime}, at, at)
			loadJob(leader, "aa", at, testStep(1, 1000))
			require.Len(t, startDue(leader, at), 1)

			stored := leader.progress(leader.jobs["aa"], at)
			require.Equal(t, test.longest, stored.Open[0].Steps[0][0].LongLease)
			next := testLeader(2, at+time.Second)
			next.LoadJob("aa", leader.jobs["aa"].accepted, decoded(t, stored), 0, at+time.Second)
			next.SetDirectory([]acaciatally.Worker{w}, at+time.Second)
			next.Plan(at+time.Second+next.usualLease()+time.Millisecond, time.UnixMilli(0))
			require.Equal(t, test.longest, len(next.workers[w.ID].runs) == 1)
			next.Plan(at+time.Second+next.longestLease()+time.Millisecond, time.UnixMilli(0))
			require.Empty(t, next.workers[w.ID].runs)
		})
	}
}

// decoded returns the progress as it is read from the record store.
func decoded(t *testing.T, progress job.Progress) job.Progress {
	t.Helper()
	content, err := job.EncodeProgress(progress)
	require.NoError(t, err)
	progress, err = job.DecodeProgress(content)
	require.NoError(t, err)
	return progress
}

// Guards against long waits for a worker that has long been up: a run that goes on was recorded with the longest lease for its whole life.
func TestLongLeaseRecordedOnlyWhileItLasts(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	scheduler.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, time.Second, time.Second)
	w = restartedWorker()
	scheduler.SetDirectory([]acaciatally.Worker{w}, 2*time.Second)
	scheduler.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime}, 2*time.Second, 2*time.Second)
	loadJob(scheduler, "aa", 2*time.Second, testStep(1, 1000))
	require.Len(t, startDue(scheduler, 2*time.Second), 1)
	commitAll(scheduler, 2*time.Second)
	running := acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1, Percent: 10}
	for now := 3 * time.Second; now < 15*time.Second; now += time.Second {
		report := acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime, Running: []acaciatally.RunningTask{running}}
		scheduler.Report(w.ID, report, now, now)
		scheduler.Plan(now, time.UnixMilli(0))
		if j := scheduler.jobs["aa"]; j.dirty && now > 5*time.Second {
			require.False(t, scheduler.progress(j, now).Open[0].Steps[0][0].LongLease)
			return
		}
		commitAll(scheduler, now)
	}
	require.Fail(t, "the job was not recorded anew")
}

// Guards against two runs of a task after a restart that no leader has seen: calls of the earlier leader may have reached the new incarnation.
func TestRestartBetweenLeaders(t *testing.T) {
	const start = 20 * time.Second
	recorded := testWorker(1)
	usual, longest := testLeader(2, start).usualLease(), testLeader(2, start).longestLease()
	tests := map[string]struct {
		listed  acaciatally.Worker
		reports bool
		held    time.Duration // how long the runs are held for a worker that is silent from then on
	}{
		"restarted, reports":      {restartedWorker(), true, longest},
		"restarted, does not":     {restartedWorker(), false, maxCallDelay + longest},
		"not restarted, reports":  {recorded, true, usual},
		"not restarted, does not": {recorded, false, usual},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader := testLeader(1, time.Second)
			leader.SetDirectory([]acaciatally.Worker{recorded}, time.Second)
			leader.Report(recorded.ID, acaciatally.WorkerReport{StartTime: recorded.StartTime}, time.Second, time.Second)
			loadJob(leader, "aa", time.Second, testStep(1, 1000))
			require.Len(t, startDue(leader, time.Second), 1)

			next := testLeader(2, start)
			next.LoadJob("aa", leader.jobs["aa"].accepted, decoded(t, leader.progress(leader.jobs["aa"], time.Second)), 0, start)
			next.SetDirectory([]acaciatally.Worker{test.listed}, start)
			running := acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1}
			if test.reports {
				renewAndReport(t, next, test.listed, time.Second, start, running)
				require.Len(t, next.Renewals(start+minRenewInterval+renewIntervalPerWorker), 1)
			}
			next.RenewalFailed(recorded.ID, acaciatally.ErrUnknownOutcome, start+time.Second)
			next.Plan(start+test.held-time.Millisecond, time.UnixMilli(0))
			require.Len(t, next.workers[recorded.ID].runs, 1)
			next.Plan(start+test.held+100*time.Millisecond, time.UnixMilli(0))
			require.Empty(t, next.workers[recorded.ID].runs)
		})
	}
}

// Guards against two runs of a task: the report that shows a restart answers a renewal with the old token, so orders meant for the earlier incarnation
// may still be carried out after it.
func TestReportBeforeNewToken(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
	renewAndReport(t, scheduler, w, time.Second, time.Second)
	loadJob(scheduler, "aa", time.Second, testStep(1, 1000))
	order := startDue(scheduler, time.Second)[0]
	running := acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: 10}
	renewAndReport(t, scheduler, w, 2*time.Second, 2*time.Second, running)
	w = restartedWorker()
	before := renewAndReport(t, scheduler, w, 100*time.Millisecond, 3*time.Second)
	require.Len(t, scheduler.workers[w.ID].runs, 1, "the start order may still be carried out")
	after := renewAndReport(t, scheduler, w, 200*time.Millisecond, 4*time.Second)
	require.Greater(t, after.Fence, before.Fence)
	require.Empty(t, scheduler.workers[w.ID].runs)
}

// Guards against two runs of a task: a start order without an answer may be carried out seconds after the restart of a worker that is not heard from.
func TestRunsHeldForLateStart(t *testing.T) {
	tests := map[string]struct {
		answer error
		delay  time.Duration
	}{
		"start order answered":      {nil, 0},
		"start order has no answer": {acaciatally.ErrUnknownOutcome, maxCallDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, eventLog := newScheduler()
			w := testWorker(1)
			scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
			renewAndReport(t, scheduler, w, time.Second, time.Second)
			loadJob(scheduler, "aa", time.Second, testStep(1, 1000))
			scheduler.Plan(time.Second, time.UnixMilli(0))
			commitAll(scheduler, time.Second)
			orders := scheduler.Orders(time.Second)
			require.Len(t, orders, 1)
			scheduler.OrderResult(orders[0], test.answer, 2*time.Second)
			restartedAt := 3 * time.Second
			scheduler.SetDirectory([]acaciatally.Worker{restartedWorker()}, restartedAt)
			over := restartedAt + test.delay + scheduler.longestLease()
			scheduler.Plan(over-time.Millisecond, time.UnixMilli(0))
			require.Len(t, scheduler.workers[w.ID].runs, 1)
			scheduler.Plan(over+time.Millisecond, time.UnixMilli(0))
			require.Empty(t, scheduler.workers[w.ID].runs)
			require.Equal(t, 1, eventLog.counts["LeaseExpired Restart"])
		})
	}
}
