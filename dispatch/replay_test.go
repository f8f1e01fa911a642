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
	replayStep  = 20 * time.Millisecond
	replayDrain = 10 * time.Second // after the last arrival
	replayMean  = 800 * time.Millisecond
	replayTasks = 4 // of each step
)

// replay plays a load on a machine whose orders and records take effect at once: jobs of one or two steps that arrive at a rate, for a time.
type replay struct {
	machine   *Machine
	random    *rand.Rand
	workers   []acaciatally.Worker
	runs      map[acaciatally.WorkerID][]replayedRun
	ends      map[acaciatally.WorkerID]uint64 // counted by each worker
	took      map[acaciatally.TaskRef]time.Duration
	dueBy     map[acaciatally.JobID]time.Duration
	submitted int
	inTime    int
}

type replayedRun struct {
	task    acaciatally.TaskRef
	attempt int
	until   time.Duration
}

func newReplay(t *testing.T, workers int) *replay {
	t.Helper()
	m, _ := newMachine()
	r := &replay{
		machine: m, random: rand.New(rand.NewPCG(1, 2)), runs: map[acaciatally.WorkerID][]replayedRun{},
		ends: map[acaciatally.WorkerID]uint64{}, took: map[acaciatally.TaskRef]time.Duration{}, dueBy: map[acaciatally.JobID]time.Duration{},
	}
	for i := range workers {
		r.workers = append(r.workers, workerOf(i+1))
	}
	ready(m, r.workers...)
	return r
}

// play returns the share of the jobs that were done in the time allowed.
func (r *replay) play(perSecond int, lasts time.Duration) float64 {
	for now := time.Duration(0); now < lasts+replayDrain; now += replayStep {
		for now < lasts && r.submitted < int(now.Seconds()*float64(perSecond)) {
			r.submit(now)
		}
		for _, w := range r.workers {
			r.machine.Report(w.ID, r.report(w, now), now, now)
		}
		r.count(now)
		for _, order := range started(r.machine, now) {
			id, task := order.Worker.ID, order.Start.Task
			r.runs[id] = append(r.runs[id], replayedRun{task, order.Start.Attempt, now + r.took[task]})
		}
	}
	return float64(r.inTime) / float64(r.submitted)
}

// submit hands in a job; each other one has a second step.
func (r *replay) submit(now time.Duration) {
	id := acaciatally.JobID(fmt.Sprintf("%08x", r.submitted))
	steps := []acaciatally.Step{oneStep(replayTasks, 1000)}
	if r.submitted%2 == 0 {
		second := oneStep(replayTasks, 1000)
		second.After = []int{0}
		steps = append(steps, second)
	}
	r.dueBy[id] = now + 600*time.Millisecond
	for step := range steps {
		longest := time.Duration(0)
		for index := range replayTasks {
			took := time.Duration(float64(replayMean) * (0.5 + r.random.Float64()))
			r.took[acaciatally.TaskRef{Job: id, Step: step, Index: index}] = took
			longest = max(longest, took)
		}
		r.dueBy[id] += time.Duration(1.6 * float64(longest))
	}
	submit(r.machine, id, now, steps...)
	r.submitted++
}

// report returns what a worker tells at the time.
func (r *replay) report(w acaciatally.Worker, now time.Duration) acaciatally.WorkerReport {
	report := acaciatally.WorkerReport{Clock: now, Born: w.Born}
	left := r.runs[w.ID][:0]
	for _, run := range r.runs[w.ID] {
		if run.until > now {
			left = append(left, run)
			report.Running = append(report.Running, acaciatally.RunningTask{Task: run.task, Attempt: run.attempt, Percent: 50})
			continue
		}
		r.ends[w.ID]++
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: r.ends[w.ID], Task: run.task, Attempt: run.attempt, End: acaciatally.EndDone,
		})
	}
	r.runs[w.ID] = left
	return report
}

// count counts the jobs that have just been completed in time.
func (r *replay) count(now time.Duration) {
	for id, j := range r.machine.jobs {
		if j.state == acaciatally.JobCompleted && j.endedAt == 0 && now <= r.dueBy[id] {
			r.inTime++
		}
	}
}

// TestOverload guards against a backlog in which every job is begun at the last moment and so is late: what the workers can do has to be
// of use. Each load is replayed with what it asks of the workers, as a factor of what they can do.
func TestOverload(t *testing.T) {
	const workers, places = 10, 8
	perSecond := workers * places / (1.5 * replayTasks * replayMean.Seconds()) // jobs have 1.5 steps on average
	tests := map[string]struct {
		factor float64
		inTime float64
	}{
		"calm": {0.7, 0.95}, "half more than fits": {1.5, 0.5}, "twice what fits": {2, 0.4}, "three times": {3, 0.25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			share := newReplay(t, workers).play(int(test.factor*perSecond), 10*time.Second)
			require.GreaterOrEqual(t, share, test.inTime)
		})
	}
}
