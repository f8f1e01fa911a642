package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/speed"
)

// speedTrial is a simulation in which runs take longer on some workers, or have skewed times, and in which workers report progress.
type speedTrial struct {
	*simulation
	factor    func(worker int, now time.Duration) float64 // factor on run times; nil is 1
	fails     func(worker int, id acaciatally.JobID) bool // whether a run fails, at half of its time; nil is never
	skew      float64                                     // standard deviation of the logarithm of run times; 0 is the usual even distribution
	jobSkew   float64                                     // the same for all tasks of a job
	wrong     bool                                        // callers' estimates are 0.2 to 5 times the real times
	started   []string                                    // task and worker of each run, in order
	runsOn    map[int]int                                 // runs started on each worker
	failed    int
	trialed   map[acaciatally.WorkerID][]*trialRun
	numbers   map[acaciatally.WorkerID]int // index in workers
	stepTimes []time.Duration              // run times of the tasks of each step, instead of random ones
	each      func(now time.Duration)      // called at each step of the simulation; may be nil
}

// trialRun is a run of a trial; done is the work done at the last step of the simulation.
type trialRun struct {
	order Order
	work  time.Duration
	done  time.Duration
	fails bool
}

func newSpeedTrial(t *testing.T) *speedTrial {
	t.Helper()
	trial := &speedTrial{
		simulation: newSimulation(t, trialWorkers), runsOn: map[int]int{},
		trialed: map[acaciatally.WorkerID][]*trialRun{}, numbers: map[acaciatally.WorkerID]int{},
	}
	for i, w := range trial.workers {
		trial.numbers[w.ID] = i
	}
	return trial
}

// run returns the share of jobs completed in time.
func (r *speedTrial) run(perSecond int, duration time.Duration) float64 {
	for now := simulationStep; now < duration+simulationDrain; now += simulationStep {
		for now < duration && r.submitted < int(now.Seconds()*float64(perSecond)) {
			r.submit(now)
			r.distort(acaciatally.JobID(fmt.Sprintf("%08x", r.submitted-1)))
		}
		for number, w := range r.workers {
			if report, due := r.report(number, w, now); due {
				r.scheduler.Report(w.ID, report, now, now)
			}
		}
		r.countInTime(now)
		if r.each != nil {
			r.each(now)
		}
		orders := startDue(r.scheduler, now)
		slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(a.Start.Task.String(), b.Start.Task.String()) })
		for _, order := range orders {
			number := r.numbers[order.Worker.ID]
			r.started = append(r.started, fmt.Sprint(order.Start.Task, order.Start.Attempt, order.Worker.ID))
			r.runsOn[number]++
			run := &trialRun{order: order, work: r.runTimes[order.Start.Task], fails: r.fails != nil && r.fails(number, order.Start.Task.Job)}
			r.trialed[order.Worker.ID] = append(r.trialed[order.Worker.ID], run)
		}
	}
	return float64(r.jobsInTime) / float64(r.submitted)
}

// distort changes the run times and the estimates of a job as the trial wants.
func (r *speedTrial) distort(id acaciatally.JobID) {
	j := r.scheduler.jobs[id]
	arrived := r.dueBy[id]
	ofJob := 1.0
	if r.jobSkew > 0 {
		ofJob = math.Exp(r.jobSkew * r.random.NormFloat64())
	}
	for step := range j.accepted.Spec.Steps {
		arrived -= time.Duration(1.6 * float64(r.longest(id, step)))
		if r.wrong {
			j.accepted.Spec.Steps[step].Estimate = time.Duration(float64(meanRunTime) * math.Exp(math.Log(5)*(2*r.random.Float64()-1)))
		}
		for index := 0; r.stepTimes != nil && index < tasksPerStep; index++ {
			r.runTimes[acaciatally.TaskRef{Job: id, Step: step, Index: index}] = r.stepTimes[step]
		}
		for index := 0; r.skew > 0 && index < tasksPerStep; index++ {
			ref := acaciatally.TaskRef{Job: id, Step: step, Index: index}
			r.runTimes[ref] = time.Duration(ofJob * float64(meanRunTime) / 2 * math.Exp(r.skew*r.random.NormFloat64()))
		}
	}
	r.dueBy[id] = arrived
	for step := range j.accepted.Spec.Steps {
		r.dueBy[id] += time.Duration(1.6 * float64(r.longest(id, step)))
	}
}

