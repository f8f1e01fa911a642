package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// TestConflictEnds guards against a worker that is still avoided after the conflicting run has ended or its worker was lost.
func TestConflictEnds(t *testing.T) {
	tests := map[string]func(scheduler *Scheduler, task acaciatally.TaskRef){
		"done": func(scheduler *Scheduler, task acaciatally.TaskRef) {
			scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: time.UnixMilli(1000), Ended: []acaciatally.EndedTask{
				{Number: 1, Task: task, Attempt: 1, End: acaciatally.EndDone},
			}}, time.Second, time.Second)
		},
		"job cancelled and run missing": func(scheduler *Scheduler, _ acaciatally.TaskRef) {
			scheduler.CancelJob("quotes", "aa")
			scheduler.Report("i-1", acaciatally.WorkerReport{StartTime: time.UnixMilli(1000)}, time.Second, time.Second)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler := knownInterference(t, interference.ModeAvoid, testWorker(1))
			require.Len(t, placeOne(scheduler, "aa", imageStep("aggressor")), 1)
			conflicts := scheduler.interference.detector.Conflicts(scheduler.interference.detector.Find(interference.Kind{Image: "victim"}))
			require.Equal(t, 1, scheduler.workers["i-1"].neighbours.count(conflicts))
			end(scheduler, acaciatally.TaskRef{Job: "aa"})
			require.Zero(t, scheduler.workers["i-1"].neighbours.count(conflicts))
			require.Zero(t, scheduler.workers["i-1"].neighbours.processors)
		})
	}
}

// TestKindsReleased guards against kinds that stay in use after their runs and workers are gone, so that new kinds are not tracked any more.
func TestKindsReleased(t *testing.T) {
	s := newInterferenceSimulation(interference.ModeObserve, 4, 1)
	s.run(3 * time.Second)
	s.scheduler.SetDirectory(s.workers[:2], s.now)
	s.scheduler.InstanceRemoved(s.workers[0].ID, s.now) // with its runs
	s.runs[s.workers[0].ID] = nil
	s.workers = s.workers[1:2]
	s.perSecond = 0
	s.run(5 * time.Second)
	s.scheduler.sweepInterference(s.now + presenceRetention + time.Second)
	require.Empty(t, s.runs[s.workers[0].ID])
	held := map[string]int{}
	for _, image := range simulatedImages {
		if references := s.scheduler.interference.detector.References(interference.Kind{Image: image}); references > 0 {
			held[image] = references
		}
	}
	assigned := 0
	for _, w := range s.scheduler.workers {
		assigned += len(w.runs)
	}
	require.Zero(t, assigned)
	require.Empty(t, held)
}

// TestObservedRun guards against wrong shares of time or load beside a run.
func TestObservedRun(t *testing.T) {
	tracker := newInterferenceTracker(interference.ModeObserve)
	n := tracker.newNeighbours()
	kind := func(image string) interference.KindID {
		return tracker.detector.Acquire(interference.Kind{Image: image})
	}
	victim, before, during, gone := kind("victim"), kind("before"), kind("during"), kind("gone")
	n.start(gone, 1000, 0)
	n.start(before, 2000, time.Second)
	n.end(gone, 1000, 3*time.Second)
	n.start(victim, 1000, 10*time.Second)
	var window presenceWindow
	window.reset(n, 10*time.Second)
	n.start(during, 4000, 11*time.Second)
	n.end(before, 2000, 12*time.Second)
	n.start(victim, 1000, 12*time.Second) // another task of its kind
	n.end(during, 4000, 13*time.Second)
	n.end(victim, 1000, 13*time.Second)
	processors, beside := window.neighbours(n, victim, nil, 14*time.Second)
	require.ElementsMatch(t, []interference.Presence{{Kind: before, Share: 0.5}, {Kind: during, Share: 0.5}, {Kind: victim, Share: 0.25}}, beside)
	require.InDelta(t, (4*1000+2*2000+2*4000+1000)/4.0, processors, 1)

	window.reset(n, 14*time.Second)
	n.prune(39 * time.Second)
	n.start(before, 2000, 39*time.Second) // it had run before, and its times are forgotten
	_, beside = window.neighbours(n, victim, nil, 54*time.Second)
	require.Equal(t, []interference.Presence{{Kind: before, Share: 0.375}}, beside)
}

// TestMoreKindsThanTracked guards against a crash or wrong counters once more kinds are running than the detector tracks.
func TestMoreKindsThanTracked(t *testing.T) {
	const kinds = interference.MaxKinds + 50
	scheduler, _ := interferenceScheduler(interference.ModeAvoid)
	w := testWorker(1)
	w.Capacity = acaciatally.ResourceVector{Processors: 1000 * kinds, Memory: 10 * kinds}
	reportIdle(scheduler, w)
	for i := range kinds {
		require.Len(t, placeOne(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", i)), imageStep(fmt.Sprint(i))), 1)
	}
	report := acaciatally.WorkerReport{StartTime: w.StartTime}
	for i := range kinds {
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: uint64(i + 1), Task: acaciatally.TaskRef{Job: acaciatally.JobID(fmt.Sprintf("%08x", i))}, Attempt: 1, End: acaciatally.EndDone,
		})
	}
	scheduler.Report("i-1", report, time.Second, time.Second)
	require.Equal(t, interference.MaxKinds, scheduler.interference.detector.Stats().Kinds)
	require.Equal(t, interference.MaxKinds, scheduler.interference.detector.Stats().Observations)
	require.Zero(t, scheduler.workers["i-1"].neighbours.processors)
	scheduler.sweepInterference(time.Second + presenceRetention + time.Second)
	require.Len(t, placeOne(scheduler, "new", imageStep("new")), 1)
	require.NotEqual(t, interference.NoKind, scheduler.interference.detector.Find(interference.Kind{Image: "new"}), "kinds that no longer run are replaced")
}
