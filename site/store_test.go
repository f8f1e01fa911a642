package site_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestUnreachableStore guards against an entry that keeps callers waiting while it can't reach the store and other entries can.
func TestUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.addInstances("intake", 2)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		d.entries[0].faults.Hang(true)
		time.Sleep(3 * time.Second)
		calls := map[string]any{http.MethodPost: emulator.Job(emulator.Step(1, 1000)), http.MethodGet: nil, http.MethodDelete: nil}
		for method, body := range calls {
			begun := time.Now()
			status, _ := d.call(d.entries[0], method, quoteA, body)
			require.Equal(t, http.StatusServiceUnavailable, status, method)
			require.Less(t, time.Since(begun), 100*time.Millisecond, method)
		}
		d.awaitState(d.entries[1], quoteA, "completed", 5*time.Second)
		d.entries[0].faults.Hang(false)
		time.Sleep(2 * time.Second)
		d.awaitState(d.entries[0], quoteA, "completed", time.Second)
	})
}

// TestSlowStore guards against a change of the leader, and a stop of all jobs, because the store becomes 200 times slower.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3)
		d.addInstances("intake", 2)
		time.Sleep(10 * time.Second) // until the short lease term is in use
		lease := func() (version uint64, epoch uint64) {
			row := d.store.Rows("Lease")[0]
			var decoded struct{ Epoch uint64 }
			require.NoError(t, json.Unmarshal(row.Value, &decoded))
			return row.Version, decoded.Epoch
		}
		_, first := lease()
		for _, e := range d.entries {
			e.faults.SetDelay(750 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		early, _ := lease()
		time.Sleep(2 * time.Second)
		late, last := lease()
		require.Equal(t, first, last, "another entry became the leader")
		require.Greater(t, late, early, "the lease was not renewed")
	})
}

// TestStoreOutage guards against tasks that end during an outage of the store and are run again, and against submissions that are accepted
// without being stored.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3)
		d.behaviour.Duration = func(string) time.Duration { return 5 * time.Second }
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(time.Second)
		d.refuseAll(http.StatusServiceUnavailable)
		begun := time.Now()
		status, _ := d.call(d.entries[1], http.MethodPost, quoteB, emulator.Job(emulator.Step(1, 1000)))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Less(t, time.Since(begun), 100*time.Millisecond, "submissions that can't be stored are rejected immediately")
		time.Sleep(5 * time.Second)
		d.refuseAll(0)
		d.awaitState(d.entries[0], quoteA, "completed", 10*time.Second)
		require.Equal(t, map[string]int{"done": 4}, d.runsByEnd())
		require.Empty(t, d.state(d.entries[0], quoteB))
	})
}

// TestLostCommitResponses guards against duplicate jobs and runs when the store applies commits, possibly late, and the responses are lost.
func TestLostCommitResponses(t *testing.T) {
	delays := map[string]time.Duration{"no delay": 0, "delay of 1 s": time.Second, "delay of 4 s": 4 * time.Second}
	for name, delay := range delays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3)
				d.addInstances("intake", 4)
				time.Sleep(3 * time.Second)
				for round := range 4 {
					d.leader().faults.DropResponses(2, delay)
					d.nonLeader().faults.DropResponses(1, delay)
					_, _ = d.call(d.nonLeader(), http.MethodPost, path("quotes", round+1), emulator.Job(emulator.Step(3, 1000)))
					d.submitWithRetries(d.nonLeader(), path("quotes", round+1), emulator.Job(emulator.Step(3, 1000)))
					time.Sleep(500 * time.Millisecond)
				}
				for round := range 4 {
					d.awaitState(d.entries[0], path("quotes", round+1), "completed", 20*time.Second)
				}
				d.checkNoDuplicateRuns()
			})
		})
	}
}

// TestStoreCompaction guards against jobs, workers and configurations that entries miss when the store compacts its history.
func TestStoreCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.addInstances("intake", 1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			d.submit(d.nonLeader(), path("quotes", i+1), emulator.Job(emulator.Step(2, 3000)))
			d.store.Compact()
			d.addInstances("intake", 1)
			d.configure(i+2, i)
			d.store.Compact()
			time.Sleep(400 * time.Millisecond)
		}
		for i := range 5 {
			d.awaitState(d.entries[0], path("quotes", i+1), "completed", 10*time.Second)
		}
		d.checkNoDuplicateRuns()
	})
}

