package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// simulatedLoad is the load of one account in a simulation.
type simulatedLoad struct {
	account    acaciatally.AccountName
	perSecond  func(now time.Duration) float64
	queue      acaciatally.Queue
	step       acaciatally.Step
	runTime    time.Duration // mean
	savesAfter time.Duration // run time until a run with checkpoints saves the first one
}

// shareSimulation runs a scheduler under the load of several accounts.
type shareSimulation struct {
	*simulation
	loads     []simulatedLoad
	due       []float64 // jobs to submit, by load
	submitted []int     // by load
	inTime    []int     // by load
	loadOf    map[acaciatally.JobID]int
	running   map[acaciatally.WorkerID][]accountRun
	stops     int // runs that were stopped
	// afterRound is called after each round, unless it is nil.
	afterRound func(now time.Duration)
	used       []float64 // processors times samples, by load, since measureFrom
	samples    int
}

// accountRun is a run of a shareSimulation.
type accountRun struct {
	order       acaciatally.StartOrder
	checkpoints bool
	savesAfter  time.Duration
	startedAt   time.Duration
	stopped     bool
}

// constant returns a load that does not change.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// during returns a load that is higher between two times.
func during(from, to time.Duration, usual, then float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return then
		}
		return usual
	}
}

// testQueue is the queue of loadJob.
func testQueue() acaciatally.Queue {
	return acaciatally.Queue{Name: "quotes", Pool: testPool, Attempts: 2, Stretch: 1.6, Objective: 600 * time.Millisecond}
}

// configureAccounts configures accounts with weights; with nil weights there are none.
func configureAccounts(scheduler *Scheduler, weights map[acaciatally.AccountName]float64) {
	configuration := &acaciatally.Configuration{Version: 1}
	if weights != nil {
		configuration.Accounts = map[acaciatally.AccountName]acaciatally.Account{}
	}
	for name, weight := range weights {
		configuration.Accounts[name] = acaciatally.Account{Name: name, Weight: weight}
	}
	scheduler.Configure(configuration)
}

func newShareSimulation(t *testing.T, weights map[acaciatally.AccountName]float64, loads ...simulatedLoad) *shareSimulation {
	t.Helper()
	s := &shareSimulation{
		simulation: newSimulation(t, simulatedWorkers), loads: loads, due: make([]float64, len(loads)), submitted: make([]int, len(loads)),
		inTime: make([]int, len(loads)), loadOf: map[acaciatally.JobID]int{}, running: map[acaciatally.WorkerID][]accountRun{}, used: make([]float64, len(loads)),
	}
	configureAccounts(s.scheduler, weights)
	return s
}

// run simulates the time from 0 to duration. Use is measured after measureFrom; jobs in time are those of the whole time.
func (s *shareSimulation) run(duration, measureFrom time.Duration) {
	s.runFrom(0, duration, measureFrom)
}

// runFrom simulates the time from begin to duration.
func (s *shareSimulation) runFrom(begin, duration, measureFrom time.Duration) {
	for now := begin; now < duration; now += simulationStep {
		for i := range s.loads {
			s.due[i] += s.loads[i].perSecond(now) * simulationStep.Seconds()
			for ; s.due[i] >= 1; s.due[i]-- {
				s.submitFor(i, now)
			}
		}
		for _, w := range s.workers {
			s.scheduler.Report(w.ID, s.reportOf(w, now), now, now)
		}
		s.countJobsInTime(now)
		s.scheduler.Plan(now, time.UnixMilli(0))
		commitAll(s.scheduler, now)
		for _, order := range s.scheduler.Orders(now) {
			s.execute(order, now)
			s.scheduler.OrderResult(order, nil, now)
		}
		if now >= measureFrom {
			s.measure()
		}
		if s.afterRound != nil {
			s.afterRound(now)
		}
	}
}

// execute starts or stops a run.
func (s *shareSimulation) execute(order Order, now time.Duration) {
	id := order.Worker.ID
	if order.Kind == OrderStart {
		load := &s.loads[s.loadOf[order.Start.Task.Job]]
		s.running[id] = append(s.running[id], accountRun{
			order: order.Start, checkpoints: load.step.Checkpoints, savesAfter: load.savesAfter, startedAt: now,
		})
		return
	}
	for i := range s.running[id] {
		if run := &s.running[id][i]; run.order.Task == order.Start.Task && run.order.Attempt == order.Start.Attempt {
			run.stopped = true
			s.stops++
		}
	}
}

