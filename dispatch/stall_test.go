package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// stallTrial runs one task in a pool whose workers report the progress of its runs in whole percents.
type stallTrial struct {
	scheduler      *Scheduler
	workers        []acaciatally.Worker
	timePerPercent func(worker acaciatally.WorkerID) time.Duration // 0 is a worker on which runs stand still
	run            Order
	startedAt      time.Duration
	running        bool
	starts, stops  int
	endNumbers     map[acaciatally.WorkerID]uint64
}

// round carries out the orders that are due and lets each worker report.
func (r *stallTrial) round(now time.Duration) {
	r.scheduler.Plan(now, time.UnixMilli(0))
	commitAll(r.scheduler, now)
	stopped := false
	for _, order := range r.scheduler.Orders(now) {
		switch order.Kind {
		case OrderStart:
			r.run, r.startedAt, r.running = order, now, true
			r.starts++
		case OrderStop:
			stopped = true
			r.stops++
		}
		r.scheduler.OrderResult(order, nil, now)
	}
	for _, w := range r.workers {
		report := acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}
		task, attempt := r.run.Start.Task, r.run.Start.Attempt
		switch {
		case r.run.Worker.ID != w.ID:
		case stopped:
			r.endNumbers[w.ID]++
			r.running = false
			report.Ended = []acaciatally.EndedTask{{Number: r.endNumbers[w.ID], Task: task, Attempt: attempt, End: acaciatally.EndStopped}}
		case r.running:
			report.Running = []acaciatally.RunningTask{{Task: task, Attempt: attempt, Percent: r.percent(now)}}
		}
		r.scheduler.Report(w.ID, report, now, now)
	}
}

func (r *stallTrial) percent(now time.Duration) int {
	perPercent := r.timePerPercent(r.run.Worker.ID)
	if perPercent == 0 {
		return 0
	}
	return min(fullPercent, int((now-r.startedAt)/perPercent))
}

// TestLongRunIsNotStalled guards against stopping a sound run of some minutes as one that stands still, because its progress is reported in whole
// percents; it was started again without end, and its workers got nothing new meanwhile. A run that stands still must be stopped soon.
func TestLongRunIsNotStalled(t *testing.T) {
	const (
		watched  = 2 * time.Minute
		interval = 500 * time.Millisecond // between two reports
	)
	allAt := func(perPercent time.Duration) func(acaciatally.WorkerID) time.Duration {
		return func(acaciatally.WorkerID) time.Duration { return perPercent }
	}
	tests := map[string]struct {
		estimate          time.Duration
		timePerPercent    func(acaciatally.WorkerID) time.Duration
		minStops, maxStop int
		lastsFor          time.Duration // of the last run at the end
	}{
		"some seconds":                        {5 * time.Second, allAt(50 * time.Millisecond), 0, 0, watched - interval},
		"five minutes":                        {5 * time.Minute, allAt(3 * time.Second), 0, 0, watched - interval},
		"ten minutes, a quarter of the speed": {10 * time.Minute, allAt(24 * time.Second), 0, 0, watched - interval},
		"five minutes, estimate 1 s":          {time.Second, allAt(3 * time.Second), 1, 2, watched - 10*time.Second},
		"thirty minutes, estimate 1 s":        {time.Second, allAt(18 * time.Second), 1, 4, watched - 40*time.Second},
		"stands still on one worker": {time.Second, func(id acaciatally.WorkerID) time.Duration {
			if id == "i-1" {
				return 0
			}
			return 10 * time.Millisecond
		}, 1, 1, watched - 4*time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			workers := []acaciatally.Worker{testWorker(1), testWorker(2), testWorker(3)}
			reportIdle(scheduler, workers...)
			step := testStep(1, 1000)
			step.Estimate = test.estimate
			loadJob(scheduler, "aa", 0, step)
			trial := &stallTrial{
				scheduler: scheduler, workers: workers, timePerPercent: test.timePerPercent, endNumbers: map[acaciatally.WorkerID]uint64{},
			}
			for now := time.Duration(0); now < watched; now += interval {
				trial.round(now)
			}
			require.GreaterOrEqual(t, trial.stops, test.minStops)
			require.LessOrEqual(t, trial.stops, test.maxStop)
			require.Equal(t, trial.stops+1, trial.starts)
			require.GreaterOrEqual(t, watched-trial.startedAt, test.lastsFor)
		})
	}
}
