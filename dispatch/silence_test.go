package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// silentWorkerLeader returns the scheduler of a leader that has loaded a long-running task whose run is on the worker i-1, which is not listed.
func silentWorkerLeader(epoch uint64, start time.Duration) *Scheduler {
	scheduler := New(Config{
		Epoch: epoch, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, LeadershipStart: start,
		EventLog: &countingEventLog{counts: map[string]int{}},
	})
	scheduler.PartitionClaimed("quotes", 1)
	step := testStep(1, 1000)
	step.LongRunning = true
	scheduler.LoadJob("aa", job.Accepted{
		Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{step}}, Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2},
	}, job.Progress{State: acaciatally.JobRunning, Next: 1, Open: []job.Occurrence{
		{Steps: [][]job.Task{{{Phase: job.Assigned, Attempt: 1, Worker: "i-1"}}}},
	}}, 0, start)
	return scheduler
}

// TestSilenceAcrossLeaders guards against a task that has no run for as long as leaders follow each other quickly, because each of them waits anew for
// the end of the lease of a worker that has not answered for long; and against starting it again while that lease may be in force.
func TestSilenceAcrossLeaders(t *testing.T) {
	const (
		storeStart = 100 * time.Second // time on the store's clock at the start of the first leadership
		secondTerm = 5400 * time.Millisecond
	)
	tests := map[string]struct {
		epoch    uint64 // of the second leader
		worker   acaciatally.WorkerID
		released time.Duration // when the run is given up, on the leaders' clock
	}{
		"next leader":               {2, "i-1", 6400 * time.Millisecond},
		"another leader in between": {3, "i-1", secondTerm + 6400*time.Millisecond},
		"another worker is silent":  {2, "i-2", secondTerm + 6400*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := silentWorkerLeader(1, 0)
			first.LoadSilence(Silence{}, 0, storeStart, 0)
			_, _, unsaved := first.UnsavedSilence(silenceNoticeTime - time.Millisecond)
			require.False(t, unsaved, "workers need a moment to answer")
			record, _, unsaved := first.UnsavedSilence(silenceNoticeTime)
			require.True(t, unsaved)
			require.Equal(t, Silence{Epoch: 1, Since: map[acaciatally.WorkerID]time.Duration{"i-1": storeStart}}, record)

			second := silentWorkerLeader(test.epoch, secondTerm)
			stored := Silence{Epoch: 1, Since: map[acaciatally.WorkerID]time.Duration{test.worker: storeStart}}
			second.LoadSilence(stored, 1, storeStart+secondTerm, secondTerm)
			run := second.jobs["aa"].openOccurrences[0].steps[0][0]
			second.Plan(test.released-100*time.Millisecond, time.UnixMilli(0))
			require.Equal(t, job.Assigned, run.phase, "the lease may be in force")
			second.Plan(test.released, time.UnixMilli(0))
			require.Equal(t, job.Waiting, run.phase)
		})
	}
}

// TestSilenceCarriedOn guards against a chain of more than two leaders in which the time of silence begins anew.
func TestSilenceCarriedOn(t *testing.T) {
	second := silentWorkerLeader(2, 4*time.Second)
	second.LoadSilence(Silence{Epoch: 1, Since: map[acaciatally.WorkerID]time.Duration{"i-1": 100 * time.Second}}, 7, 104*time.Second, 4*time.Second)
	record, version, unsaved := second.UnsavedSilence(5 * time.Second)
	require.True(t, unsaved)
	require.Equal(t, uint64(7), version)
	require.Equal(t, Silence{Epoch: 2, Since: map[acaciatally.WorkerID]time.Duration{"i-1": 100 * time.Second}}, record)
}

// TestLeaseOfWorkerStoredAsSilent guards against extending the lease of a worker that is stored as silent: the next leader would take the lease for
// expired, and start its tasks a second time.
func TestLeaseOfWorkerStoredAsSilent(t *testing.T) {
	scheduler := silentWorkerLeader(1, 0)
	scheduler.LoadSilence(Silence{}, 0, time.Minute, 0)
	_, _, unsaved := scheduler.UnsavedSilence(time.Second)
	require.True(t, unsaved)
	scheduler.SilenceNotSaved(0, 1100*time.Millisecond) // it may be stored nevertheless
	scheduler.SetDirectory([]acaciatally.Worker{testWorker(1)}, time.Second)
	report := acaciatally.WorkerReport{Clock: time.Second, StartTime: testWorker(1).StartTime, Running: []acaciatally.RunningTask{
		{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1, Percent: fullPercent},
	}}
	scheduler.Report("i-1", report, 1200*time.Millisecond, 1200*time.Millisecond)
	renewals := scheduler.Renewals(2 * time.Second)
	require.Len(t, renewals, 1)
	require.Zero(t, renewals[0].Order.LeaseUntil)
	require.False(t, scheduler.schedulable(scheduler.workers["i-1"], 2*time.Second))

	record, _, unsaved := scheduler.UnsavedSilence(2 * time.Second)
	require.True(t, unsaved)
	require.Empty(t, record.Since)
	scheduler.SilenceSaved(record, 2)
	scheduler.Report("i-1", report, 3*time.Second, 3*time.Second)
	renewals = scheduler.Renewals(4 * time.Second)
	require.Len(t, renewals, 1)
	require.NotZero(t, renewals[0].Order.LeaseUntil)
	require.True(t, scheduler.schedulable(scheduler.workers["i-1"], 4*time.Second))
}