// TestStopAfterLostRenewalResponse guards against a graceful stop that does not release the lease because the response to the last renewal
// was lost.
func TestStopAfterLostRenewalResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		time.Sleep(10 * time.Second) // until the short lease term is in use
		oldLeader := d.leader()
		oldLeader.faults.DropResponses(1, 0)
		time.Sleep(500 * time.Millisecond)
		oldLeader.stop()
		time.Sleep(600 * time.Millisecond)
		require.NotEqual(t, oldLeader, d.leader())
	})
}

// TestCancelBeforeLateSubmission guards against a job that runs although its cancellation was answered 410, and against records of such jobs
// that stay in the store, also when another entry leads.
func TestCancelBeforeLateSubmission(t *testing.T) {
	const (
		lateBy    = 5 * time.Second
		retention = time.Minute
	)
	for name, leaderStops := range map[string]bool{"same leader": false, "leader stops": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3)
				d.addInstances("intake", 2)
				time.Sleep(3 * time.Second)
				submitter, leader := d.nonLeader(), d.leader()
				submitter.faults.DropResponses(2, lateBy)
				status, _ := d.call(submitter, http.MethodPost, quoteA, emulator.Job(emulator.Step(2, 1000)))
				require.NotEqual(t, http.StatusOK, status)
				status, _ = d.call(leader, http.MethodDelete, quoteA, nil)
				require.Equal(t, http.StatusGone, status)
				if leaderStops {
					leader.stop()
					<-leader.done
				}
				time.Sleep(2 * lateBy)
				for method, body := range map[string]any{http.MethodPost: emulator.Job(emulator.Step(2, 1000)), http.MethodGet: nil, http.MethodDelete: nil} {
					status, _ = d.call(submitter, method, quoteA, body)
					require.Equal(t, http.StatusGone, status, method)
				}
				require.Empty(t, d.runLog.Runs())
				time.Sleep(retention + 10*time.Second)
				for _, table := range []string{"Job", "Progress", "Waiting"} {
					require.Empty(t, d.store.Rows(table), table)
				}
			})
		})
	}
}

// TestGangEndDuringOutage guards against a gang that runs again although the ends of its members were acknowledged: it ended while the store was down, and
// the leader and the worker of the one member whose end was not acknowledged were lost before the store was back.
func TestGangEndDuringOutage(t *testing.T) {
	const (
		members  = 4
		duration = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3)
		d.behaviour.Duration = func(string) time.Duration { return duration }
		d.addInstances("intake", members+4)
		time.Sleep(3 * time.Second)
		step := emulator.Step(members, 8000)
		step["gang"] = true
		d.submit(d.nonLeader(), quoteA, emulator.Job(step))
		time.Sleep(3 * time.Second)
		require.Len(t, d.runLog.Runs(), members)
		endsAt := d.runLog.Runs()[members-1].StartedAt.Add(duration)
		time.Sleep(time.Until(endsAt.Add(-100 * time.Millisecond)))
		d.refuseAll(http.StatusServiceUnavailable)
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, map[string]int{"done": members}, d.runsByEnd())
		for _, run := range d.runLog.Runs() {
			if !run.Acknowledged {
				d.workers[run.Worker].Crash()
				break
			}
		}
		oldLeader, entry := d.leader(), d.nonLeader()
		d.isolate(oldLeader)
		d.refuseAll(0)
		d.awaitState(entry, quoteA, "completed", 15*time.Second)
		require.NotEqual(t, oldLeader, d.leader())
		require.Len(t, d.runLog.Runs(), members, "no member was started again")
		d.checkNoDuplicateRuns()
	})
}

// refuseAll makes the store answer all entries with the HTTP status; 0 lets it serve again.
func (d *deployment) refuseAll(status int) {
	for _, e := range d.entries {
		e.faults.FailWithStatus(status)
	}
}
