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

// TestJobsComplete guards against a job that is accepted but never reported as completed, and against duplicate runs of its tasks.
func TestJobsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3)
		d.addInstances("intake", 3)
		d.addInstances("coating", 2)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(4, 2000), emulator.StepAfter(0, 3, 500)))
		d.submit(d.entries[1], planA, emulator.Job(emulator.Step(2, 1000)))
		d.awaitState(d.entries[2], quoteA, "completed", 5*time.Second)
		d.awaitState(d.entries[2], planA, "completed", 5*time.Second)
		d.checkNoDuplicateRuns()
		require.Len(t, d.runLog.Runs(), 9)
	})
}

// TestRepeatedSubmission guards against a second job from a repeated request, at the same or another entry, before or after the job has ended.
func TestRepeatedSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.addInstances("intake", 2)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		d.submit(d.entries[1], quoteA, emulator.Job(emulator.Step(1, 1000)))
		d.awaitState(d.entries[0], quoteA, "completed", 5*time.Second)
		d.submit(d.entries[1], quoteA, emulator.Job(emulator.Step(1, 1000)))
		status, _ := d.call(d.entries[1], http.MethodPost, quoteA, emulator.Job(emulator.Step(2, 1000)))
		require.Equal(t, http.StatusConflict, status)
		time.Sleep(3 * time.Second)
		require.Len(t, d.runLog.Runs(), 1)
	})
}

// TestResponseStatuses guards against wrong status codes for invalid and for unknown jobs.
func TestResponseStatuses(t *testing.T) {
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
		"waiting":          {http.MethodGet, "/quotes/", nil, http.StatusOK},
	}
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		time.Sleep(time.Second)
		for name, test := range tests {
			status, _ := d.call(d.entries[0], test.method, test.path, test.body)
			require.Equal(t, test.status, status, name)
		}
		require.Empty(t, d.store.Rows("Job"), "rejected requests must not store anything")
		status, _ := d.call(d.entries[0], http.MethodDelete, quoteB, nil)
		require.Equal(t, http.StatusGone, status, "cancel unknown")
		time.Sleep(time.Second) // until the leader has deleted the record that tells it of the cancellation
		require.Empty(t, d.store.Rows("Job"), "a job that was never accepted must not be stored")
		require.Empty(t, d.store.Rows("Waiting"), "a job that was never accepted must not be counted")
	})
}

// TestCancel guards against runs that continue after their job was cancelled.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return time.Minute }
		d.addInstances("intake", 2)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		d.awaitState(d.entries[0], quoteA, "running", 3*time.Second)
		status, _ := d.call(d.entries[1], http.MethodDelete, quoteA, nil)
		require.Equal(t, http.StatusOK, status)
		d.awaitState(d.entries[0], quoteA, "cancelled", time.Second)
		time.Sleep(time.Second)
		for _, worker := range d.workers {
			require.Empty(t, worker.Running())
		}
	})
}

// TestWaitingCount guards against a count of pending jobs that leaves out jobs without a run or includes jobs with one.
func TestWaitingCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return 5 * time.Second }
		d.addInstances("intake", 1)
		time.Sleep(3 * time.Second)
		for _, path := range []string{quoteA, quoteB, "/quotes/00000000000000dd"} {
			d.submit(d.entries[0], path, emulator.Job(emulator.Step(1, 8000)))
		}
		time.Sleep(time.Second)
		_, answer := d.call(d.entries[1], http.MethodGet, "/quotes/", nil)
		require.EqualValues(t, 2, answer["pending"])
	})
}

// TestAttemptLimit guards against more attempts than the queue allows, and against a failing job that never ends.
func TestAttemptLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.behaviour.Fails = func(string, string) bool { return true }
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		d.awaitState(d.entries[0], quoteA, "failed", 20*time.Second)
		time.Sleep(5 * time.Second)
		require.Len(t, d.runLog.Runs(), 2)
	})
}

// TestFailingWorker guards against a worker that fails all its runs and gets most of the work because it is always idle.
func TestFailingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.behaviour.Fails = func(_, worker string) bool { return worker == "i-001" }
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		paths := []string{quoteA, quoteB, "/quotes/00000000000000dd", "/quotes/00000000000000ee", "/quotes/00000000000000ff"}
		for _, path := range paths {
			d.submit(d.entries[0], path, emulator.Job(emulator.Step(4, 1000)))
		}
		completed := 0
		time.Sleep(10 * time.Second)
		for _, path := range paths {
			if d.state(d.entries[0], path) == "completed" {
				completed++
			}
		}
		require.GreaterOrEqual(t, completed, 4, "with two attempts for each task, at most one job may fail on the same worker twice")
	})
}
