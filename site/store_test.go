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

// TestUnreachableStore guards against callers that wait at an entry which can't serve them, while others can.
func TestUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.addMachines("intake", 2)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(1, 1000)))
		w.entries[0].faults.Hang(true)
		time.Sleep(3 * time.Second)
		calls := map[string]any{http.MethodPost: emulator.Job(emulator.Step(1, 1000)), http.MethodGet: nil, http.MethodDelete: nil}
		for method, body := range calls {
			begun := time.Now()
			status, _ := w.call(w.entries[0], method, quoteA, body)
			require.Equal(t, http.StatusServiceUnavailable, status, method)
			require.Less(t, time.Since(begun), 100*time.Millisecond, method)
		}
		w.await(w.entries[1], quoteA, "completed", 5*time.Second)
		w.entries[0].faults.Hang(false)
		time.Sleep(2 * time.Second)
		w.await(w.entries[0], quoteA, "completed", time.Second)
	})
}

// TestSlowStore guards against a leader that is replaced, and jobs that stand still, because the store gets two hundred times slower.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.addMachines("intake", 2)
		time.Sleep(10 * time.Second) // until the term is short
		lease := func() (version uint64, epoch uint64) {
			row := w.store.Rows("Lease")[0]
			var decoded struct{ Epoch uint64 }
			require.NoError(t, json.Unmarshal(row.Value, &decoded))
			return row.Version, decoded.Epoch
		}
		_, first := lease()
		for _, e := range w.entries {
			e.faults.Slow(750 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		early, _ := lease()
		time.Sleep(2 * time.Second)
		late, last := lease()
		require.Equal(t, first, last, "the leader was replaced")
		require.Greater(t, late, early, "nobody renews the lease")
	})
}

// TestStoreAway guards against work that ends during an outage of the store and is done again, and against false acceptance.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.behave.Took = func(string) time.Duration { return 5 * time.Second }
		w.addMachines("intake", 4)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(time.Second)
		for _, e := range w.entries {
			e.faults.Refuse(http.StatusServiceUnavailable)
		}
		begun := time.Now()
		status, _ := w.call(w.entries[1], http.MethodPost, quoteB, emulator.Job(emulator.Step(1, 1000)))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Less(t, time.Since(begun), 100*time.Millisecond, "what can't be accepted is refused at once")
		time.Sleep(5 * time.Second)
		for _, e := range w.entries {
			e.faults.Refuse(0)
		}
		w.await(w.entries[0], quoteA, "completed", 10*time.Second)
		require.Equal(t, map[string]int{"done": 4}, w.ends())
		require.Empty(t, w.state(w.entries[0], quoteB))
	})
}

// TestLostAnswers guards against doubled jobs and runs when the store applies writes late and does not answer.
func TestLostAnswers(t *testing.T) {
	delays := map[string]time.Duration{"at once": 0, "a second later": time.Second, "four seconds later": 4 * time.Second}
	for name, delay := range delays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				w.addMachines("intake", 4)
				time.Sleep(3 * time.Second)
				for round := range 4 {
					w.leader().faults.Lose(2, delay)
					w.other().faults.Lose(1, delay)
					_, _ = w.call(w.other(), http.MethodPost, path("quotes", round+1), emulator.Job(emulator.Step(3, 1000)))
					w.submitEventually(w.other(), path("quotes", round+1), emulator.Job(emulator.Step(3, 1000)))
					time.Sleep(500 * time.Millisecond)
				}
				for round := range 4 {
					w.await(w.entries[0], path("quotes", round+1), "completed", 20*time.Second)
				}
				w.checkOnce()
			})
		})
	}
}

// TestHistoryGone guards against jobs, workers and configurations that are missed when the store drops its history.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.addMachines("intake", 1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			w.submit(w.other(), path("quotes", i+1), emulator.Job(emulator.Step(2, 3000)))
			w.store.Compact()
			w.addMachines("intake", 1)
			w.configure(i+2, i)
			w.store.Compact()
			time.Sleep(400 * time.Millisecond)
		}
		for i := range 5 {
			w.await(w.entries[0], path("quotes", i+1), "completed", 10*time.Second)
		}
		w.checkOnce()
	})
}

// TestStopAfterLostAnswer guards against a planned stop that leaves the lease to lapse because the last renewal had no answer.
func TestStopAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		time.Sleep(10 * time.Second) // until the term is short
		old := w.leader()
		old.faults.Lose(1, 0)
		time.Sleep(500 * time.Millisecond)
		old.stop()
		time.Sleep(600 * time.Millisecond)
		require.NotEqual(t, old, w.leader())
	})
}
