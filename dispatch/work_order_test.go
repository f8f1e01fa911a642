package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// loadQueuedJob loads a job of an account that arrived the given time ago.
func loadQueuedJob(
	scheduler *Scheduler, id acaciatally.JobID, account acaciatally.AccountName, queue acaciatally.Queue, age, now time.Duration, steps ...acaciatally.Step,
) {
	scheduler.LoadJob(id, job.Accepted{Spec: acaciatally.JobSpec{Steps: steps}, Queue: queue, Account: account},
		job.Progress{State: acaciatally.JobQueued}, age, now)
}

// placedJobs returns the jobs of which a task is assigned, sorted.
func placedJobs(scheduler *Scheduler) (ids []acaciatally.JobID) {
	for id, j := range scheduler.jobs {
		assigned := false
		j.eachTask(func(t *task) { assigned = assigned || t.assigned() })
		if assigned {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestWorkOrder guards against an order of work in which a job goes before one that the order names first. In each case one of two jobs
// fits, and the second would go first by its time of arrival.
func TestWorkOrder(t *testing.T) {
	const now = time.Second
	urgent, usual := testQueue(), testQueue()
	usual.Priority = 1
	lasting, short := testStep(1, 1000), testStep(1, 1000)
	lasting.LongRunning = true
	type testJob struct {
		account    acaciatally.AccountName
		queue      acaciatally.Queue
		step       acaciatally.Step
		beyondRate bool
	}
	tests := map[string]struct{ first, second testJob }{
		"long-running before rate":       {testJob{"above", usual, lasting, true}, testJob{"below", urgent, short, false}},
		"rate before priority":           {testJob{"below", usual, short, false}, testJob{"other", urgent, short, true}},
		"rate before share":              {testJob{"above", usual, short, false}, testJob{"below", usual, short, true}},
		"priority before share":          {testJob{"above", urgent, short, false}, testJob{"below", usual, short, false}},
		"share before arrival":           {testJob{"below", usual, short, false}, testJob{"above", usual, short, false}},
		"no account counts as below":     {testJob{"", usual, short, false}, testJob{"above", usual, short, false}},
		"priority among those beyond":    {testJob{"above", urgent, short, true}, testJob{"below", usual, short, true}},
		"share among those beyond":       {testJob{"below", usual, short, true}, testJob{"above", usual, short, true}},
		"no account by arrival to below": {testJob{"below", usual, short, false}, testJob{"", usual, short, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			configureAccounts(scheduler, map[acaciatally.AccountName]float64{"above": 1, "below": 1, "other": 1})
			reportIdle(scheduler, testWorker(1))
			loadQueuedJob(scheduler, "fill", "above", testQueue(), 0, 0, testStep(7, 1000))
			require.Len(t, startDue(scheduler, 0), 7)
			ages := []time.Duration{0, 500 * time.Millisecond}
			if name == "no account by arrival to below" {
				slices.Reverse(ages)
			}
			for i, j := range []testJob{test.first, test.second} {
				loadQueuedJob(scheduler, acaciatally.JobID([]string{"first", "second"}[i]), j.account, j.queue, ages[i], now, j.step)
			}
			scheduler.countArrivals(now)
			for i, j := range []testJob{test.first, test.second} {
				scheduler.jobs[acaciatally.JobID([]string{"first", "second"}[i])].beyondRate = j.beyondRate
			}
			scheduler.Report("i-1", acaciatally.WorkerReport{Clock: now, StartTime: testWorker(1).StartTime}, 0, now)
			scheduler.Plan(now, time.UnixMilli(0))
			require.Equal(t, []acaciatally.JobID{"fill", "first"}, placedJobs(scheduler))
		})
	}
}

// TestOrderWithinAccount guards against an account's older jobs that go before one with less time to spare, because they arrived within its
// rate and the other one did not.
func TestOrderWithinAccount(t *testing.T) {
	const now = 20 * time.Second
	scheduler, _ := newScheduler()
	scheduler.config.QuotaSlack = 0
	configureAccounts(scheduler, map[acaciatally.AccountName]float64{"a": 0.2, "b": 1})
	reportIdle(scheduler, testWorker(1))
	loadQueuedJob(scheduler, "old", "a", testQueue(), 5*time.Second, now, testStep(1, 8000)) // late by now
	loadQueuedJob(scheduler, "new", "a", testQueue(), 500*time.Millisecond, now, testStep(1, 8000))
	scheduler.countArrivals(now)
	require.False(t, scheduler.jobs["old"].beyondRate)
	require.True(t, scheduler.jobs["new"].beyondRate)
	scheduler.Report("i-1", acaciatally.WorkerReport{Clock: now, StartTime: testWorker(1).StartTime}, now, now)
	scheduler.Plan(now, time.UnixMilli(0))
	require.Equal(t, []acaciatally.JobID{"new"}, placedJobs(scheduler))
	require.False(t, scheduler.jobs["new"].beyondRate, "the mark is exchanged")
	require.True(t, scheduler.jobs["old"].beyondRate)
}

// TestRateOfNewLeader guards against a new leader that counts jobs in the order in which it reads their records: the earliest ones were
// then beyond the rate, and the burst that followed them within it.
func TestRateOfNewLeader(t *testing.T) {
	const jobs, now = 40, 10 * time.Second
	scheduler, _ := newScheduler()
	for i := range jobs { // the latest first
		age := time.Duration(i) * 100 * time.Millisecond
		loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("j-%02d", i)), "a", testQueue(), age, now, testStep(1, 1000))
	}
	configureAccounts(scheduler, map[acaciatally.AccountName]float64{"a": 1})
	scheduler.countArrivals(now)
	for i := range jobs {
		require.Equal(t, i < jobs-25, scheduler.jobs[acaciatally.JobID(fmt.Sprintf("j-%02d", i))].beyondRate, i) // 5.5 and the slack
	}
}

// TestRateOfOldJobs guards against jobs from long before the start of this leader, which all appear to have arrived at once, that count as
// beyond the rate.
func TestRateOfOldJobs(t *testing.T) {
	scheduler, _ := newScheduler()
	configureAccounts(scheduler, map[acaciatally.AccountName]float64{"a": 1})
	for i := range 100 {
		loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("j-%02d", i)), "a", testQueue(), time.Hour, 0, testStep(1, 1000))
	}
	scheduler.Plan(0, time.UnixMilli(0))
	for _, j := range scheduler.jobs {
		require.False(t, j.beyondRate)
	}
}

