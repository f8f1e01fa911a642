package site_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// isolate cuts all connections of an entry, as when its host loses power or its network.
func (d *deployment) isolate(e *entry) (heal func()) {
	addresses := []netip.AddrPort{netip.AddrPortFrom(e.ip, 0), netip.AddrPortFrom(e.ip, 80), netip.AddrPortFrom(e.ip, 81)}
	d.network.Partition(1, addresses...)
	return func() { d.network.Partition(0, addresses...) }
}

// path returns the path of a job; the job ID is unique across queues.
func path(queue string, number int) string {
	return fmt.Sprintf("/%s/%08x%08x", queue, len(queue), number)
}

// submitMany submits a number of jobs with the same body at one entry.
func (d *deployment) submitMany(e *entry, queue string, count int, body any) (paths []string) {
	for i := range count {
		paths = append(paths, path(queue, i+1))
		d.submit(e, paths[i], body)
	}
	return paths
}

// runsByEnd counts the runs by how they ended.
func (d *deployment) runsByEnd() map[string]int {
	counts := map[string]int{}
	for _, run := range d.runLog.Runs() {
		counts[run.End]++
	}
	return counts
}

// TestUnreachableWorker guards against a task that is never restarted after its worker became unreachable: each unanswered renewal used to
// extend the end of the lease that the leader assumed.
func TestUnreachableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.behaviour.Duration = func(string) time.Duration { return -1 }
		d.addInstances("intake", 6)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.LongRunningStep(3)))
		d.awaitState(d.entries[0], quoteA, "running", 2*time.Second)
		lostWorker := d.runLog.Runs()[0].Worker
		d.workers[lostWorker].Crash()
		time.Sleep(9 * time.Second)
		running := 0
		for _, worker := range d.workers {
			running += len(worker.Running())
		}
		require.Equal(t, 3, running, "all three tasks run again after the worker lease of 6 s has expired")
		d.checkNoDuplicateRuns()
	})
}

// TestWorkerRestart guards against runs that are still assumed on a worker after it has restarted under the same ID.
func TestWorkerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.addInstances("intake", 2)
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(4, 1000)))
		time.Sleep(300 * time.Millisecond)
		restarted := d.workers[d.runLog.Runs()[0].Worker]
		restarted.Restart()
		d.store.Put("servers", restarted.ID(), restarted.Record())
		d.awaitState(d.entries[0], quoteA, "completed", 5*time.Second)
		d.checkNoDuplicateRuns()
	})
}

// submitWithRetries repeats a submission until it is accepted, as callers do.
func (d *deployment) submitWithRetries(e *entry, path string, body any) {
	d.t.Helper()
	for range 10 {
		if status, _ := d.call(e, http.MethodPost, path, body); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	require.Fail(d.t, "submission was not accepted in 10 attempts")
}

// TestWorkerResponsesLost guards against a task that runs on two workers because one executes orders and its responses are lost.
func TestWorkerResponsesLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.behaviour.Duration = func(string) time.Duration { return 2 * time.Second }
		d.addInstances("intake", 3)
		time.Sleep(3 * time.Second)
		for _, worker := range d.workers {
			if worker.ID() == "i-001" {
				worker.DropResponses(true)
			}
		}
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(6, 3000)))
		time.Sleep(3 * time.Second)
		d.workers["i-001"].DropResponses(false)
		d.awaitState(d.entries[0], quoteA, "completed", 15*time.Second)
		d.checkNoDuplicateRuns()
	})
}

// TestMoveResponseLost guards against a leader that abandons the runs of a new worker on an instance because the response to the order that
// moved the instance was lost.
func TestMoveResponseLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.addInstances("intake", 2)
		d.addInstances("coating", 2)
		d.addInstances("reserve", 6)
		d.instanceControl.DropResponses(4)
		time.Sleep(3 * time.Second)
		paths := d.submitMany(d.entries[0], "quotes", 24, emulator.Job(emulator.Step(8, 2000)))
		for _, p := range paths {
			d.awaitState(d.entries[0], p, "completed", 60*time.Second)
		}
		require.NotEmpty(t, d.instanceControl.ExecutedOrders(), "the pool borrowed instances")
		d.checkNoDuplicateRuns()
	})
}

// TestBurstBorrowsInstances guards against a pool that processes a burst without borrowing instances while other pools are idle.
func TestBurstBorrowsInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.addInstances("intake", 2)
		d.addInstances("coating", 2)
		d.addInstances("reserve", 8)
		time.Sleep(3 * time.Second)
		begun := time.Now()
		paths := d.submitMany(d.entries[0], "quotes", 20, emulator.Job(emulator.Step(8, 2000)))
		for _, p := range paths {
			d.awaitState(d.entries[0], p, "completed", 60*time.Second)
		}
		withoutBorrowing := time.Duration(20*8*2000/(2*8000)) * 800 * time.Millisecond
		require.Less(t, time.Since(begun), withoutBorrowing/2)
	})
}

