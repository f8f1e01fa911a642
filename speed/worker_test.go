package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// round is the time between two assessments of a trial.
const round = 100 * time.Millisecond

// trial is a pool of workers that run tasks of one kind, each of another job.
type trial struct {
	workers []*Worker
	kind    Kind
	jobs    int
	changes int // of Slow, of all workers
}

func newTrial(workers int) *trial {
	t := &trial{}
	for range workers {
		t.workers = append(t.workers, &Worker{})
	}
	return t
}

// end lets one run of a job end on a worker.
func (t *trial) end(worker, job int, runTime, estimate, now time.Duration) {
	w := t.workers[worker]
	task := acaciatally.TaskRef{Job: acaciatally.JobID(fmt.Sprint(job)), Index: worker}
	if difference, variance, known := t.kind.Compare(runTime, estimate); known {
		w.ObserveEnd(task, difference, variance, now)
	}
	t.kind.Observe(runTime, estimate, w.Slowness())
}

// run lets a run of another job end on each worker in each round, and assesses the workers.
func (t *trial) run(from, until time.Duration, runTime func(worker int) (runTime, estimate time.Duration)) {
	for now := from; now < until; now += round {
		for worker := range t.workers {
			t.jobs++
			actual, estimate := runTime(worker)
			t.end(worker, t.jobs, actual, estimate, now)
		}
		t.changes += len(Assess(t.workers, now))
	}
}