// longest returns the longest time of the step's tasks.
func (r *speedTrial) longest(id acaciatally.JobID, step int) (longest time.Duration) {
	for index := range tasksPerStep {
		longest = max(longest, r.runTimes[acaciatally.TaskRef{Job: id, Step: step, Index: index}])
	}
	return longest
}

// report returns the report of a worker, which is due when a run has ended and about once a second.
func (r *speedTrial) report(number int, w acaciatally.Worker, now time.Duration) (report acaciatally.WorkerReport, due bool) {
	report = acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}
	factor := 1.0
	if r.factor != nil {
		factor = r.factor(number, now)
	}
	left := r.trialed[w.ID][:0]
	for _, run := range r.trialed[w.ID] {
		run.done += time.Duration(float64(simulationStep) / factor)
		end := acaciatally.EndDone
		if run.fails && run.done >= run.work/2 {
			end = acaciatally.EndFailed
			r.failed++
		} else if run.done < run.work {
			left = append(left, run)
			report.Running = append(report.Running, acaciatally.RunningTask{
				Task: run.order.Start.Task, Attempt: run.order.Start.Attempt, Percent: int(fullPercent * run.done / run.work),
			})
			continue
		}
		r.endNumbers[w.ID]++
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: r.endNumbers[w.ID], Task: run.order.Start.Task, Attempt: run.order.Start.Attempt, End: end,
		})
	}
	r.trialed[w.ID] = left
	offset := time.Duration(number) * 7 * simulationStep
	return report, len(report.Ended) > 0 || (now+offset)%busyPollWait < simulationStep
}

const (
	trialWorkers = 20
	slowWorkers  = 4 // of trialWorkers
	trialFactor  = 5
)

// slowFrom returns a factor that slows down the last workers in a time.
func slowFrom(from, until time.Duration) func(int, time.Duration) float64 {
	return func(number int, now time.Duration) float64 {
		if number >= trialWorkers-slowWorkers && now >= from && now < until {
			return trialFactor
		}
		return 1
	}
}

func (r *speedTrial) slowRuns() (count int) {
	for number := trialWorkers - slowWorkers; number < trialWorkers; number++ {
		count += r.runsOn[number]
	}
	return count
}

// TestSlowWorkers guards against jobs that are late because some workers have become five times slower, with wrong estimates and with skewed
// run times. Without the mechanism, fewer jobs are in time.
func TestSlowWorkers(t *testing.T) {
	for name, skew := range map[string]float64{"even": 0, "skewed": 0.5} {
		t.Run(name, func(t *testing.T) {
			run := func(disabled bool) (inTime float64, runs int) {
				trial := newSpeedTrial(t)
				trial.scheduler.speeds.disabled = disabled
				trial.skew, trial.wrong, trial.factor = skew, true, slowFrom(5*time.Second, time.Minute)
				return trial.run(24, 20*time.Second), trial.slowRuns()
			}
			without, runsWithout := run(true)
			with, runsWith := run(false)
			t.Logf("in time: %.3f, without %.3f; runs on slow workers: %d, without %d", with, without, runsWith, runsWithout)
			require.Less(t, without, 0.9, "the trial shows nothing if slow workers do no harm")
			require.Less(t, 1-with, (1-without)/2)
		})
	}
}

// TestPlacementWithoutSlowWorkers guards against another placement where no worker is slow: runs are packed exactly as without the mechanism.
func TestPlacementWithoutSlowWorkers(t *testing.T) {
	for name, skew := range map[string]float64{"even": 0, "skewed": 0.5, "heavy-tailed": 1} {
		for load, perSecond := range map[string]int{"half": 18, "high": 30} {
			t.Run(name+" "+load, func(t *testing.T) {
				run := func(disabled bool) []string {
					trial := newSpeedTrial(t)
					trial.scheduler.speeds.disabled = disabled
					trial.skew, trial.wrong = skew, true
					trial.run(perSecond, 15*time.Second)
					return trial.started
				}
				require.Equal(t, run(true), run(false))
			})
		}
	}
}

