package dispatch

import (
	"testing"
	"time"

	"github.com/acaciatally/acaciatally"
)

// BenchmarkPace measures a report of a worker with 16 runs, with and without what is learned from their pace.
func BenchmarkPace(b *testing.B) {
	for name, disabled := range map[string]bool{"learned": false, "disabled": true} {
		b.Run(name, func(b *testing.B) {
			scheduler, now := fullPools(0)
			scheduler.speeds.disabled = disabled
			w := scheduler.workers["i-1"]
			report := acaciatally.WorkerReport{StartTime: w.startTime}
			for t := range w.runs {
				t.stage, t.startSentAt, t.confirmedAt = stageRunning, now, now
				report.Running = append(report.Running, acaciatally.RunningTask{Task: t.ref, Attempt: t.attempt, Percent: 10})
				kind := scheduler.speeds.kind(t)
				for range 10 {
					kind.Observe(time.Second, time.Second, 0)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				report.Clock = now
				scheduler.Report("i-1", report, now, now)
			}
		})
	}
}

// BenchmarkAssessSpeeds measures the assessment of 350 workers that each have runs of 12 jobs, which takes place once per checkInterval.
func BenchmarkAssessSpeeds(b *testing.B) {
	scheduler, now := fullPools(0)
	for _, w := range scheduler.workers {
		for i := range 12 {
			w.speed.ObserveEnd(acaciatally.TaskRef{Occurrence: i}, 0, speedVariance, now)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		scheduler.assessSpeeds(now)
	}
}

// speedVariance is the variance of run times that are evenly distributed between 0.5 and 1.5 times their mean.
const speedVariance = 0.1
