package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestStartWindow guards against start orders that pile up in a leader whose link or processors carry no more, and against a window that
// workers without answers close for all others.
func TestStartWindow(t *testing.T) {
	tests := map[string]struct {
		slowShare int // of ten answers
		grows     bool
	}{
		"all fast": {0, true}, "one worker hangs": {1, true}, "half of the answers are missing": {6, true}, "link is full": {10, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			window := newStartWindow()
			for i := range 100 {
				took := 5 * time.Millisecond
				if i%10 < test.slowShare {
					took = 500 * time.Millisecond
				}
				window.take(2 * maxStartWindow)
				window.inFlight = 1
				window.finish(took, time.Duration(i)*50*time.Millisecond)
			}
			require.Equal(t, test.grows, window.size > initialStartWindow)
			require.Zero(t, window.inFlight)
		})
	}
}

// TestFullLink replays a link that carries 40 start orders a second while 800 tasks arrive at once: orders must not queue longer than they
// may take, since they are sent again then, and the reports of ended runs wait behind them.
func TestFullLink(t *testing.T) {
	const (
		perSecond = 40
		timeout   = 500 * time.Millisecond
	)
	scheduler, eventLog := newScheduler()
	workers := []acaciatally.Worker{}
	for i := range 100 {
		workers = append(workers, testWorker(i+1))
	}
	reportIdle(scheduler, workers...)
	for i := range 100 {
		loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", i)), 0, testStep(8, 1000))
	}
	var link []Order
	timeouts := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Second / perSecond {
		for _, w := range workers {
			scheduler.Report(w.ID, runningReport(scheduler, w, now), now, now)
		}
		scheduler.Plan(now, time.UnixMilli(0))
		commitAll(scheduler, now)
		link = append(link, scheduler.Orders(now)...)
		if len(link) == 0 {
			continue
		}
		order := link[0]
		link = link[1:]
		if now > order.sentAt+timeout && now > 4*time.Second {
			timeouts++
		}
		scheduler.OrderResult(order, nil, now)
	}
	require.Zero(t, timeouts, "the window has fitted the link after four seconds")
	require.Zero(t, eventLog.counts["WorkerChanged quarantined: starts not confirmed"])
}

// TestSilentWorkers replays a fleet in which every second start order gets no answer, with room for all tasks. What the workers do not answer
// must not hold back the starts on the others, and callers must not be refused for it.
func TestSilentWorkers(t *testing.T) {
	const (
		timeout  = 500 * time.Millisecond
		interval = 10 * time.Millisecond
		duration = 6 * time.Second
	)
	scheduler, _ := newScheduler()
	workers := []acaciatally.Worker{}
	for i := range 200 {
		workers = append(workers, testWorker(i+1))
	}
	reportIdle(scheduler, workers...)
	var silent []Order
	loaded, started := 0, 0
	for now := time.Duration(0); now < duration; now += interval {
		if loaded < int(now.Seconds()*25) {
			loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", loaded)), now, testStep(8, 1000))
			loaded++
		}
		for _, w := range workers {
			scheduler.Report(w.ID, runningReport(scheduler, w, now), now, now)
		}
		for len(silent) > 0 && now >= silent[0].sentAt+timeout {
			scheduler.OrderResult(silent[0], acaciatally.ErrUnknownOutcome, now)
			silent = silent[1:]
		}
		scheduler.Plan(now, time.UnixMilli(0))
		commitAll(scheduler, now)
		for i, order := range scheduler.Orders(now) {
			if i%2 == 0 {
				silent = append(silent, order)
				continue
			}
			started++
			scheduler.OrderResult(order, nil, now)
		}
		require.Zero(t, scheduler.StartDelay(now), "callers would be refused at %v", now)
	}
	require.Greater(t, started, loaded*8*8/10)
}

// runningReport returns a report of a worker that runs what was started on it.
func runningReport(scheduler *Scheduler, w acaciatally.Worker, now time.Duration) acaciatally.WorkerReport {
	report := acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}
	for run := range scheduler.workers[w.ID].runs {
		if run.stage == stageRunning {
			report.Running = append(report.Running, acaciatally.RunningTask{Task: run.ref, Attempt: run.attempt, Percent: int(now / time.Second)})
		}
	}
	return report
}

// TestUnsentStart guards against quarantining a worker because the leader could not send an order, which took most workers out of use
// while the leader's link was full.
func TestUnsentStart(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2))
	loadJob(scheduler, "aa", 0, testStep(1, 1000))
	scheduler.Plan(0, time.UnixMilli(0))
	commitAll(scheduler, 0)
	order := scheduler.Orders(0)[0]
	scheduler.OrderResult(order, fmt.Errorf("%w: %w", acaciatally.ErrUnavailable, acaciatally.ErrNotSent), 0)
	require.True(t, scheduler.workers[order.Worker.ID].health.admits(1, 0))
	again := startDue(scheduler, 0)
	require.Len(t, again, 1)
	require.NotEqual(t, order.Worker.ID, again[0].Worker.ID, "the task is tried on another worker first")
}

// TestLongRunningOnUnhealthyWorker guards against a task that has to run at all times waiting for as long as every worker with room is
// quarantined.
func TestLongRunningOnUnhealthyWorker(t *testing.T) {
	tests := map[string]struct{ isLongRunning, placed bool }{"long-running": {true, true}, "other": {false, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			reportIdle(scheduler, testWorker(1))
			scheduler.quarantine(scheduler.workers["i-1"], "test", 0)
			step := testStep(1, 1000)
			step.LongRunning = test.isLongRunning
			loadJob(scheduler, "aa", 0, step)
			require.Equal(t, test.placed, len(startDue(scheduler, 0)) == 1)
		})
	}
}
