package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// interferenceSimulation runs a scheduler whose tasks with the image "victim" run slower beside tasks with the image "aggressor".
type interferenceSimulation struct {
	scheduler   *Scheduler
	eventLog    *countingEventLog
	random      *rand.Rand
	now         time.Duration
	workers     []acaciatally.Worker
	runs        map[acaciatally.WorkerID][]*interferenceRun
	endNumbers  map[acaciatally.WorkerID]uint64
	factor      float64
	perSecond   int
	submitted   int
	victimTime  time.Duration // run time of victims
	besideTime  time.Duration // the part of it beside an aggressor
	victimsDone int
}

type interferenceRun struct {
	order acaciatally.StartOrder
	image string
	work  float64 // left, in seconds
}

var simulatedImages = []string{"victim", "aggressor", "other-1", "other-2", "other-3"}

func interferenceScheduler(mode interference.Mode) (*Scheduler, *countingEventLog) {
	eventLog := &countingEventLog{counts: map[string]int{}}
	scheduler := New(Config{
		Epoch: 1, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, EventLog: eventLog, Interference: mode,
	})
	scheduler.PartitionClaimed("quotes", 1)
	return scheduler, eventLog
}

func newInterferenceSimulation(mode interference.Mode, workers int, factor float64) *interferenceSimulation {
	s := &interferenceSimulation{
		random: rand.New(rand.NewPCG(1, 2)), runs: map[acaciatally.WorkerID][]*interferenceRun{}, endNumbers: map[acaciatally.WorkerID]uint64{},
		factor: factor, perSecond: 4 * workers,
	}
	s.scheduler, s.eventLog = interferenceScheduler(mode)
	for i := range workers {
		s.workers = append(s.workers, testWorker(i+1))
	}
	reportIdle(s.scheduler, s.workers...)
	return s
}

func imageStep(image string) acaciatally.Step {
	step := testStep(1, 1000)
	step.Image = image
	return step
}

// run simulates a time.
func (s *interferenceSimulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += simulationStep {
		for range s.perSecond {
			if s.random.Float64() < simulationStep.Seconds() {
				loadJob(s.scheduler, acaciatally.JobID(fmt.Sprintf("%08x", s.submitted)), s.now, imageStep(simulatedImages[s.random.IntN(len(simulatedImages))]))
				s.submitted++
			}
		}
		for _, w := range s.workers {
			s.scheduler.Report(w.ID, s.report(w), s.now, s.now)
		}
		for _, order := range startDue(s.scheduler, s.now) {
			step := s.scheduler.findTask(order.Start.Task).step
			s.runs[order.Worker.ID] = append(s.runs[order.Worker.ID], &interferenceRun{
				order.Start, step.Image, 0.8 * math.Exp(0.3*s.random.NormFloat64()),
			})
		}
	}
}

// report advances the runs of a worker by one step and returns its report.
func (s *interferenceSimulation) report(w acaciatally.Worker) acaciatally.WorkerReport {
	report := acaciatally.WorkerReport{Clock: s.now, StartTime: w.StartTime}
	beside := false
	for _, run := range s.runs[w.ID] {
		beside = beside || run.image == "aggressor"
	}
	var left []*interferenceRun
	for _, run := range s.runs[w.ID] {
		progress := simulationStep.Seconds()
		if run.image == "victim" {
			s.victimTime += simulationStep
			if beside {
				s.besideTime += simulationStep
				progress /= s.factor
			}
		}
		if run.work -= progress; run.work > 0 {
			left = append(left, run)
			report.Running = append(report.Running, acaciatally.RunningTask{Task: run.order.Task, Attempt: run.order.Attempt, Percent: 50})
			continue
		}
		if run.image == "victim" {
			s.victimsDone++
		}
		s.endNumbers[w.ID]++
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: s.endNumbers[w.ID], Task: run.order.Task, Attempt: run.order.Attempt, End: acaciatally.EndDone,
		})
	}
	s.runs[w.ID] = left
	return report
}

// besideShare simulates a time and returns the share of the victims' run time beside an aggressor.
func (s *interferenceSimulation) besideShare(duration time.Duration) float64 {
	s.victimTime, s.besideTime = 0, 0
	s.run(duration)
	return s.besideTime.Seconds() / s.victimTime.Seconds()
}

const (
	verdictFound = "InterferenceChanged victim aggressor true"
	// maxVictimRuns is the number of the victim's runs within which a factor of 2 is found.
	maxVictimRuns = 500
)

// TestInterferenceAvoided guards against interference that is not found, or that is known and has no effect on placement though there is room; and against
// an effect on placement that was not asked for.
func TestInterferenceAvoided(t *testing.T) {
	for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeObserve, interference.ModeAvoid} {
		t.Run(string(mode), func(t *testing.T) {
			s := newInterferenceSimulation(mode, 10, 2)
			for s.victimsDone < maxVictimRuns {
				s.run(time.Second)
			}
			share := s.besideShare(20 * time.Second)
			if mode == interference.ModeOff {
				require.Zero(t, s.eventLog.counts[verdictFound])
				require.Zero(t, s.eventLog.counts["InterferenceMeasured"])
				require.Greater(t, share, 0.5)
				return
			}
			require.Equal(t, 1, s.eventLog.counts[verdictFound])
			require.Equal(t, 1, s.scheduler.interference.detector.Verdicts(), "no other kinds are blamed")
			if mode == interference.ModeObserve {
				require.Greater(t, share, 0.5)
				return
			}
			require.Less(t, share, 0.1)
		})
	}
}