// reportOf returns the report of a worker. A run with checkpoints saves one with each report, so that a stop loses no work.
func (s *shareSimulation) reportOf(w acaciatally.Worker, now time.Duration) acaciatally.WorkerReport {
	report := acaciatally.WorkerReport{Clock: now, StartTime: w.StartTime}
	left := s.running[w.ID][:0]
	for _, run := range s.running[w.ID] {
		task, elapsed := run.order.Task, now-run.startedAt
		checkpoint := ""
		if run.checkpoints && elapsed >= run.savesAfter {
			checkpoint = "saved"
		}
		if elapsed < s.runTimes[task] && !run.stopped {
			left = append(left, run)
			report.Running = append(report.Running, acaciatally.RunningTask{
				Task: task, Attempt: run.order.Attempt, Percent: int(100 * elapsed / s.runTimes[task]), Checkpoint: checkpoint,
			})
			continue
		}
		end := acaciatally.EndDone
		if elapsed < s.runTimes[task] {
			end = acaciatally.EndStopped
			if checkpoint != "" {
				s.runTimes[task] -= elapsed
			}
		}
		s.endNumbers[w.ID]++
		report.Ended = append(report.Ended, acaciatally.EndedTask{
			Number: s.endNumbers[w.ID], Task: task, Attempt: run.order.Attempt, End: end, Checkpoint: checkpoint,
		})
	}
	s.running[w.ID] = left
	return report
}

func (s *shareSimulation) submitFor(i int, now time.Duration) {
	load := &s.loads[i]
	id := acaciatally.JobID(fmt.Sprintf("%s-%d-%06d", load.account, i, s.submitted[i]))
	steps := []acaciatally.Step{load.step}
	s.dueBy[id], s.loadOf[id] = now+load.queue.Objective, i
	for number, step := range steps {
		longest := time.Duration(0)
		for index := range step.Count {
			runTime := time.Duration(float64(load.runTime) * (0.5 + s.random.Float64()))
			if step.Gang {
				runTime = max(runTime, longest) // the members end together
				for earlier := range index {
					s.runTimes[acaciatally.TaskRef{Job: id, Step: number, Index: earlier}] = runTime
				}
			}
			s.runTimes[acaciatally.TaskRef{Job: id, Step: number, Index: index}] = runTime
			longest = max(longest, runTime)
		}
		s.dueBy[id] += time.Duration(load.queue.Stretch * float64(longest))
	}
	s.scheduler.LoadJob(id, job.Accepted{Spec: acaciatally.JobSpec{Steps: steps}, Queue: load.queue, Account: load.account},
		job.Progress{State: acaciatally.JobQueued}, 0, now)
	s.submitted[i]++
}

func (s *shareSimulation) countJobsInTime(now time.Duration) {
	for id, j := range s.scheduler.jobs {
		if j.state == acaciatally.JobCompleted && j.endRecordedAt == 0 && now <= s.dueBy[id] {
			s.inTime[s.loadOf[id]]++
		}
	}
}

func (s *shareSimulation) measure() {
	s.samples++
	for _, w := range s.scheduler.workers {
		for t := range w.runs {
			s.used[s.loadOf[t.job.id]] += float64(t.step.Resources.Processors)
		}
	}
}

// shareInTime returns the part of a load's jobs that were completed in time.
func (s *shareSimulation) shareInTime(i int) float64 {
	return float64(s.inTime[i]) / float64(s.submitted[i])
}

// meanUse returns the mean part of the fleet's processors that a load used.
func (s *shareSimulation) meanUse(i int) float64 {
	capacity := 0
	for _, w := range s.workers {
		capacity += w.Capacity.Processors
	}
	return s.used[i] / float64(s.samples) / float64(capacity)
}

// simulatedWorkers of 8 cores carry about 25 jobs a second of 4 tasks that take one core and 0.8 s each.
const simulatedWorkers = 10

