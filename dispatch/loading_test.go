package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// loadingWorker returns a scheduler that has been loading jobs for longer than loadingRenewDelay, and has a worker that has not answered it.
func loadingWorker() (scheduler *Scheduler, w acaciatally.Worker, now time.Duration) {
	scheduler, _ = newScheduler()
	w = testWorker(1)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 0)
	return scheduler, w, loadingRenewDelay
}

// TestLoadingRenewals guards against workers whose leases expire while a new leader loads jobs for a long time.
func TestLoadingRenewals(t *testing.T) {
	scheduler, w, now := loadingWorker()
	require.Empty(t, scheduler.LoadingRenewals(now-1), "usually jobs are loaded by then")
	renewals := scheduler.LoadingRenewals(now)
	require.Len(t, renewals, 1)
	require.Zero(t, renewals[0].Order.LeaseUntil, "the clock of the worker is not known")
	require.Empty(t, scheduler.LoadingRenewals(now), "one is in flight")
	clock := time.Hour
	for range 5 {
		scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: clock, StartTime: w.StartTime}, now)
		renewals = scheduler.LoadingRenewals(now)
		require.Len(t, renewals, 1)
		require.Equal(t, clock+scheduler.config.WorkerLease, renewals[0].Order.LeaseUntil)
		require.Zero(t, renewals[0].Order.Acknowledged)
		now, clock = now+loadingRenewInterval, clock+loadingRenewInterval
	}
	scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: clock, StartTime: w.StartTime}, now)
	require.Len(t, scheduler.Renewals(now), 1, "once all jobs are loaded, all workers report at once")
}

// TestEndsWhileLoading guards against ends and runs that are taken for those of unknown jobs because they are listed before their job is loaded: the
// ends were forgotten, and the runs stopped.
func TestEndsWhileLoading(t *testing.T) {
	scheduler, w, now := loadingWorker()
	require.Len(t, scheduler.LoadingRenewals(now), 1)
	report := acaciatally.WorkerReport{
		StartTime: w.StartTime,
		Running:   []acaciatally.RunningTask{{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1}},
		Ended:     []acaciatally.EndedTask{{Number: 1, Task: acaciatally.TaskRef{Job: "aa", Index: 1}, Attempt: 1, End: acaciatally.EndDone}},
	}
	scheduler.LoadingReport(w.ID, report, now)
	assigned := job.Task{Phase: job.Assigned, Attempt: 1, Worker: w.ID}
	scheduler.LoadJob("aa", job.Accepted{
		Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(2, 1000)}}, Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
	}, job.Progress{State: acaciatally.JobRunning, Next: 1, Open: []job.Occurrence{{Steps: [][]job.Task{{assigned, assigned}}}}}, 0, now)
	scheduler.Plan(now, time.UnixMilli(0))
	require.Empty(t, scheduler.Orders(now))
	scheduler.Report(w.ID, report, now, now)
	require.Empty(t, scheduler.Orders(now), "the run is not stopped")
	require.Equal(t, job.Done, scheduler.findTask(report.Ended[0].Task).phase)
	require.Zero(t, acknowledged(scheduler))
	commitAll(scheduler, now)
	require.Equal(t, 1, acknowledged(scheduler))
}

// TestRestartWhileLoading guards against a lease on the clock of an earlier incarnation when a worker restarts under its ID while jobs are being loaded,
// and against reports of that incarnation that come late.
func TestRestartWhileLoading(t *testing.T) {
	scheduler, w, now := loadingWorker()
	require.Len(t, scheduler.LoadingRenewals(now), 1)
	scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: time.Hour, StartTime: w.StartTime}, now)
	require.Len(t, scheduler.LoadingRenewals(now), 1)
	restarted := w.StartTime.Add(time.Minute)
	scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: restarted}, now)
	scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: time.Hour, StartTime: w.StartTime}, now)
	renewals := scheduler.LoadingRenewals(now)
	require.Len(t, renewals, 1)
	require.Zero(t, renewals[0].Order.LeaseUntil, "the worker has not seen the new token")
	scheduler.LoadingReport(w.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: restarted}, now)
	renewals = scheduler.Renewals(now)
	require.Len(t, renewals, 1)
	require.Equal(t, time.Second+scheduler.config.WorkerLease, renewals[0].Order.LeaseUntil)
}
