package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// TestAdviceAfterRestart guards against using what the advice service said about a former incarnation of a worker: starts with its ticket are rejected
// and void the tickets of all others, and a worker that it did not permit was not asked about again.
func TestAdviceAfterRestart(t *testing.T) {
	restart := func(scheduler *Scheduler, number int) {
		id := testWorker(number).ID
		var workers []acaciatally.Worker
		for _, w := range scheduler.workers {
			entry := w.entry
			if entry.ID == id {
				entry.StartTime = entry.StartTime.Add(time.Second)
			}
			workers = append(workers, entry)
		}
		scheduler.SetDirectory(workers, 0)
		scheduler.Report(id, acaciatally.WorkerReport{StartTime: scheduler.workers[id].entry.StartTime}, 0, 0)
	}
	tests := map[string]struct {
		restartedAfter, restartedBefore int                    // worker that restarts after or before the answer; 0 if none does
		starts                          int                    // orders that are sent
		asked                           []acaciatally.WorkerID // in the next request before the ticket expires
		askedLater                      []acaciatally.WorkerID // in the next one after that
	}{
		"no restart":                           {starts: 1, askedLater: []acaciatally.WorkerID{"i-1"}},
		"permitted worker":                     {restartedAfter: 1, asked: []acaciatally.WorkerID{"i-1"}},
		"permitted worker, request in flight":  {restartedBefore: 1, asked: []acaciatally.WorkerID{"i-1"}},
		"refused worker":                       {restartedAfter: 2, starts: 1, askedLater: []acaciatally.WorkerID{"i-1", "i-2"}},
		"refused worker, request in flight":    {restartedBefore: 2, starts: 1, askedLater: []acaciatally.WorkerID{"i-1", "i-2"}},
		"permitted worker, and the other then": {restartedBefore: 1, restartedAfter: 2, asked: []acaciatally.WorkerID{"i-1", "i-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1), testWorker(2))
			step := testStep(2, 8000) // one task on a worker
			scheduler.LoadJob("aa", job.Accepted{
				Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{step}},
				Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
			}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
			scheduler.Plan(0, time.UnixMilli(0))
			request := scheduler.AdviceRequests(0)[0]
			if test.restartedBefore > 0 {
				restart(scheduler, test.restartedBefore)
			}
			scheduler.AdviceResult(request, acaciatally.Advice{
				Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-1", Ticket: "x"}},
			}, nil, 0)
			if test.restartedAfter > 0 {
				restart(scheduler, test.restartedAfter)
			}
			require.Len(t, startDue(scheduler, 0), test.starts)
			require.ElementsMatch(t, test.asked, askedWorkers(scheduler, adviceRetry))
			if len(test.asked) == 0 {
				require.ElementsMatch(t, test.askedLater, askedWorkers(scheduler, time.Second))
			}
		})
	}
}

// askedWorkers returns the workers in the advice requests that are due.
func askedWorkers(scheduler *Scheduler, now time.Duration) (workers []acaciatally.WorkerID) {
	for _, request := range scheduler.AdviceRequests(now) {
		workers = append(workers, request.Workers...)
	}
	return workers
}