// TestOrderWithoutAccounts guards against a change of the order of jobs where no accounts are configured, also for jobs that were accepted
// while there were some.
func TestOrderWithoutAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 10 * time.Second
		scheduler, _ := newScheduler()
		configureAccounts(scheduler, nil)
		reportIdle(scheduler, testWorker(1))
		count := rapid.IntRange(2, 40).Draw(t, "jobs")
		for i := range count {
			queue := testQueue()
			queue.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			account := rapid.SampledFrom([]acaciatally.AccountName{"", "a", "b"}).Draw(t, "account")
			age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
			step := testStep(1, 1000)
			step.LongRunning = rapid.IntRange(0, 9).Draw(t, "long-running") == 0
			loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("j-%02d", i)), account, queue, age, now, step)
		}
		scheduler.Report("i-1", acaciatally.WorkerReport{Clock: now, StartTime: testWorker(1).StartTime}, now, now)
		scheduler.Plan(now, time.UnixMilli(0))
		var sorted, wanted []*activeJob
		for _, j := range scheduler.jobs {
			sorted = append(sorted, j)
			require.False(t, j.beyondRate)
		}
		slices.SortFunc(sorted, compareJobs)
		wanted = sorted[:min(8, count)]
		var ids []acaciatally.JobID
		for _, j := range wanted {
			ids = append(ids, j.id)
		}
		slices.Sort(ids)
		require.Equal(t, ids, placedJobs(scheduler))
	})
}

// TestAccountUse guards against a count of what an account uses that drifts from the runs that it has, as after a takeover, the loss of a
// worker or the end of runs.
func TestAccountUse(t *testing.T) {
	scheduler, _ := newScheduler()
	configureAccounts(scheduler, map[acaciatally.AccountName]float64{"a": 1})
	reportIdle(scheduler, testWorker(1), testWorker(2))
	step := testStep(2, 1000)
	scheduler.LoadJob("inherited", job.Accepted{Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{step}}, Queue: testQueue(), Account: "a"},
		job.Progress{State: acaciatally.JobRunning, Next: 1, Open: []job.Occurrence{{Steps: [][]job.Task{
			{{Phase: job.Assigned, Attempt: 1, Worker: "i-1"}, {Phase: job.Waiting}},
		}}}}, 0, 0)
	used := func() int { return scheduler.shares.accounts["a"].used.Processors }
	require.Equal(t, 1000, used())
	loadQueuedJob(scheduler, "new", "a", testQueue(), 0, 0, testStep(12, 1000))
	orders := startDue(scheduler, 0)
	require.Len(t, orders, 13)
	require.Equal(t, 14000, used())
	scheduler.markLost(scheduler.workers["i-1"], "lost", 0)
	require.Equal(t, 1000*len(scheduler.workers["i-2"].runs), used())
	scheduler.CancelJob("quotes", "new")
	scheduler.markLost(scheduler.workers["i-2"], "lost", 0)
	require.Zero(t, used())
}
