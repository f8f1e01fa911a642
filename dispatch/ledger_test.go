package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// progressWith is the recorded progress of a job whose only task has a run on the worker.
func progressWith(state acaciatally.JobState, worker acaciatally.WorkerID) job.Progress {
	return job.Progress{State: state, Next: 1, Open: []job.Occurrence{
		{Steps: [][]job.Task{{{Phase: job.Assigned, Attempt: 1, Worker: worker}}}},
	}}
}

// TestLedgerOfTakeover guards against a new leader that starts runs beyond the maximum because it does not count those of the leader before: on
// workers that have not answered yet, on one that stays silent until its lease is over, and on one that is not listed.
func TestLedgerOfTakeover(t *testing.T) {
	for _, worker := range []acaciatally.WorkerID{"i-1", "i-2", "gone"} {
		t.Run(string(worker), func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, 1000)
			scheduler.LoadJob("aa", accountAccepted(testAccount, testStep(1, 1000)), progressWith(acaciatally.JobRunning, worker), 0, 0)
			loadAccountJob(scheduler, "bb", testAccount, 0, testStep(1, 1000))
			scheduler.SetDirectory([]acaciatally.Worker{testWorker(1), testWorker(2)}, 0)
			expiry := 7 * time.Second
			for now := time.Duration(0); now < expiry; now += 200 * time.Millisecond {
				report := acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}
				if worker == "i-1" && now > 0 {
					report.Running = []acaciatally.RunningTask{{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1}}
				}
				if worker != "i-1" || now > 0 {
					scheduler.Report("i-1", report, now, now)
				}
				if now < 6*time.Second {
					require.Empty(t, startDue(scheduler, now), "the inherited run counts")
				}
				require.LessOrEqual(t, scheduler.accountUsage(testAccount).Processors, 1000)
			}
			if worker != "i-1" {
				require.NotEmpty(t, startDue(scheduler, expiry), "the lease of the worker is over")
			}
		})
	}
}

// TestLedgerOfOrphans guards against an orphaned run of an account's job that is not counted while its worker is told to stop it, or is silent.
func TestLedgerOfOrphans(t *testing.T) {
	orphan := acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 7}
	tests := map[string]struct {
		orphan  acaciatally.RunningTask
		account acaciatally.AccountName
		counted bool
	}{
		"of a known job":            {orphan, testAccount, true},
		"of a job without account":  {orphan, "", false},
		"of an unknown job":         {acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "ee"}, Attempt: 1}, testAccount, false},
		"of a step that is not one": {acaciatally.RunningTask{Task: acaciatally.TaskRef{Job: "aa", Step: 9}, Attempt: 1}, testAccount, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			processorMaximum(scheduler, 1, 1000)
			loadAccountJob(scheduler, "aa", test.account, 0, testStep(1, 1000))
			loadAccountJob(scheduler, "bb", testAccount, 0, testStep(1, 1000))
			scheduler.SetDirectory([]acaciatally.Worker{testWorker(1), testWorker(2)}, 0)
			report := acaciatally.WorkerReport{StartTime: time.UnixMilli(1000), Running: []acaciatally.RunningTask{test.orphan}}
			scheduler.Report("i-1", report, 0, 0)
			scheduler.Report("i-2", acaciatally.WorkerReport{StartTime: time.UnixMilli(1000)}, 0, 0)
			require.Equal(t, test.counted, scheduler.accountUsage(testAccount).Processors == 1000)
			scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, time.Second)
			if test.counted {
				scheduler.Plan(time.Second, time.UnixMilli(0))
				require.Equal(t, 1000, scheduler.accountUsage(testAccount).Processors, "the worker is silent")
			}
			scheduler.Report("i-1", acaciatally.WorkerReport{Clock: 2 * time.Second, StartTime: time.UnixMilli(1000)}, 2*time.Second, 2*time.Second)
			require.NotEmpty(t, startDue(scheduler, 2*time.Second), "the orphan has ended")
		})
	}
}