// TestHotAccount guards against an account that sends 7.5 times its usual load for 8 s and takes capacity from the others, whose callers
// then get their results too late.
func TestHotAccount(t *testing.T) {
	weights := map[acaciatally.AccountName]float64{"hot": 4, "b": 4, "c": 4, "d": 4}
	loads := []simulatedLoad{{account: "hot", perSecond: during(5*time.Second, 13*time.Second, 4, 30)}}
	for _, name := range []acaciatally.AccountName{"b", "c", "d"} {
		loads = append(loads, simulatedLoad{account: name, perSecond: constant(4)})
	}
	for i := range loads {
		loads[i].queue, loads[i].step, loads[i].runTime = testQueue(), testStep(4, 1000), meanRunTime
	}
	s := newShareSimulation(t, weights, loads...)
	s.run(20*time.Second, 0)
	for i := 1; i < len(loads); i++ {
		require.GreaterOrEqual(t, s.shareInTime(i), 0.9, loads[i].account)
	}
}

// TestAllAboveShare guards against shares that do not follow the weights while all accounts send more than their shares at once.
func TestAllAboveShare(t *testing.T) {
	weights := map[acaciatally.AccountName]float64{"a": 3, "b": 6, "c": 9, "d": 12}
	var loads []simulatedLoad
	for _, name := range []acaciatally.AccountName{"a", "b", "c", "d"} {
		loads = append(loads, simulatedLoad{account: name, perSecond: constant(20), queue: testQueue(), step: testStep(4, 1000), runTime: meanRunTime})
	}
	s := newShareSimulation(t, weights, loads...)
	s.run(15*time.Second, 5*time.Second)
	for i, load := range loads {
		require.InEpsilon(t, weights[load.account]/30, s.meanUse(i), 0.15, load.account)
	}
}

// TestManySmallAccounts guards against accounts with one job each that wait for the backlogs of a few large ones.
func TestManySmallAccounts(t *testing.T) {
	weights := map[acaciatally.AccountName]float64{"large-1": 10, "large-2": 10}
	var loads []simulatedLoad
	for i := range 30 {
		name := acaciatally.AccountName(fmt.Sprintf("small-%d", i))
		weights[name] = 1
		at := 5*time.Second + time.Duration(i)*200*time.Millisecond
		loads = append(loads, simulatedLoad{account: name, perSecond: during(at, at+simulationStep, 0, 1/simulationStep.Seconds())})
	}
	loads = append(loads, simulatedLoad{account: "large-1", perSecond: constant(40)}, simulatedLoad{account: "large-2", perSecond: constant(40)})
	for i := range loads {
		loads[i].queue, loads[i].step, loads[i].runTime = testQueue(), testStep(4, 1000), meanRunTime
	}
	s := newShareSimulation(t, weights, loads...)
	s.run(15*time.Second, 0)
	late := 0
	for i := range 30 {
		require.Equal(t, 1, s.submitted[i])
		late += 1 - s.inTime[i]
	}
	require.LessOrEqual(t, late, 2)
}

// TestUrgentJobsUnderShares guards against urgent jobs that wait because their account uses more than its share by its other jobs.
func TestUrgentJobsUnderShares(t *testing.T) {
	weights := map[acaciatally.AccountName]float64{"a": 10, "b": 20}
	urgent, usual := testQueue(), testQueue()
	urgent.Name, usual.Priority = "urgent", 1
	loads := []simulatedLoad{
		{account: "a", perSecond: constant(2), queue: urgent, step: testStep(1, 1000), runTime: meanRunTime},
		{account: "a", perSecond: constant(30), queue: usual, step: testStep(4, 1000), runTime: meanRunTime},
		{account: "b", perSecond: constant(30), queue: usual, step: testStep(4, 1000), runTime: meanRunTime},
	}
	s := newShareSimulation(t, weights, loads...)
	s.scheduler.PartitionClaimed("urgent", 1)
	s.run(15*time.Second, 0)
	require.GreaterOrEqual(t, s.shareInTime(0), 0.9)
}

