package site_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// cutOff separates an entry from everything, as when its machine loses power or its network.
func (w *world) cutOff(e *entry) (heal func()) {
	addresses := []netip.AddrPort{netip.AddrPortFrom(e.ip, 0), netip.AddrPortFrom(e.ip, 80), netip.AddrPortFrom(e.ip, 81)}
	w.network.Partition(1, addresses...)
	return func() { w.network.Partition(0, addresses...) }
}

// path returns the path of a job, whose id differs between queues too.
func path(queue string, number int) string {
	return fmt.Sprintf("/%s/%08x%08x", queue, len(queue), number)
}

// submitMany hands in jobs of one step at entries that are reachable.
func (w *world) submitMany(e *entry, queue string, count int, body any) (paths []string) {
	for i := range count {
		paths = append(paths, path(queue, i+1))
		w.submit(e, paths[i], body)
	}
	return paths
}

// ends counts the runs by how they ended.
func (w *world) ends() map[string]int {
	counts := map[string]int{}
	for _, run := range w.ledger.Runs() {
		counts[run.End]++
	}
	return counts
}

// TestTakeOver guards against runs that are lost, stopped or doubled when the leader vanishes, at several moments of a job.
func TestTakeOver(t *testing.T) {
	moments := map[string]time.Duration{"at once": 0, "while starting": 12 * time.Millisecond, "while running": 400 * time.Millisecond, "at the end": 810 * time.Millisecond}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				w.addMachines("intake", 4)
				w.addMachines("coating", 2)
				time.Sleep(3 * time.Second)
				old, entry := w.leader(), w.other()
				paths := w.submitMany(entry, "quotes", 6, emulator.Job(emulator.Step(4, 1000)))
				time.Sleep(moment)
				heal := w.cutOff(old)
				for _, p := range paths {
					w.await(entry, p, "completed", 15*time.Second)
				}
				require.NotEqual(t, old, w.leader())
				heal()
				time.Sleep(3 * time.Second)
				w.checkOnce()
				require.Zero(t, w.ends()["lapsed"])
			})
		})
	}
}

// TestStrongerEntryLeads guards against a deployment that a weak entry leads while it has stronger ones, and against runs that a handover
// loses or doubles.
func TestStrongerEntryLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		w.cores = 0.2
		weak := w.addEntry()
		w.addMachines("intake", 4)
		time.Sleep(3 * time.Second)
		require.Equal(t, weak, w.leader())
		w.cores = 1
		strong := w.addEntry()
		paths := w.submitMany(weak, "quotes", 12, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(3 * time.Second)
		require.Equal(t, strong, w.leader())
		for _, p := range paths {
			w.await(weak, p, "completed", 10*time.Second)
		}
		w.checkOnce()
		require.Equal(t, map[string]int{"done": 48}, w.ends())
	})
}

// TestTakeOverReadsAllFirst guards against a new leader that takes the runs of jobs that it has not read yet for unknown, and stops them.
func TestTakeOverReadsAllFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.behave.Took = func(string) time.Duration { return 6 * time.Second }
		w.addMachines("intake", 4)
		w.addMachines("coating", 4)
		time.Sleep(3 * time.Second)
		old, entry := w.leader(), w.other()
		quotes := w.submitMany(entry, "quotes", 3, emulator.Job(emulator.Step(4, 1000)))
		plans := w.submitMany(entry, "plans", 3, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(500 * time.Millisecond)
		entry.faults.Slow(250 * time.Millisecond)
		w.cutOff(old)
		time.Sleep(4 * time.Second)
		entry.faults.Slow(0)
		for _, p := range slices.Concat(quotes, plans) {
			w.await(entry, p, "completed", 15*time.Second)
		}
		require.Equal(t, map[string]int{"done": 24}, w.ends())
	})
}