// TestNoInterferenceFound guards against a verdict without a cause, from the way in which runs are placed and observed.
func TestNoInterferenceFound(t *testing.T) {
	s := newInterferenceSimulation(interference.ModeAvoid, 10, 1)
	s.run(time.Minute)
	require.Zero(t, s.scheduler.interference.detector.Stats().Verdicts)
	require.Greater(t, s.scheduler.interference.detector.Stats().Observations, 2000)
}

// knownInterference returns a scheduler that keeps the images "victim" and "aggressor" apart, with idle workers.
func knownInterference(t *testing.T, mode interference.Mode, workers ...acaciatally.Worker) *Scheduler {
	t.Helper()
	scheduler, _ := interferenceScheduler(mode)
	scheduler.LoadInterference(knownRecord(), 7, time.Minute, 0)
	require.Equal(t, 1, scheduler.interference.detector.Verdicts())
	reportIdle(scheduler, workers...)
	return scheduler
}

func knownRecord() interference.Record {
	return interference.Record{At: time.Minute, Verdicts: []interference.Verdict{{
		Victim: interference.Kind{Image: "victim"}, Aggressor: interference.Kind{Image: "aggressor"}, Factor: 2, Weight: 50, Variance: 0.2, Samples: 80,
	}}}
}

// placeOne loads a job with one step and returns the workers on which its tasks are started.
func placeOne(scheduler *Scheduler, id acaciatally.JobID, step acaciatally.Step) (workers []acaciatally.WorkerID) {
	loadJob(scheduler, id, 0, step)
	for _, order := range startDue(scheduler, 0) {
		workers = append(workers, order.Worker.ID)
	}
	return workers
}

// TestConflictPreference guards against a preference for workers without a conflicting kind that holds in one direction only, that ranks before other rules,
// or that leaves a task waiting.
func TestConflictPreference(t *testing.T) {
	farWorker := testWorker(2)
	farWorker.Rack = "r-2"
	full := testWorker(2)
	full.Capacity.Processors = 500
	large := testWorker(2)
	large.Capacity.Processors = 16_000 // packing prefers the smaller one
	change := func(image string, change func(step *acaciatally.Step)) acaciatally.Step {
		step := imageStep(image)
		change(&step)
		return step
	}
	near := change("victim", func(step *acaciatally.Step) { step.NearRack = "r-1" })
	tests := map[string]struct {
		mode          interference.Mode
		first, second acaciatally.Step
		other         acaciatally.Worker
		want          acaciatally.WorkerID
	}{
		"victim after aggressor":          {interference.ModeAvoid, imageStep("aggressor"), imageStep("victim"), large, "i-2"},
		"aggressor after victim":          {interference.ModeAvoid, imageStep("victim"), imageStep("aggressor"), large, "i-2"},
		"unrelated kind":                  {interference.ModeAvoid, imageStep("aggressor"), imageStep("other"), large, "i-1"},
		"same kind":                       {interference.ModeAvoid, imageStep("victim"), imageStep("victim"), large, "i-1"},
		"only observed":                   {interference.ModeObserve, imageStep("aggressor"), imageStep("victim"), large, "i-1"},
		"no room elsewhere":               {interference.ModeAvoid, imageStep("aggressor"), imageStep("victim"), full, "i-1"},
		"data in the aggressor's rack":    {interference.ModeAvoid, imageStep("aggressor"), near, farWorker, "i-1"},
		"long-running aggressor":          {interference.ModeAvoid, change("aggressor", func(step *acaciatally.Step) { step.LongRunning = true }), imageStep("victim"), large, "i-2"},
		"long-running tasks are together": {interference.ModeAvoid, change("aggressor", func(step *acaciatally.Step) { step.LongRunning = true }), change("victim", func(step *acaciatally.Step) { step.LongRunning = true }), large, "i-2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler := knownInterference(t, test.mode, testWorker(1))
			require.Equal(t, []acaciatally.WorkerID{"i-1"}, placeOne(scheduler, "aa", test.first))
			scheduler.SetDirectory([]acaciatally.Worker{testWorker(1), test.other}, 0)
			scheduler.Report("i-2", acaciatally.WorkerReport{StartTime: test.other.StartTime}, 0, 0)
			require.Equal(t, []acaciatally.WorkerID{test.want}, placeOne(scheduler, "bb", test.second))
		})
	}
}

