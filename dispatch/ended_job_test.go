package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// Guards against an ended job that is kept for the rest of the term of leadership, with its memory in the backlog and its ID: a commit that had nothing to
// write for it counted as in flight for ever.
func TestEndedJobDroppedAfterItsLastRun(t *testing.T) {
	scheduler, _ := newScheduler()
	w, now := testWorker(1), time.Second
	scheduler.SetDirectory([]acaciatally.Worker{w}, now)
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}, now, now)
	loadJob(scheduler, "aa", now, testStep(1, 1000))
	order := startDue(scheduler, now)[0]
	scheduler.CancelJob("quotes", "aa")
	commitAll(scheduler, now)
	require.True(t, scheduler.jobs["aa"].endRecorded())

	now += time.Second
	ended := acaciatally.EndedTask{Number: 1, Task: order.Start.Task, Attempt: 1, End: acaciatally.EndStopped}
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime, Ended: []acaciatally.EndedTask{ended}}, now, now)
	commitAll(scheduler, now)
	loadJob(scheduler, "bb", now, testStep(1, 1000))
	startDue(scheduler, now)
	require.NotContains(t, scheduler.jobs, acaciatally.JobID("aa"))
}