// TestSilentWorker guards against a task that waits for ever for a worker that went dark: each renewal without answer used to move the
// end of the lease that was assumed.
func TestSilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.behave.Took = func(string) time.Duration { return -1 }
		w.addMachines("intake", 6)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.LastingStep(3)))
		w.await(w.entries[0], quoteA, "running", 2*time.Second)
		dark := w.ledger.Runs()[0].Worker
		w.workers[dark].Crash()
		time.Sleep(9 * time.Second)
		running := 0
		for _, worker := range w.workers {
			running += len(worker.Running())
		}
		require.Equal(t, 3, running, "the lease of six seconds is over")
		w.checkOnce()
	})
}

// TestWorkerStartsAgain guards against runs that are assumed on a worker that has started again under its id.
func TestWorkerStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.addMachines("intake", 2)
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(300 * time.Millisecond)
		again := w.workers[w.ledger.Runs()[0].Worker]
		again.Restart()
		w.store.Put("servers", again.ID(), again.Entry())
		w.await(w.entries[0], quoteA, "completed", 5*time.Second)
		w.checkOnce()
	})
}

// submitEventually repeats a submission until it is accepted, as callers do.
func (w *world) submitEventually(e *entry, path string, body any) {
	w.t.Helper()
	for range 10 {
		if status, _ := w.call(e, http.MethodPost, path, body); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	require.Fail(w.t, "never accepted")
}

// TestMuteWorker guards against a task in two places when a worker carries orders out without answering.
func TestMuteWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.behave.Took = func(string) time.Duration { return 2 * time.Second }
		w.addMachines("intake", 3)
		time.Sleep(3 * time.Second)
		for _, worker := range w.workers {
			if worker.ID() == "i-001" {
				worker.Mute(true)
			}
		}
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(6, 3000)))
		time.Sleep(3 * time.Second)
		w.workers["i-001"].Mute(false)
		w.await(w.entries[0], quoteA, "completed", 15*time.Second)
		w.checkOnce()
	})
}

// TestUnsureMove guards against giving up the runs of a worker that came after an order on its instance that was not answered.
func TestUnsureMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.addMachines("intake", 2)
		w.addMachines("coating", 2)
		w.addMachines("reserve", 6)
		w.control.Lose(4)
		time.Sleep(3 * time.Second)
		paths := w.submitMany(w.entries[0], "quotes", 24, emulator.Job(emulator.Step(8, 2000)))
		for _, p := range paths {
			w.await(w.entries[0], p, "completed", 60*time.Second)
		}
		require.NotEmpty(t, w.control.Ordered(), "the pool borrowed instances")
		w.checkOnce()
	})
}

// TestBorrowsForBurst guards against a pool that works off a burst alone while others are idle.
func TestBorrowsForBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.addMachines("intake", 2)
		w.addMachines("coating", 2)
		w.addMachines("reserve", 8)
		time.Sleep(3 * time.Second)
		begun := time.Now()
		paths := w.submitMany(w.entries[0], "quotes", 20, emulator.Job(emulator.Step(8, 2000)))
		for _, p := range paths {
			w.await(w.entries[0], p, "completed", 60*time.Second)
		}
		alone := time.Duration(20*8*2000/(2*8000)) * 800 * time.Millisecond
		require.Less(t, time.Since(begun), alone/2)
	})
}

// wave asks for maintenance of all instances.
func (w *world) wave(number, seconds, atOnce int) {
	machines := []string{}
	for i := range w.machines {
		machines = append(machines, fmt.Sprintf("m-%02d", i+1))
	}
	w.store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "durationS": seconds, "maximum": atOnce,
	})
}