// TestLedgerOfUnlistedWorker guards against forgetting an orphaned run because its worker is no longer in the directory.
func TestLedgerOfUnlistedWorker(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 1000)
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
	reportIdle(scheduler, testWorker(1), testWorker(2))
	reportRuns(scheduler, "i-1", time.Second)
	scheduler.workers["i-1"].nextRenewalAt = 0
	require.NotEmpty(t, scheduler.Renewals(time.Second), "the lease is extended")
	scheduler.Report("i-1", acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000), Running: []acaciatally.RunningTask{
		{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 7},
	}}, time.Second, time.Second)
	scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, time.Second)
	for now := time.Second; now < 6*time.Second; now += 200 * time.Millisecond {
		scheduler.SetDirectory([]acaciatally.Worker{testWorker(2)}, now)
		scheduler.Report("i-2", acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}, now, now)
		require.Empty(t, startDue(scheduler, now))
	}
	scheduler.Report("i-2", acaciatally.WorkerReport{Clock: 8 * time.Second, StartTime: time.UnixMilli(1000)}, 8*time.Second, 8*time.Second)
	require.NotEmpty(t, startDue(scheduler, 8*time.Second), "the lease is over")
	scheduler.SetDirectory([]acaciatally.Worker{testWorker(2)}, 8*time.Second)
	require.NotContains(t, scheduler.workers, acaciatally.WorkerID("i-1"))
}

// TestLedgerOfRemovedInstance guards against counting runs as over because an order on their instance was answered as executed: an earlier leader
// may have had it executed before, and the worker that runs there now is alive.
func TestLedgerOfRemovedInstance(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 1000)
	reportIdle(scheduler, testWorker(1), testWorker(2))
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
	order := startDue(scheduler, 0)[0]
	alive := order.Worker.ID
	other := acaciatally.WorkerID("i-1")
	if alive == other {
		other = "i-2"
	}
	scheduler.InstanceRemoved(alive, time.Second)
	reportRuns(scheduler, other, 2*time.Second)
	require.Empty(t, startDue(scheduler, 2*time.Second), "the run may go on")
	scheduler.Heartbeats([]acaciatally.WorkerID{alive}, 3*time.Second)
	reportRuns(scheduler, alive, 3*time.Second, order)
	require.Empty(t, startDue(scheduler, 3*time.Second), "the run goes on as an orphan")
	reportRuns(scheduler, alive, 4*time.Second)
	require.Len(t, startDue(scheduler, 4*time.Second), 1)
	require.Equal(t, 1000, scheduler.accountUsage(testAccount).Processors)
}

// TestLedgerOfEndedGang guards against counting the members of a gang as over when one of them is done, since the others end on their workers
// only then.
func TestLedgerOfEndedGang(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 2000)
	reportIdle(scheduler, testWorker(1), testWorker(2))
	loadAccountJob(scheduler, "aa", testAccount, 0, gangStep(2, 1))
	orders := startDue(scheduler, 0)
	require.Len(t, orders, 2)
	for _, order := range orders {
		reportRuns(scheduler, order.Worker.ID, time.Second, order)
	}
	loadAccountJob(scheduler, "bb", testAccount, 0, testStep(2, 1000))
	scheduler.Report(orders[0].Worker.ID, acaciatally.WorkerReport{Clock: 2 * time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: orders[0].Start.Task, Attempt: 1, End: acaciatally.EndDone},
	}}, 2*time.Second, 2*time.Second)
	require.Len(t, startDue(scheduler, 2*time.Second), 1, "one member still counts")
	scheduler.Report(orders[1].Worker.ID, acaciatally.WorkerReport{Clock: 2 * time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
		{Number: 1, Task: orders[1].Start.Task, Attempt: 1, End: acaciatally.EndGangMemberEnded},
	}}, 2*time.Second, 2*time.Second)
	require.Len(t, startDue(scheduler, 3*time.Second), 1)
}

