package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// benchmarkFleet returns a scheduler with 350 workers, on which nothing runs, and images of which each conflicts with two others in the mode avoid.
func benchmarkFleet(mode interference.Mode, kinds int) (scheduler *Scheduler, image func(i int) string) {
	const workers = 350
	scheduler, _ = interferenceScheduler(mode)
	var record interference.Record
	image = func(i int) string { return fmt.Sprintf("image-%d", i%kinds) }
	for i := range kinds {
		record.Verdicts = append(record.Verdicts, interference.Verdict{
			Victim: interference.Kind{Image: image(i)}, Aggressor: interference.Kind{Image: image(i + 1)}, Factor: 2, Weight: 1e6, Variance: 0.2, Samples: 1e6,
		})
	}
	scheduler.LoadInterference(record, 1, 0, 0)
	var list []acaciatally.Worker
	for i := range workers {
		w := testWorker(i + 1)
		w.Labels = []string{string(w.ID)}
		w.Capacity = acaciatally.ResourceVector{Processors: 16_000, Memory: 64_000}
		list = append(list, w)
	}
	reportIdle(scheduler, list...)
	return scheduler, image
}

// BenchmarkCandidate measures the choice of a worker for one task, with 14 runs on each of 350 workers.
func BenchmarkCandidate(b *testing.B) {
	const kinds = 32
	for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeObserve, interference.ModeAvoid} {
		b.Run(string(mode), func(b *testing.B) {
			scheduler, image := benchmarkFleet(mode, kinds)
			for i := range 350 * 14 {
				step := imageStep(image(i * 7))
				step.Label = fmt.Sprintf("i-%d", i%350+1)
				loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", i)), 0, step)
			}
			startDue(scheduler, 0)
			loadJob(scheduler, "waiting", 0, imageStep(image(0)))
			scheduler.openDueOccurrences(scheduler.jobs["waiting"], 0, time.UnixMilli(0))
			set, waiting := scheduler.candidateSet(testPool, 0), scheduler.findTask(acaciatally.TaskRef{Job: "waiting"})
			for b.Loop() {
				scheduler.candidateFor(waiting, set, 0)
			}
		})
	}
}

// BenchmarkRound measures a round at the size of a large deployment, 350 workers with 14 runs each of 32 kinds, in which 20 runs end and as many tasks are
// placed. In the mode avoid, each kind conflicts with two others.
func BenchmarkRound(b *testing.B) {
	const workers, runsPerWorker, kinds, changes = 350, 14, 32, 20
	for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeObserve, interference.ModeAvoid} {
		b.Run(string(mode), func(b *testing.B) {
			scheduler, image := benchmarkFleet(mode, kinds)
			now, jobs := time.Duration(0), 0
			type run struct {
				worker acaciatally.WorkerID
				task   acaciatally.TaskRef
			}
			var running []run
			numbers := map[acaciatally.WorkerID]uint64{}
			start := func(count int) {
				for range count {
					loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", jobs)), now, imageStep(image(jobs)))
					jobs++
				}
				for _, order := range startDue(scheduler, now) {
					running = append(running, run{order.Worker.ID, order.Start.Task})
				}
			}
			for len(running) < workers*runsPerWorker {
				start(200)
			}
			b.ResetTimer()
			for b.Loop() {
				now += 50 * time.Millisecond
				for _, ended := range running[:changes] {
					numbers[ended.worker]++
					scheduler.Report(ended.worker, acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000), EndsIncomplete: true, Ended: []acaciatally.EndedTask{
						{Number: numbers[ended.worker], Task: ended.task, Attempt: 1, End: acaciatally.EndDone},
					}}, now, now)
				}
				running = running[changes:]
				for _, w := range scheduler.workers {
					w.reportedAt = now // the other workers report without a change
				}
				start(changes)
			}
		})
	}
}