// TestConflictNeverWaits guards against a task that is not placed because only workers with a conflicting kind have room.
func TestConflictNeverWaits(t *testing.T) {
	scheduler := knownInterference(t, interference.ModeAvoid, testWorker(1), testWorker(2))
	step := imageStep("aggressor")
	step.Count = 12
	require.Len(t, placeOne(scheduler, "aa", step), 12)
	step = imageStep("victim")
	step.Count = 4
	require.Len(t, placeOne(scheduler, "bb", step), 4)
}

// TestRunsLeftOut guards against evidence of runs whose time says little about their worker: those whose start is not known, from a checkpoint, in
// gangs, in the background, and far from their data.
func TestRunsLeftOut(t *testing.T) {
	tests := map[string]struct {
		change  func(step *acaciatally.Step)
		prepare func(t *task)
		want    int
	}{
		"ordinary":     {func(*acaciatally.Step) {}, nil, 1},
		"checkpoint":   {func(*acaciatally.Step) {}, func(t *task) { t.checkpoint = "half" }, 0},
		"inherited":    {func(*acaciatally.Step) {}, func(t *task) { t.stage = stageInherited }, 0},
		"gang":         {func(step *acaciatally.Step) { step.Gang = true }, nil, 0},
		"backfill":     {func(step *acaciatally.Step) { step.Backfill = true }, nil, 0},
		"far":          {func(step *acaciatally.Step) { step.NearRack = "r-9" }, nil, 0},
		"start repeat": {func(*acaciatally.Step) {}, func(t *task) { t.startAttempts = 2 }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := interferenceScheduler(interference.ModeObserve)
			reportIdle(scheduler, testWorker(1))
			step := imageStep("victim")
			test.change(&step)
			loadJob(scheduler, "aa", 0, step)
			scheduler.Plan(0, time.UnixMilli(0))
			commitAll(scheduler, 0)
			require.Len(t, scheduler.Orders(0), 1)
			ref := acaciatally.TaskRef{Job: "aa"}
			run := scheduler.findTask(ref)
			if test.prepare != nil {
				test.prepare(run)
			}
			report := acaciatally.WorkerReport{StartTime: time.UnixMilli(1000), Running: []acaciatally.RunningTask{{Task: ref, Attempt: 1}}}
			scheduler.Report("i-1", report, 100*time.Millisecond, 100*time.Millisecond)
			report.Running, report.Ended = nil, []acaciatally.EndedTask{{Number: 1, Task: ref, Attempt: 1, End: acaciatally.EndDone}}
			scheduler.Report("i-1", report, time.Second, time.Second)
			require.Equal(t, test.want, scheduler.interference.detector.Stats().Observations)
		})
	}
}

// TestResponseTimes guards against interference with long-running tasks that is not noticed, since their runs do not end.
func TestResponseTimes(t *testing.T) {
	const workers = 8
	scheduler, eventLog := interferenceScheduler(interference.ModeObserve)
	var list []acaciatally.Worker
	for i := range workers {
		list = append(list, testWorker(i+1))
		list[i].Labels = []string{string(list[i].ID)}
	}
	reportIdle(scheduler, list...)
	random := rand.New(rand.NewPCG(1, 2))
	step := imageStep("service")
	step.Count, step.PerWorker, step.LongRunning, step.TailObjective = workers, 1, true, 100*time.Millisecond
	require.Len(t, placeOne(scheduler, "aa", step), workers)
	numbers, running := map[acaciatally.WorkerID]uint64{}, map[acaciatally.WorkerID]acaciatally.TaskRef{}
	for now := 500 * time.Millisecond; now < 2*time.Minute; now += 500 * time.Millisecond {
		for index := range workers {
			service := scheduler.findTask(acaciatally.TaskRef{Job: "aa", Index: index})
			id := service.workerID()
			latency := 20 * math.Exp(0.2*random.NormFloat64()) // ms
			report := acaciatally.WorkerReport{Clock: now, StartTime: time.UnixMilli(1000)}
			if other, found := running[id]; found {
				latency *= 2
				if random.Float64() < 0.1 {
					numbers[id]++
					report.Ended = []acaciatally.EndedTask{{Number: numbers[id], Task: other, Attempt: 1, End: acaciatally.EndDone}}
					delete(running, id)
				} else {
					report.Running = []acaciatally.RunningTask{{Task: other, Attempt: 1}}
				}
			}
			report.Running = append(report.Running, acaciatally.RunningTask{
				Task: service.ref, Attempt: 1, Percent: fullPercent, TailLatency: time.Duration(latency * float64(time.Millisecond)),
			})
			scheduler.Report(id, report, now, now)
		}
		if target := list[random.IntN(workers)].ID; len(running) < workers/2 && running[target] == (acaciatally.TaskRef{}) {
			other := imageStep("aggressor")
			other.Label = string(target)
			loadJob(scheduler, acaciatally.JobID(fmt.Sprintf("%08x", now.Milliseconds())), now, other)
		}
		for _, order := range startDue(scheduler, now) {
			running[order.Worker.ID] = order.Start.Task
		}
	}
	require.Equal(t, 1, eventLog.counts["InterferenceChanged service aggressor true"])
}