func (t *trial) slow() (numbers []int) {
	for number, w := range t.workers {
		if w.Slow() {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// slowTimes returns run times of about one second, five times as long on the workers below the number.
func slowTimes(slow int) func(int) (time.Duration, time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	return func(worker int) (time.Duration, time.Duration) {
		runTime := time.Duration(float64(time.Second) * (0.5 + random.Float64()))
		if worker < slow {
			runTime *= 5
		}
		return runTime, time.Second
	}
}

// TestSlowWorkers guards against slow workers that are not found, or are slow for good when they are fast again.
func TestSlowWorkers(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	require.Empty(t, trial.slow())
	trial.run(10*time.Second, 12*time.Second, slowTimes(3))
	require.Equal(t, []int{0, 1, 2}, trial.slow())
	require.InDelta(t, 5, trial.workers[0].Factor(), 1.5)
	trial.run(12*time.Second, 20*time.Second, slowTimes(0))
	require.Empty(t, trial.slow())
	require.Equal(t, 6, trial.changes)
}

// TestSlowPool guards against a pool that is slow as a whole and whose workers are all avoided, or in turn.
func TestSlowPool(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	for _, w := range trial.workers {
		w.samples = nil
		observeRunning(w, 6, math.Log(5), 11*time.Second)
	}
	require.Empty(t, Assess(trial.workers, 11*time.Second))
	trial.run(11*time.Second, 30*time.Second, slowTimes(10))
	require.Zero(t, trial.changes)
}

// TestNoSlowWorkerByChance guards against workers that are taken for slow because they happened to get long tasks or wrong estimates: in a fleet
// of 350 workers some get several in a row.
func TestNoSlowWorkerByChance(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	tests := map[string]func(int) (time.Duration, time.Duration){
		"even": func(int) (time.Duration, time.Duration) {
			return time.Duration(900+random.IntN(200)) * time.Millisecond, 0
		},
		"uniform": slowTimes(0),
		"heavy-tailed": func(int) (time.Duration, time.Duration) {
			return time.Duration(float64(time.Second) * math.Exp(random.NormFloat64())), time.Second
		},
		"wrong estimates": func(int) (time.Duration, time.Duration) {
			return time.Second, time.Duration(float64(time.Second) * math.Exp(1.6*(2*random.Float64()-1)))
		},
		"right estimates of uneven jobs": func(int) (time.Duration, time.Duration) {
			estimate := time.Duration(float64(time.Second) * math.Exp(2*random.NormFloat64()))
			return time.Duration(float64(estimate) * (0.8 + 0.4*random.Float64())), estimate
		},
	}
	for name, runTime := range tests {
		t.Run(name, func(t *testing.T) {
			trial := newTrial(350)
			trial.run(0, 30*time.Second, runTime)
			require.Empty(t, trial.slow())
			require.Zero(t, trial.changes)
		})
	}
}

// TestLongJobIsNoSlowWorker guards against a worker that is taken for slow because all tasks of one job with a wrong estimate run on it.
func TestLongJobIsNoSlowWorker(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	trial.workers[0].samples = nil
	for index := range 16 {
		trial.workers[0].ObservePace(acaciatally.TaskRef{Job: "long", Step: index % 4, Index: index}, math.Log(10), 0.1, 10*time.Second)
	}
	require.Empty(t, Assess(trial.workers, 10*time.Second))
}

// TestPaceOfRunningRuns guards against a worker that is found slow only when its runs end.
func TestPaceOfRunningRuns(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	w := trial.workers[0]
	observeRunning(w, 4, math.Log(5), 11*time.Second)
	require.Equal(t, []*Worker{w}, Assess(trial.workers, 11*time.Second))
}

// TestLongRunsAreLeft guards against a worker that is taken for slow because its short runs have ended and long ones go on, each as slowly as before.
func TestLongRunsAreLeft(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	w := trial.workers[0]
	w.samples = nil
	for job := range 9 {
		w.ObserveEnd(acaciatally.TaskRef{Job: acaciatally.JobID(fmt.Sprint("short-", job))}, -0.5, 0.1, 10*time.Second)
	}
	for now := 10 * time.Second; now < 30*time.Second; now += round {
		observeRunning(w, 3, 1.5, now)
		require.Empty(t, Assess(trial.workers, now))
	}
}

// TestLongRunsSlowDown guards against a worker that becomes slow and is not noticed, because its runs are old.
func TestLongRunsSlowDown(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	w := trial.workers[0]
	w.samples = nil
	for now := 10 * time.Second; now < 40*time.Second; now += round {
		observeRunning(w, 4, 0, now)
		require.Empty(t, Assess(trial.workers, now))
	}
	observeRunning(w, 4, math.Log(5), 40*time.Second)
	require.Equal(t, []*Worker{w}, Assess(trial.workers, 40*time.Second))
}

// observeRunning adds a report of running runs, each of another job, to what is known of the worker.
func observeRunning(w *Worker, jobs int, difference float64, now time.Duration) {
	w.BeginReport()
	for job := range jobs {
		w.ObservePace(acaciatally.TaskRef{Job: acaciatally.JobID(fmt.Sprint("running-", job))}, difference, 0.1, now)
	}
}

// TestTrialOfSlowWorker guards against a worker that is avoided for good, since a worker without runs can't show that it is fast again, and against
// one that gets runs every few seconds although it stays slow.
func TestTrialOfSlowWorker(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 10*time.Second, slowTimes(0))
	trial.run(10*time.Second, 12*time.Second, slowTimes(1))
	w := trial.workers[0]
	require.True(t, w.Avoided(12*time.Second))
	var tried []time.Duration // when trials began
	avoided := true
	for now := 12 * time.Second; now < time.Minute; now += round {
		if avoids := w.Avoided(now); avoids != avoided {
			avoided = avoids
			if !avoids {
				tried = append(tried, now)
			}
		}
		if !avoided {
			trial.jobs++
			trial.end(0, trial.jobs, 5*time.Second, time.Second, now)
		}
		Assess(trial.workers, now)
	}
	require.True(t, w.Slow())
	require.Len(t, tried, 3)
	require.Greater(t, tried[2]-tried[1], 15*time.Second)
	now := w.lastObserved() + forgetTime + round
	require.Equal(t, []*Worker{w}, Assess(trial.workers, now))
	require.False(t, w.Slow())
}

// TestBoundedMemory guards against memory that grows with the number of runs.
func TestBoundedMemory(t *testing.T) {
	trial := newTrial(2)
	trial.run(0, time.Minute, slowTimes(1))
	require.Len(t, trial.workers[0].samples, maxJobs)
}

// BenchmarkAssess measures the assessment of 350 workers in 5 pools with evidence, which takes place ten times a second.
func BenchmarkAssess(b *testing.B) {
	var pools []*trial
	for range 5 {
		pool := newTrial(70)
		pool.run(0, 3*time.Second, slowTimes(5))
		pools = append(pools, pool)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, pool := range pools {
			Assess(pool.workers, 3*time.Second)
		}
	}
}