// TestWave guards against a wave that is late, ends runs, or takes two tasks of a step with a budget of one away.
func TestWave(t *testing.T) {
	tests := map[string]func(w *world){
		"calm":           func(*world) {},
		"leader is lost": func(w *world) { w.cutOff(w.leader()) },
		"orders without answer": func(w *world) {
			w.control.Lose(3)
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				w.behave.Took = func(task string) time.Duration {
					if task[:16] == "00000000000000aa" {
						return -1
					}
					return 800 * time.Millisecond
				}
				w.addMachines("intake", 5)
				w.addMachines("reserve", 3)
				time.Sleep(3 * time.Second)
				entry := w.other()
				w.submit(entry, quoteA, emulator.Job(emulator.LastingStep(3)))
				time.Sleep(time.Second)
				w.wave(1, 30, 2)
				time.Sleep(2 * time.Second)
				trouble(w)
				for i := range 30 {
					_, _ = w.call(entry, http.MethodPost, path("quotes", i+1), emulator.Job(emulator.Step(2, 1000)))
					time.Sleep(time.Second)
				}
				require.Len(t, maintained(w.control.Ordered()), 8)
				require.Zero(t, w.ends()["crashed"], "only empty workers are taken away")
				rows := w.store.Rows("status")
				require.Len(t, rows, 1)
				require.JSONEq(t, `{"state":"completed"}`, string(rows[0].Value))
				checkBudget(t, w, 1)
			})
		})
	}
}

func maintained(ordered []string) map[string]bool {
	machines := map[string]bool{}
	for _, order := range ordered {
		var machine string
		if n, _ := fmt.Sscanf(order, "maintain %s", &machine); n == 1 {
			machines[machine] = true
		}
	}
	return machines
}

// checkBudget requires that at most budget tasks of the lasting job were away at once after they had all been started.
func checkBudget(t *testing.T, w *world, budget int) {
	t.Helper()
	var all []emulator.Run
	var begun time.Time
	for _, run := range w.ledger.Runs() {
		if run.Task[:16] != "00000000000000aa" {
			continue
		}
		all = append(all, run)
		if run.Attempt == 1 && run.Began.After(begun) {
			begun = run.Began
		}
	}
	for at := begun; at.Before(time.Now()); at = at.Add(20 * time.Millisecond) {
		present := 0
		for _, run := range all {
			if !run.Began.After(at) && (run.Ended.IsZero() || run.Ended.After(at)) {
				present++
			}
		}
		require.GreaterOrEqual(t, present, 3-budget)
	}
}

// TestConfigurationNeverReverts guards against a version that is late, or older than one that was in force.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		time.Sleep(time.Second)
		w.configure(5, 1)
		time.Sleep(time.Second)
		w.configure(3, 0) // an older one arrives late
		time.Sleep(time.Second)
		for _, e := range w.entries {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.ip.String()+":80/idle0/", nil)
			require.NoError(t, err)
			request.Host = "b.example"
			response, err := w.caller.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	})
}

// TestForeignRecords guards against records of another writer that stop the dispatching.
func TestForeignRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.addMachines("intake", 1)
		w.store.Put("servers", "foreign-1", "not an object")
		w.store.Put("servers", "foreign-2", map[string]any{"service": 7, "address": "x", "state": "ready"})
		w.store.Put("servers", "foreign-3", map[string]any{"service": "intake", "address": "10.1.9.9:80", "state": "lost", "capacity": map[string]int{}, "labels": []string{}})
		w.store.Put("op", "wave/x", map[string]any{"wave": "no"})
		w.store.Put("op", "wave/7", "not an object")
		time.Sleep(3 * time.Second)
		w.submit(w.entries[0], quoteA, emulator.Job(emulator.Step(2, 1000)))
		w.await(w.entries[0], quoteA, "completed", 5*time.Second)
	})
}

// TestStop guards against requests that are cut by a graceful stop, and against a term of silence after it.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.addMachines("intake", 4)
		time.Sleep(3 * time.Second)
		old, entry := w.leader(), w.other()
		old.stop()
		stopped := time.Now()
		for i := 0; time.Since(stopped) < 2*time.Second; i++ {
			w.submit(old, path("quotes", i+1), emulator.Job(emulator.Step(1, 1000)))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, entry, w.leader())
		w.await(entry, path("quotes", 1), "completed", 3*time.Second)
		<-old.done
		require.Less(t, time.Since(stopped), 6*time.Second)
		w.checkOnce()
	})
}
