package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// renewalTo returns the renewal that is due for a worker.
func renewalTo(t *testing.T, scheduler *Scheduler, id acaciatally.WorkerID, now time.Duration) (order acaciatally.RenewOrder) {
	t.Helper()
	found := false
	for _, renewal := range scheduler.Renewals(now) {
		if renewal.Worker.ID == id {
			order, found = renewal.Order, true
		}
	}
	require.True(t, found, "a renewal is due")
	return order
}

// TestTokenAfterRemovalFromDirectory guards against giving a worker that is listed under its ID again, after it was removed, the fencing token of
// its former incarnation: it carried out late orders that were meant for that one, and ran tasks again.
func TestTokenAfterRemovalFromDirectory(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	reportIdle(scheduler, w)
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	order := startDue(scheduler, 0)[0]
	scheduler.Report(w.ID, doneReport(order.Start.Task, time.Second), time.Second, time.Second)
	commitAll(scheduler, time.Second)
	scheduler.SetDirectory(nil, 5*time.Second)
	require.Empty(t, scheduler.workers)
	w.StartTime = w.StartTime.Add(5 * time.Second)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 6*time.Second)
	require.Greater(t, renewalTo(t, scheduler, w.ID, 6*time.Second).Fence, order.Start.Fence)
}

// TestRestartAfterClockStep guards against ignoring a worker that has restarted under its ID with a start time before that of its former incarnation,
// since its time of day was set back: its reports were taken for late ones of that incarnation, and its runs were never started again.
func TestRestartAfterClockStep(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	reportIdle(scheduler, w)
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	require.Len(t, startDue(scheduler, 0), 1)
	w.StartTime = w.StartTime.Add(-500 * time.Millisecond)
	for _, now := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		scheduler.SetDirectory([]acaciatally.Worker{w}, now)
		renewalTo(t, scheduler, w.ID, now)
		scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: now - time.Second, StartTime: w.StartTime}, now, now+100*time.Millisecond)
	}
	starts := startDue(scheduler, 4*time.Second)
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Start.Attempt)
}