// TestHotAccountWithinShare guards against an account with small jobs that sends 7.5 times its usual load: it stays within its share by weight,
// but takes capacity that the other account has always used, whose callers then get their results too late.
func TestHotAccountWithinShare(t *testing.T) {
	weights := map[acaciatally.AccountName]float64{"hot": 16, "b": 16}
	loads := []simulatedLoad{
		{account: "hot", perSecond: during(5*time.Second, 13*time.Second, 16, 120), step: testStep(1, 1000)},
		{account: "b", perSecond: constant(16), step: testStep(4, 1000)},
	}
	for i := range loads {
		loads[i].queue, loads[i].runTime = testQueue(), meanRunTime
	}
	s := newShareSimulation(t, weights, loads...)
	s.run(20*time.Second, 0)
	require.GreaterOrEqual(t, s.shareInTime(1), 0.9)
}

// TestSharesOverPools guards against shares that are counted in each pool by itself: an account that fills one pool alone would get half of
// another one as well, where an account of the same weight has nothing else.
func TestSharesOverPools(t *testing.T) {
	other := testQueue()
	other.Name, other.Pool = "others", "other"
	s := newShareSimulation(t, map[acaciatally.AccountName]float64{"a": 1000, "b": 1000},
		simulatedLoad{account: "a", perSecond: constant(30), queue: other, step: testStep(4, 1000), runTime: meanRunTime},
		simulatedLoad{account: "a", perSecond: constant(30), queue: testQueue(), step: testStep(4, 1000), runTime: meanRunTime},
		simulatedLoad{account: "b", perSecond: constant(30), queue: testQueue(), step: testStep(4, 1000), runTime: meanRunTime},
	)
	s.scheduler.PartitionClaimed("others", 1)
	for i := range simulatedWorkers / 2 {
		s.workers[i].Pool = "other"
	}
	s.scheduler.SetDirectory(s.workers, 0)
	s.run(8*time.Second, 4*time.Second)
	require.GreaterOrEqual(t, s.meanUse(0), 0.45)
	require.GreaterOrEqual(t, s.meanUse(2), 0.45)
}

// TestLargeTasksUnderShares guards against an account with large tasks that gets nothing, because the small tasks of another account take all
// room as it becomes free, although that account uses more than its share; and against the opposite.
func TestLargeTasksUnderShares(t *testing.T) {
	for _, begins := range []acaciatally.AccountName{"large", "small"} {
		t.Run(string(begins)+" first", func(t *testing.T) {
			perSecond := func(account acaciatally.AccountName, perSecond float64) func(now time.Duration) float64 {
				if account == begins {
					return constant(perSecond)
				}
				return during(4*time.Second, time.Hour, 0, perSecond)
			}
			s := newShareSimulation(t, map[acaciatally.AccountName]float64{"large": 1000, "small": 1000},
				simulatedLoad{account: "large", perSecond: perSecond("large", 30), queue: testQueue(), step: testStep(1, 6000), runTime: meanRunTime},
				simulatedLoad{account: "small", perSecond: perSecond("small", 150), queue: testQueue(), step: testStep(1, 1000), runTime: meanRunTime},
			)
			s.run(12*time.Second, 8*time.Second)
			require.InDelta(t, 0.5, s.meanUse(0), 0.1)
			require.InDelta(t, 0.5, s.meanUse(1), 0.1)
		})
	}
}

// TestGangUnderShares guards against an account with gangs that gets nothing, because the small tasks of another account, which uses more than
// its share, take the room on one of the workers as it becomes free.
func TestGangUnderShares(t *testing.T) {
	gang := testStep(4, 4000)
	gang.Gang = true
	s := newShareSimulation(t, map[acaciatally.AccountName]float64{"gangs": 1000, "small": 1000},
		simulatedLoad{account: "gangs", perSecond: during(4*time.Second, time.Hour, 0, 6), queue: testQueue(), step: gang, runTime: meanRunTime},
		simulatedLoad{account: "small", perSecond: constant(150), queue: testQueue(), step: testStep(1, 1000), runTime: meanRunTime},
	)
	s.run(14*time.Second, 8*time.Second)
	require.GreaterOrEqual(t, s.meanUse(0), 0.2)
	require.GreaterOrEqual(t, s.meanUse(1), 0.4)
}
