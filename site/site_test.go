package site_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

const (
	quoteA = "/quotes/00000000000000aa"
	quoteB = "/quotes/00000000000000bb"
	planA  = "/plans/00000000000000cc"
)

// TestWholePath guards against a job that is accepted and never shown as completed, or runs in another order than its steps.
func TestWholePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.addMachines("intake", 3)
		w.addMachines("coating", 2)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(4, 2000), emulator.StepAfter(0, 3, 500)))
		w.submit(w.entries[1], planA, emulator.Job(emulator.Step(2, 1000)))
		w.await(w.entries[2], quoteA, "completed", 5*time.Second)
		w.await(w.entries[2], planA, "completed", 5*time.Second)
		w.checkOnce()
		require.Len(t, w.ledger.Runs(), 9)
	})
}

// TestRepeatedSubmission guards against a second job from a repeated request, also at another entry and after the job has ended.
func TestRepeatedSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.addMachines("intake", 2)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		w.submit(w.entries[1], quoteA, emulator.Job(emulator.Step(1, 1000)))
		w.await(w.entries[0], quoteA, "completed", 5*time.Second)
		w.submit(w.entries[1], quoteA, emulator.Job(emulator.Step(1, 1000)))
		status, _ := w.call(w.entries[1], http.MethodPost, quoteA, emulator.Job(emulator.Step(2, 1000)))
		require.Equal(t, http.StatusConflict, status)
		time.Sleep(3 * time.Second)
		require.Len(t, w.ledger.Runs(), 1)
	})
}

// TestStatuses guards against answers that do not say what happened.
func TestStatuses(t *testing.T) {
	tests := map[string]struct {
		method, path string
		body         any
		status       int
	}{
		"no queue":         {http.MethodPost, "/nothing/00000000000000aa", emulator.Job(emulator.Step(1, 1)), http.StatusNotFound},
		"bad id":           {http.MethodPost, "/quotes/xyz", emulator.Job(emulator.Step(1, 1)), http.StatusNotFound},
		"no steps":         {http.MethodPost, quoteA, emulator.Job(), http.StatusBadRequest},
		"later step first": {http.MethodPost, quoteA, emulator.Job(emulator.StepAfter(0, 1, 1)), http.StatusBadRequest},
		"unknown job":      {http.MethodGet, quoteB, nil, http.StatusGone},
		"cancel unknown":   {http.MethodDelete, quoteB, nil, http.StatusGone},
		"waiting":          {http.MethodGet, "/quotes/", nil, http.StatusOK},
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		time.Sleep(time.Second)
		for name, test := range tests {
			status, _ := w.call(w.entries[0], test.method, test.path, test.body)
			require.Equal(t, test.status, status, name)
		}
		require.Empty(t, w.store.Rows("Job"), "refused calls change nothing")
	})
}

// TestCancel guards against runs that go on after their job was cancelled.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.behave.Took = func(string) time.Duration { return time.Minute }
		w.addMachines("intake", 2)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		w.await(w.entries[0], quoteA, "running", 3*time.Second)
		status, _ := w.call(w.entries[1], http.MethodDelete, quoteA, nil)
		require.Equal(t, http.StatusOK, status)
		w.await(w.entries[0], quoteA, "cancelled", time.Second)
		time.Sleep(time.Second)
		for _, worker := range w.workers {
			require.Empty(t, worker.Running())
		}
	})
}

// TestWaitingCount guards against a count that forgets jobs without a run, or keeps those that have one.
func TestWaitingCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.behave.Took = func(string) time.Duration { return 5 * time.Second }
		w.addMachines("intake", 1)
		time.Sleep(3 * time.Second)
		for _, path := range []string{quoteA, quoteB, "/quotes/00000000000000dd"} {
			w.submit(w.entries[0], path, emulator.Job(emulator.Step(1, 8000)))
		}
		time.Sleep(time.Second)
		_, answer := w.call(w.entries[1], http.MethodGet, "/quotes/", nil)
		require.EqualValues(t, 2, answer["pending"])
	})
}

// TestFailedJob guards against more attempts than the queue allows, and against a job that never ends.
func TestFailedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.behave.Fails = func(string, string) bool { return true }
		w.addMachines("intake", 4)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		w.await(w.entries[0], quoteA, "failed", 20*time.Second)
		time.Sleep(5 * time.Second)
		require.Len(t, w.ledger.Runs(), 2)
	})
}

// TestFailingWorker guards against a worker that fails all its runs and attracts work by being free.
func TestFailingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.behave.Fails = func(_, worker string) bool { return worker == "i-001" }
		w.addMachines("intake", 4)
		time.Sleep(3 * time.Second)
		paths := []string{quoteA, quoteB, "/quotes/00000000000000dd", "/quotes/00000000000000ee", "/quotes/00000000000000ff"}
		for _, path := range paths {
			w.submit(w.entries[0], path, emulator.Job(emulator.Step(4, 1000)))
		}
		completed := 0
		time.Sleep(10 * time.Second)
		for _, path := range paths {
			if w.state(w.entries[0], path) == "completed" {
				completed++
			}
		}
		require.GreaterOrEqual(t, completed, 4, "with two attempts a task, one job at most may meet the worker twice")
	})
}
