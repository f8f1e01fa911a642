package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// TestAdvice guards against starts on workers without a ticket, and against a step that waits forever because its request for advice failed.
func TestAdvice(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	scheduler.LoadJob("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(3, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	require.Empty(t, startDue(scheduler, 0))
	requests := scheduler.AdviceRequests(0)
	require.Len(t, requests, 1)
	require.Len(t, requests[0].Workers, 2)
	require.Empty(t, scheduler.AdviceRequests(0), "at most one request per step is in flight")
	scheduler.AdviceResult(requests[0], acaciatally.Advice{}, acaciatally.ErrUnavailable, 0)
	require.Empty(t, scheduler.AdviceRequests(0))
	requests = scheduler.AdviceRequests(adviceRetry)
	require.Len(t, requests, 1)
	scheduler.AdviceResult(requests[0], acaciatally.Advice{
		Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-2", Ticket: "x"}},
	}, nil, adviceRetry)
	orders := startDue(scheduler, adviceRetry)
	require.Len(t, orders, 3)
	for _, order := range orders {
		require.Equal(t, acaciatally.WorkerID("i-2"), order.Worker.ID)
		require.Equal(t, "x", order.Start.Permission)
	}
}

// TestTicketExpiry guards against a start with a ticket that may expire before the order arrives, and against a step that waits forever
// after its tickets have expired.
func TestTicketExpiry(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	scheduler.LoadJob("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	scheduler.Plan(0, time.UnixMilli(0))
	request := scheduler.AdviceRequests(0)[0]
	scheduler.AdviceResult(request, acaciatally.Advice{Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-1", Ticket: "x"}}}, nil, 0)
	require.Empty(t, startDue(scheduler, time.Second-ticketMargin))
	require.Len(t, scheduler.AdviceRequests(time.Second), 1)
}

// TestCapacity guards against exceeding a worker's processors, memory or limit of tasks per step.
func TestCapacity(t *testing.T) {
	tests := map[string]struct {
		step    acaciatally.Step
		workers int
		started int
	}{
		"processors":      {testStep(20, 3000), 2, 4},
		"memory":          {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1, Memory: 400}}, 2, 4},
		"per worker":      {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1}, PerWorker: 3}, 2, 6},
		"label":           {acaciatally.Step{Count: 20, Resources: acaciatally.ResourceVector{Processors: 1}, Label: "other"}, 2, 0},
		"whole gang":      {acaciatally.Step{Count: 4, Resources: acaciatally.ResourceVector{Processors: 3000}, Gang: true}, 2, 4},
		"incomplete gang": {acaciatally.Step{Count: 5, Resources: acaciatally.ResourceVector{Processors: 3000}, Gang: true}, 2, 0},
		"backfill":        {acaciatally.Step{Count: 3, Resources: acaciatally.ResourceVector{Processors: 9000, Memory: 300}, Backfill: true}, 1, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			var workers []acaciatally.Worker
			for i := range test.workers {
				workers = append(workers, testWorker(i+1))
			}
			reportIdle(scheduler, workers...)
			loadJob(scheduler, "aa", 0, test.step)
			require.Len(t, startDue(scheduler, 0), test.started)
		})
	}
}

// TestShrunkCapacity guards against starts on a worker whose capacity has shrunk since they were placed: a worker that does not enforce its
// capacity would run them all. What it takes when the capacity grows again is started.
func TestShrunkCapacity(t *testing.T) {
	tests := map[string]struct {
		processors int // capacity when the runs are recorded
		started    int
	}{
		"unchanged": {8000, 6}, "room for half": {3000, 3}, "no room": {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			w := testWorker(1)
			reportIdle(scheduler, w)
			loadJob(scheduler, "aa", 0, testStep(6, 1000))
			scheduler.Plan(0, time.UnixMilli(0))
			shrunk := w
			shrunk.Capacity.Processors = test.processors
			scheduler.SetDirectory([]acaciatally.Worker{shrunk}, 0)
			commitAll(scheduler, 0)
			started := 0
			for _, order := range scheduler.Orders(0) {
				scheduler.OrderResult(order, nil, 0)
				started++
			}
			require.Equal(t, test.started, started)
			require.Empty(t, startDue(scheduler, time.Second), "the worker has no room")
			scheduler.SetDirectory([]acaciatally.Worker{w}, time.Second)
			require.Len(t, startDue(scheduler, 2*time.Second), 6-test.started)
		})
	}
}
