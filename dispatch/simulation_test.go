package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const (
	simulationStep  = 20 * time.Millisecond
	simulationDrain = 10 * time.Second // time after the last arrival
	meanRunTime     = 800 * time.Millisecond
	tasksPerStep    = 4
)

// simulation runs a scheduler under load, with orders and commits that take effect at once. Jobs of one or two steps arrive at a constant
// rate.
type simulation struct {
	scheduler  *Scheduler
	random     *rand.Rand
	workers    []acaciatally.Worker
	runs       map[acaciatally.WorkerID][]simulatedRun
	endNumbers map[acaciatally.WorkerID]uint64 // number of the last end, per worker
	runTimes   map[acaciatally.TaskRef]time.Duration
	dueBy      map[acaciatally.JobID]time.Duration
	submitted  int
	jobsInTime int
}

type simulatedRun struct {
	task    acaciatally.TaskRef
	attempt int
	endsAt  time.Duration
}

func newSimulation(t *testing.T, workers int) *simulation {
	t.Helper()
	scheduler, _ := newScheduler()
	s := &simulation{
		scheduler: scheduler, random: rand.New(rand.NewPCG(1, 2)), runs: map[acaciatally.WorkerID][]simulatedRun{},
		endNumbers: map[acaciatally.WorkerID]uint64{}, runTimes: map[acaciatally.TaskRef]time.Duration{}, dueBy: map[acaciatally.JobID]time.Duration{},
	}
	for i := range workers {
		s.workers = append(s.workers, testWorker(i+1))
	}
	reportIdle(scheduler, s.workers...)
	return s
}

// run returns the share of jobs that were completed within the allowed time.
func (s *simulation) run(perSecond int, duration time.Duration) float64 {
	for now := time.Duration(0); now < duration+simulationDrain; now += simulationStep {
		for now < duration && s.submitted < int(now.Seconds()*float64(perSecond)) {
			s.submit(now)
		}
		for _, w := range s.workers {
			s.scheduler.Report(w.ID, s.report(w, now), now, now)
		}
		s.countInTime(now)
		for _, order := range startDue(s.scheduler, now) {
			id, task := order.Worker.ID, order.Start.Task
			s.runs[id] = append(s.runs[id], simulatedRun{task, order.Start.Attempt, now + s.runTimes[task]})
		}
	}
	return float64(s.jobsInTime) / float64(s.submitted)
}

// submit loads a job; every second job has a second step.
func (s *simulation) submit(now time.Duration) {
	id := acaciatally.JobID(fmt.Sprintf("%08x", s.submitted))
	steps := []acaciatally.Step{testStep(tasksPerStep, 1000)}
	if s.submitted%2 == 0 {
		second := testStep(tasksPerStep, 1000)
		second.After = []int{0}
		steps = append(steps, second)
	}
	s.dueBy[id] = now + 600*time.Millisecond
	for step := range steps {
		longest := time.Duration(0)
		for index := range tasksPerStep {
			runTime := time.Duration(float64(meanRunTime) * (0.5 + s.random.Float64()))
			s.runTimes[acaciatally.TaskRef{Job: id, Step: step, Index: index}] = runTime
			longest = max(longest, runTime)
		}
		s.dueBy[id] += time.Duration(1.6 * float64(longest))
	}
	loadJob(s.scheduler, id, now, steps...)
	s.submitted++
}

// report returns the report of a worker at the given time.
func (s *simulation) report(w acaciatally.Worker, now time.Duration) acaciatally.WorkerReport {
	report := acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}
	left := s.runs[w.ID][:0]
	for _, run := range s.runs[w.ID] {
		if run.endsAt > now {
			left = append(left, run)
			report.Running = append(report.Running, acaciatally.RunningTask{Task: run.task, Attempt: run.attempt, Percent: 50})
			continue
		}
		s.endNumbers[w.ID]++
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: s.endNumbers[w.ID], Task: run.task, Attempt: run.attempt, End: acaciatally.EndDone,
		})
	}
	s.runs[w.ID] = left
	return report
}

// countInTime counts the jobs that have just been completed in time.
func (s *simulation) countInTime(now time.Duration) {
	for id, j := range s.scheduler.jobs {
		if j.state == acaciatally.JobCompleted && j.endRecordedAt == 0 && now <= s.dueBy[id] {
			s.jobsInTime++
		}
	}
}

// TestOverload guards against a backlog in which every job starts at the last moment and is late, so that the work of the workers is
// wasted. The load is a factor of the workers' capacity.
func TestOverload(t *testing.T) {
	const workers, slotsPerWorker = 10, 8
	perSecond := workers * slotsPerWorker / (1.5 * tasksPerStep * meanRunTime.Seconds()) // jobs have 1.5 steps on average
	tests := map[string]struct {
		loadFactor float64
		minInTime  float64
	}{
		"70%": {0.7, 0.95}, "150%": {1.5, 0.5}, "200%": {2, 0.4}, "300%": {3, 0.25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			share := newSimulation(t, workers).run(int(test.loadFactor*perSecond), 10*time.Second)
			require.GreaterOrEqual(t, share, test.minInTime)
		})
	}
}
