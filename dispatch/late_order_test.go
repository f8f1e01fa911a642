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

// TestLateStartAfterRestart guards against starting a task again while a start order that was sent to the former incarnation of its worker can
// still be carried out by the new one, which does not refuse its fencing token before it has seen a higher one.
func TestLateStartAfterRestart(t *testing.T) {
	const repeatedAt, sentAt, answeredAt = 700 * time.Millisecond, time.Second, 1100 * time.Millisecond
	tests := map[string]struct {
		directory bool // the directory shows the restart before the renewal is answered
	}{
		"report shows the restart": {false}, "directory shows the restart": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1), testWorker(2))
			loadJob(scheduler, "aa", 0, testStep(1, 1000))
			scheduler.Plan(0, time.UnixMilli(0))
			commitAll(scheduler, 0)
			late := scheduler.Orders(0)[0]
			scheduler.OrderResult(late, acaciatally.ErrUnknownOutcome, 500*time.Millisecond)
			require.Len(t, startDue(scheduler, repeatedAt), 1, "the repeated order is answered")
			restarted, id := late.Worker, late.Worker.ID
			restarted.StartTime = restarted.StartTime.Add(time.Second)
			require.Equal(t, late.Start.Fence, renewalTo(t, scheduler, id, sentAt).Fence)
			if test.directory {
				other := testWorker(1)
				if id == other.ID {
					other = testWorker(2)
				}
				scheduler.SetDirectory([]acaciatally.Worker{restarted, other}, sentAt)
			}
			report := acaciatally.WorkerReport{Clock: time.Second, StartTime: restarted.StartTime}
			scheduler.Report(id, report, sentAt, answeredAt)
			require.Empty(t, startDue(scheduler, answeredAt), "the worker has seen no higher token")
			now := answeredAt + minRenewInterval
			require.Greater(t, renewalTo(t, scheduler, id, now).Fence, late.Start.Fence)
			scheduler.Report(id, report, now, now)
			starts := startDue(scheduler, now)
			require.Len(t, starts, 1)
			require.Equal(t, 2, starts[0].Start.Attempt)
		})
	}
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