// TestJobsOfDifferentLength guards against workers that are taken for slow because of a few long jobs, of which one worker often runs most tasks, or
// because their short runs have ended and only the long ones are left.
func TestJobsOfDifferentLength(t *testing.T) {
	for seed := range uint64(4) {
		trial := newSpeedTrial(t)
		trial.random = rand.New(rand.NewPCG(seed, 7))
		trial.skew, trial.wrong, trial.jobSkew = 0.3, true, 0.5
		trial.each = func(now time.Duration) {
			for _, w := range trial.scheduler.workers {
				require.False(t, w.speed.Slow(), "%s at %s", w.entry.ID, now)
			}
		}
		trial.run(18, time.Minute)
	}
}

// TestSlowNoticedEarly guards against a slow worker that is noticed only when the runs end that began there while it was slow: it takes reports of
// their pace, of which there is one each 0.9 s, and runs of three jobs. A worker that is fast again is noticed as well.
func TestSlowNoticedEarly(t *testing.T) {
	const from, until = 5 * time.Second, 12 * time.Second
	trial := newSpeedTrial(t)
	trial.factor = slowFrom(from, until)
	slowAt, fastAt := map[int]time.Duration{}, map[int]time.Duration{}
	trial.each = func(now time.Duration) {
		for number, w := range trial.workers {
			switch slow := trial.scheduler.workers[w.ID].speed.Slow(); {
			case slow && slowAt[number] == 0:
				slowAt[number] = now
			case !slow && slowAt[number] > 0 && fastAt[number] == 0:
				fastAt[number] = now
			}
		}
	}
	trial.run(30, 20*time.Second)
	t.Log(slowAt, fastAt)
	require.Len(t, slowAt, slowWorkers)
	require.Len(t, fastAt, slowWorkers)
	early := 0
	for number := range slowAt {
		require.GreaterOrEqual(t, number, trialWorkers-slowWorkers)
		require.Less(t, slowAt[number], from+trialFactor*meanRunTime)
		if slowAt[number] < from+1200*time.Millisecond {
			early++
		}
	}
	require.GreaterOrEqual(t, early, slowWorkers/2)
}

// TestRelearned guards against a next leader that does not find the slow workers, since it learns the times of kinds while some workers are slow,
// and does not know the start of runs that it inherits.
func TestRelearned(t *testing.T) {
	const from, takeover, bound = 5 * time.Second, 8 * time.Second, 5 * time.Second
	trial := newSpeedTrial(t)
	trial.factor = slowFrom(from, time.Minute)
	trial.each = func(now time.Duration) {
		s := trial.scheduler
		if now == takeover {
			clear(s.speeds.kinds)
			for _, w := range s.workers {
				w.speed = speed.Worker{}
				for run := range w.runs {
					run.startSentAt = 0
				}
			}
		}
		for number, w := range trial.workers {
			slow := s.workers[w.ID].speed.Slow()
			require.False(t, slow && number < trialWorkers-slowWorkers)
			if now == takeover+bound && number >= trialWorkers-slowWorkers {
				require.True(t, slow)
			}
		}
	}
	trial.run(30, 20*time.Second)
}

// TestUnreliableWorkers guards against workers that fail half of their runs and get as many as others, because each success ends their probation.
func TestUnreliableWorkers(t *testing.T) {
	run := func(disabled bool) int {
		trial := newSpeedTrial(t)
		trial.scheduler.speeds.disabled = disabled
		trial.fails = func(number int, _ acaciatally.JobID) bool {
			return number >= trialWorkers-slowWorkers && trial.random.IntN(2) == 0
		}
		trial.run(18, 20*time.Second)
		return trial.failed
	}
	without, with := run(true), run(false)
	t.Logf("failed runs: %d, without %d", with, without)
	require.Less(t, with, without/2)
}

// TestJobsThatAlwaysFail guards against workers that are taken for unreliable because of jobs that fail on every worker.
func TestJobsThatAlwaysFail(t *testing.T) {
	trial := newSpeedTrial(t)
	trial.fails = func(_ int, id acaciatally.JobID) bool { return id[len(id)-1] < '6' }
	trial.run(18, 20*time.Second)
	require.Greater(t, trial.failed, 100)
	for _, w := range trial.scheduler.workers {
		require.False(t, w.speed.Unreliable())
	}
}