// requestWave requests a maintenance wave over all instances.
func (d *deployment) requestWave(number, seconds, maximum int) {
	instances := []string{}
	for i := range d.instanceCount {
		instances = append(instances, fmt.Sprintf("m-%02d", i+1))
	}
	d.store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{
		"wave": number, "machines": instances, "durationS": seconds, "maximum": maximum,
	})
}

// TestMaintenanceWave guards against a wave that misses its deadline, ends runs, or exceeds a step's disruption budget of one task.
func TestMaintenanceWave(t *testing.T) {
	tests := map[string]func(d *deployment){
		"no fault":        func(*deployment) {},
		"leader isolated": func(d *deployment) { d.isolate(d.leader()) },
		"order responses lost": func(d *deployment) {
			d.instanceControl.DropResponses(3)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3)
				d.behaviour.Duration = func(task string) time.Duration {
					if task[:16] == "00000000000000aa" {
						return -1
					}
					return 800 * time.Millisecond
				}
				d.addInstances("intake", 5)
				d.addInstances("reserve", 3)
				time.Sleep(3 * time.Second)
				entry := d.nonLeader()
				d.submit(entry, quoteA, emulator.Job(emulator.LongRunningStep(3)))
				time.Sleep(time.Second)
				d.requestWave(1, 30, 2)
				time.Sleep(2 * time.Second)
				injectFault(d)
				for i := range 30 {
					_, _ = d.call(entry, http.MethodPost, path("quotes", i+1), emulator.Job(emulator.Step(2, 1000)))
					time.Sleep(time.Second)
				}
				require.Len(t, maintainedInstances(d.instanceControl.ExecutedOrders()), 8)
				require.Zero(t, d.runsByEnd()["crashed"], "only drained workers may be taken down")
				rows := d.store.Rows("status")
				require.Len(t, rows, 1)
				require.JSONEq(t, `{"state":"completed"}`, string(rows[0].Value))
				checkDisruptionBudget(t, d, 1)
			})
		})
	}
}

func maintainedInstances(ordered []string) map[string]bool {
	instances := map[string]bool{}
	for _, order := range ordered {
		var instance string
		if n, _ := fmt.Sscanf(order, "maintain %s", &instance); n == 1 {
			instances[instance] = true
		}
	}
	return instances
}

// checkDisruptionBudget requires that, once all tasks of the long-running job had started, no more than budget of them were down at once.
func checkDisruptionBudget(t *testing.T, d *deployment, budget int) {
	t.Helper()
	var all []emulator.Run
	var begun time.Time
	for _, run := range d.runLog.Runs() {
		if run.Task[:16] != "00000000000000aa" {
			continue
		}
		all = append(all, run)
		if run.Attempt == 1 && run.StartedAt.After(begun) {
			begun = run.StartedAt
		}
	}
	for at := begun; at.Before(time.Now()); at = at.Add(20 * time.Millisecond) {
		present := 0
		for _, run := range all {
			if !run.StartedAt.After(at) && (run.EndedAt.IsZero() || run.EndedAt.After(at)) {
				present++
			}
		}
		require.GreaterOrEqual(t, present, 3-budget)
	}
}

// TestConfigurationNeverReverts guards against an entry that replaces its configuration by an older version that arrives late.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		time.Sleep(time.Second)
		d.configure(5, 1)
		time.Sleep(time.Second)
		d.configure(3, 0) // an older version arrives late
		time.Sleep(time.Second)
		for _, e := range d.entries {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.ip.String()+":80/idle0/", nil)
			require.NoError(t, err)
			request.Host = "a.example"
			response, err := d.callerClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	})
}

// TestMalformedRecords guards against a stop of the dispatching by malformed records of other writers.
func TestMalformedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.addInstances("intake", 1)
		d.store.Put("servers", "foreign-1", "not an object")
		d.store.Put("servers", "foreign-2", map[string]any{"service": 7, "address": "x", "state": "ready"})
		d.store.Put("servers", "foreign-3", map[string]any{"service": "intake", "address": "10.1.9.9:80", "state": "lost", "capacity": map[string]int{}, "labels": []string{}})
		d.store.Put("op", "wave/x", map[string]any{"wave": "no"})
		d.store.Put("op", "wave/7", "not an object")
		time.Sleep(3 * time.Second)
		d.submit(d.entries[0], quoteA, emulator.Job(emulator.Step(2, 1000)))
		d.awaitState(d.entries[0], quoteA, "completed", 5*time.Second)
	})
}

// TestGracefulStop guards against requests that are cut off by a graceful stop, and against a deployment that has no leader until the lease
// has expired.
func TestGracefulStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		oldLeader, entry := d.leader(), d.nonLeader()
		oldLeader.stop()
		stopped := time.Now()
		for i := 0; time.Since(stopped) < 2*time.Second; i++ {
			d.submit(oldLeader, path("quotes", i+1), emulator.Job(emulator.Step(1, 1000)))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, entry, d.leader())
		d.awaitState(entry, path("quotes", 1), "completed", 3*time.Second)
		<-oldLeader.done
		require.Less(t, time.Since(stopped), 6*time.Second)
		d.checkNoDuplicateRuns()
	})
}