// TestLedgerOfEndedJob guards against a next leader that does not count the runs of a cancelled job which a silent worker still has: with its end,
// the job's records were deleted.
func TestLedgerOfEndedJob(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 1000)
	reportIdle(scheduler, testWorker(1))
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
	order := startDue(scheduler, 0)[0]
	scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, time.Second)
	scheduler.CancelJob("quotes", "aa")
	commits := scheduler.Commits(time.Second)
	require.Len(t, commits, 1)
	progressKey, acceptedKey := job.ProgressKey("quotes", "aa"), job.AcceptedKey("quotes", "aa")
	require.NotContains(t, commits[0].Transaction.Deletes, acceptedKey)
	var stored job.Progress
	for _, write := range commits[0].Transaction.Writes {
		if write.RecordKey == progressKey {
			var err error
			stored, err = job.DecodeProgress(write.Value)
			require.NoError(t, err)
		}
	}
	require.Equal(t, acaciatally.JobCancelled, stored.State)
	scheduler.Committed(commits[0], 2, time.Second)

	next, _ := newScheduler()
	next.config.Epoch, next.config.LeadershipStart = 2, time.Second
	processorMaximum(next, 1, 1000)
	next.Retain("quotes", "aa", "", time.Second)
	next.LoadEndedJob("aa", accountAccepted(testAccount, testStep(1, 1000)), stored, time.Second)
	next.SetDirectory([]acaciatally.Worker{testWorker(1), testWorker(2)}, time.Second)
	next.Report("i-2", acaciatally.WorkerReport{Clock: time.Second, StartTime: time.UnixMilli(1000)}, time.Second, time.Second)
	loadAccountJob(next, "bb", testAccount, time.Second, testStep(1, 1000))
	require.Empty(t, startDue(next, time.Second))
	for _, w := range []*Scheduler{scheduler, next} {
		report := acaciatally.WorkerReport{Clock: 3 * time.Second, StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
			{Number: 1, Task: order.Start.Task, Attempt: 1, End: acaciatally.EndLeaseExpired},
		}}
		w.Report("i-1", report, 3*time.Second, 3*time.Second)
		deleted := false
		for range 3 {
			for _, commit := range w.Commits(4 * time.Second) {
				for _, key := range commit.Transaction.Deletes {
					deleted = deleted || key == acceptedKey
				}
				w.Committed(commit, 3, 4*time.Second)
			}
		}
		require.True(t, deleted, "the records are deleted once the run is over")
		require.NotContains(t, w.jobs, acaciatally.JobID("aa"))
	}
	require.Len(t, startDue(next, 4*time.Second), 1)
}

// TestProgressOfEndedJobWithRuns guards against a cancelled job that is taken for a new one when its partition is read again: its accepted record is
// kept while a run goes on, and its progress was deleted after the retention time.
func TestProgressOfEndedJobWithRuns(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 1000)
	reportIdle(scheduler, testWorker(1))
	loadAccountJob(scheduler, "aa", testAccount, 0, testStep(1, 1000))
	order := startDue(scheduler, 0)[0]
	reportRuns(scheduler, "i-1", time.Second, order)
	scheduler.CancelJob("quotes", "aa")
	deletes := func(now time.Duration) (keys []acaciatally.RecordKey) {
		for range 3 {
			for _, commit := range scheduler.Commits(now) {
				keys = append(keys, commit.Transaction.Deletes...)
				scheduler.Committed(commit, 2, now)
			}
		}
		return keys
	}
	require.NotContains(t, deletes(time.Second), job.AcceptedKey("quotes", "aa"))
	now := 2 * scheduler.config.Retention
	reportRuns(scheduler, "i-1", now, order) // the stop order was not executed
	require.Empty(t, deletes(now))
	reportRuns(scheduler, "i-1", now+time.Second)
	require.Equal(t, []acaciatally.RecordKey{job.AcceptedKey("quotes", "aa")}, deletes(now + time.Second)[:1])
	require.NotContains(t, scheduler.jobs, acaciatally.JobID("aa"))
}

// TestLedgerOfRestartedWorker guards against counting the runs of a silent worker as over too early: a renewal that was sent before its restart was
// known has given it the longest lease that it grants.
func TestLedgerOfRestartedWorker(t *testing.T) {
	scheduler, _ := newScheduler()
	processorMaximum(scheduler, 1, 1000)
	w := testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 20*time.Second)
	reportRuns(scheduler, "i-1", 20*time.Second)
	loadAccountJob(scheduler, "aa", testAccount, 20*time.Second, testStep(1, 1000))
	require.Len(t, scheduler.Renewals(21*time.Second), 1)
	w.StartTime = time.UnixMilli(22_000)
	scheduler.Report("i-1", acaciatally.WorkerReport{Clock: 100 * time.Millisecond, StartTime: w.StartTime}, 21*time.Second, 21*time.Second)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 21*time.Second)
	require.Empty(t, startDue(scheduler, 21*time.Second), "the worker has not seen the new token")
	renewAndReport(t, scheduler, w, 100*time.Millisecond, 21*time.Second)
	require.Len(t, startDue(scheduler, 21*time.Second), 1)
	scheduler.RenewalFailed("i-1", acaciatally.ErrUnknownOutcome, 22*time.Second)
	tests := []struct {
		at      time.Duration
		counted int
	}{{26 * time.Second, 1000}, {30 * time.Second, 1000}, {33 * time.Second, 0}}
	for _, test := range tests {
		scheduler.Plan(test.at, time.UnixMilli(0))
		require.Equal(t, test.counted, scheduler.accountUsage(testAccount).Processors, "at %v", test.at)
	}
}
