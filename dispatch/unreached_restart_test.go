package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// unreachedRestart returns a leader that has inherited a run on a worker, has not reached it, and has seen in the directory a time after the start of its
// term that it has restarted.
func unreachedRestart(restartedAfter time.Duration) (leader *Scheduler, accepted job.Accepted, w acaciatally.Worker) {
	accepted, progress := runOnWorker(job.Task{WorkerStart: testWorker(1).StartTime})
	leader = testLeader(2, takeoverStart)
	leader.SetDirectory([]acaciatally.Worker{testWorker(1)}, takeoverStart)
	leader.LoadJob("aa", accepted, progress, 0, takeoverStart)
	w = restartedWorker()
	leader.SetDirectory([]acaciatally.Worker{w}, takeoverStart+restartedAfter)
	return leader, accepted, w
}

// Guards against two runs of a task: a restart during the term of a leader that has not reached the worker was taken for one before that term, though a
// start order of the leader before may have begun the run in the new incarnation.
func TestRestartOfUnreachedWorker(t *testing.T) {
	const restartedAfter = 2 * time.Second
	leader, _, w := unreachedRestart(restartedAfter)
	over := takeoverStart + restartedAfter + maxCallDelay + leader.longestLease()
	leader.Plan(over-time.Millisecond, time.UnixMilli(0))
	require.Len(t, leader.workers[w.ID].runs, 1, "the lease may be in force")
	leader.Plan(over+time.Millisecond, time.UnixMilli(0))
	require.Empty(t, leader.workers[w.ID].runs)
}

// Guards against two runs of a task: such a leader recorded the run anew for the new incarnation with the usual lease, so that the next one no longer knew
// of the restart.
func TestRestartOfUnreachedWorkerIsRecorded(t *testing.T) {
	leader, accepted, w := unreachedRestart(time.Second)
	recordedAt := takeoverStart + time.Second
	stored := decoded(t, leader.progress(leader.jobs["aa"], recordedAt))

	next := testLeader(3, recordedAt+time.Second)
	next.LoadJob("aa", accepted, stored, 0, recordedAt+time.Second)
	next.SetDirectory([]acaciatally.Worker{w}, recordedAt+time.Second)
	next.Plan(recordedAt+time.Second+next.usualLease()+time.Millisecond, time.UnixMilli(0))
	require.Len(t, next.workers[w.ID].runs, 1, "the lease may be in force")
}
