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
