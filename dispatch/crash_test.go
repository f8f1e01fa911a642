package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	// crashStep is the time between two rounds of a crashSimulation.
	crashStep = 50 * time.Millisecond
	// startLimit is the number of starts that a task may have under which workers crash: three, and fewer than three more.
	startLimit = 5
)

// TestTaskCrashesWorkers guards against a task that crashes one worker after the other without end, and against giving up other tasks that
// were lost with it.
func TestTaskCrashesWorkers(t *testing.T) {
	tests := map[string]struct {
		downTime  time.Duration
		keepsID   bool
		endless   bool // the task runs until the job is cancelled
		silent    bool
		maxStarts int
	}{
		"new worker on the instance":          {3 * time.Second, false, false, false, 3},
		"same worker again":                   {3 * time.Second, true, false, false, 3},
		"new worker after the lease":          {9 * time.Second, false, false, false, startLimit},
		"same worker after the lease":         {9 * time.Second, true, false, false, startLimit},
		"task that runs until cancelled":      {3 * time.Second, false, true, false, 3},
		"same worker again within a round":    {crashStep, true, false, false, 3},
		"crash before the start is confirmed": {3 * time.Second, false, false, true, startLimit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashSimulation(6, test.downTime, test.keepsID)
			c.silent = test.silent
			c.run(0, crashStep)
			step := testStep(1, 1000)
			step.LongRunning = test.endless
			loadJob(c.scheduler, "aa", 0, testStep(3, 1000), testStep(1, 1000))
			loadJob(c.scheduler, "dd", 0, step)
			loadJob(c.scheduler, "ee", 0, testStep(3, 1000))
			crashing := c.scheduler.jobs["dd"]
			others := []*activeJob{c.scheduler.jobs["aa"], c.scheduler.jobs["ee"]}
			c.run(crashStep, time.Minute)
			require.Equal(t, acaciatally.JobFailed, crashing.state)
			require.LessOrEqual(t, c.starts[acaciatally.TaskRef{Job: "dd"}], test.maxStarts)
			for _, j := range others {
				require.Equal(t, acaciatally.JobCompleted, j.state, "job %s", j.id)
			}
			for _, w := range c.scheduler.workers {
				require.Zero(t, w.suspectRuns, "%s", w.entry.ID)
			}
		})
	}
}

// TestTaskCrashesWorkersLater guards against a task that crashes one worker after the other without end because it has run for some seconds each
// time, and against giving up other tasks that were lost with it.
func TestTaskCrashesWorkersLater(t *testing.T) {
	tests := map[string]struct {
		crashAfter time.Duration
		downTime   time.Duration
		keepsID    bool
		endless    bool
	}{
		"after 1.5 s":                  {1500 * time.Millisecond, 3 * time.Second, false, false},
		"after 2.5 s":                  {2500 * time.Millisecond, 3 * time.Second, false, false},
		"after 7 s":                    {7 * time.Second, 3 * time.Second, false, false},
		"after 11.5 s":                 {11500 * time.Millisecond, 3 * time.Second, false, false},
		"after 30 s":                   {30 * time.Second, 3 * time.Second, false, false},
		"until stopped, after 11.5 s":  {11500 * time.Millisecond, 3 * time.Second, false, true},
		"same worker again":            {2500 * time.Millisecond, 4 * time.Second, true, false},
		"new worker after the lease":   {2500 * time.Millisecond, 9 * time.Second, false, false},
		"task that runs until stopped": {2500 * time.Millisecond, 3 * time.Second, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashSimulation(6, test.downTime, test.keepsID)
			c.crashAfter = test.crashAfter
			c.run(0, crashStep)
			step := testStep(1, 1000)
			step.LongRunning = test.endless
			loadJob(c.scheduler, "dd", 0, step)
			crashing := c.scheduler.jobs["dd"]
			others := map[acaciatally.JobID]*activeJob{}
			for at := crashStep; at < 3*time.Minute; at += 500 * time.Millisecond {
				id := acaciatally.JobID(fmt.Sprintf("%04d", len(others)))
				loadJob(c.scheduler, id, at, testStep(3, 1000))
				others[id] = c.scheduler.jobs[id]
				c.run(at, at+500*time.Millisecond)
			}
			c.run(3*time.Minute, 4*time.Minute)
			require.Equal(t, acaciatally.JobFailed, crashing.state)
			require.LessOrEqual(t, c.starts[acaciatally.TaskRef{Job: "dd"}], startLimit)
			for id, j := range others {
				require.Equal(t, acaciatally.JobCompleted, j.state, "job %s", id)
			}
			for _, w := range c.scheduler.workers {
				require.Zero(t, w.suspectRuns, "%s", w.entry.ID)
			}
		})
	}
}

// TestUnrelatedLateCrashes guards against giving up a task because workers crash under it for other reasons, some time after the start of its runs.
func TestUnrelatedLateCrashes(t *testing.T) {
	seconds := func(list ...int) (times []time.Duration) {
		for _, s := range list {
			times = append(times, time.Duration(s)*time.Second)
		}
		return times
	}
	tests := map[string]struct {
		ranFor []time.Duration // of the runs under which workers crash
		state  acaciatally.JobState
	}{
		"different times":              {seconds(12, 25, 50, 20, 40, 12, 30), acaciatally.JobQueued},
		"similar, different, similar":  {seconds(20, 21, 22, 45, 44, 46), acaciatally.JobQueued},
		"soon, then late":              {seconds(3, 5, 4, 30), acaciatally.JobQueued},
		"similar times":                {seconds(20, 21, 19, 22), acaciatally.JobFailed},
		"soon":                         {seconds(3, 9, 2, 7), acaciatally.JobFailed},
		"around the end of the window": {seconds(9, 11, 10, 11), acaciatally.JobFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			loadJob(scheduler, "aa", 0, testStep(1, 1000))
			j := scheduler.jobs["aa"]
			scheduler.openDueOccurrences(j, 0, time.UnixMilli(0))
			suspect := j.openOccurrences[0].steps[0][0]
			for _, ranFor := range test.ranFor {
				scheduler.countCrash([]suspectRun{{task: suspect, run: suspect.runKey(), confirmed: true, late: true, ranFor: ranFor}})
			}
			require.Equal(t, test.state, j.state)
		})
	}
}

// TestCrashBeforeStart guards against giving up a task because workers crashed for other reasons just when they were told to start it: it may
// not have run on them.
func TestCrashBeforeStart(t *testing.T) {
	tests := map[string]struct {
		confirmed, unconfirmed int
		state                  acaciatally.JobState
	}{
		"one run, one unconfirmed": {1, 1, acaciatally.JobQueued}, "three unconfirmed": {0, 3, acaciatally.JobQueued},
		"two runs": {2, 0, acaciatally.JobFailed}, "four unconfirmed": {0, 4, acaciatally.JobFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, _ := newScheduler()
			loadJob(scheduler, "aa", 0, testStep(1, 1000))
			j := scheduler.jobs["aa"]
			scheduler.openDueOccurrences(j, 0, time.UnixMilli(0))
			suspect := j.openOccurrences[0].steps[0][0]
			for i := range test.confirmed + test.unconfirmed {
				scheduler.countCrash([]suspectRun{{task: suspect, run: suspect.runKey(), confirmed: i < test.confirmed}})
			}
			require.Equal(t, test.state, j.state)
		})
	}
}

// TestCrashesRecorded guards against a count of crashes that starts again with each leader.
func TestCrashesRecorded(t *testing.T) {
	c := newCrashSimulation(2, 3*time.Second, false)
	c.run(0, crashStep)
	loadJob(c.scheduler, "dd", 0, testStep(1, 1000))
	crashing := c.scheduler.jobs["dd"]
	for now := crashStep; crashing.openOccurrences == nil || crashing.openOccurrences[0].steps[0][0].crashes == 0; now += crashStep {
		require.Less(t, now, time.Minute)
		c.run(now, now+crashStep)
	}
	progress := c.scheduler.progress(crashing, 0)
	require.Equal(t, 1, progress.Open[0].Steps[0][0].Crashes)
	require.Equal(t, 1, progress.Open[0].Steps[0][0].CrashStreak)
	next, _ := newScheduler()
	next.LoadJob("dd", crashing.accepted, progress, 0, 0)
	require.Equal(t, 1, next.jobs["dd"].openOccurrences[0].steps[0][0].crashes)
	require.Equal(t, 1, next.jobs["dd"].openOccurrences[0].steps[0][0].crashStreak)
}

// TestNoCrash guards against blaming tasks for workers that could not be reached, were taken away by an order, drained, or ended long after
// the start of the task.
func TestNoCrash(t *testing.T) {
	tests := map[string]func(s *Scheduler, w acaciatally.Worker){
		"not reached": func(s *Scheduler, w acaciatally.Worker) {
			s.RenewalFailed(w.ID, acaciatally.ErrUnavailable, time.Second)
			s.Plan(10*time.Second, time.UnixMilli(0))
			s.Report(w.ID, acaciatally.WorkerReport{Clock: 10 * time.Second, StartTime: w.StartTime}, 10*time.Second, 10*time.Second)
			s.SetDirectory([]acaciatally.Worker{w}, 11*time.Second)
		},
		"taken away by an order": func(s *Scheduler, w acaciatally.Worker) {
			s.InstanceRemoved(w.ID, time.Second)
			later := w
			later.ID, later.StartTime = "i-9", time.UnixMilli(5000)
			s.SetDirectory([]acaciatally.Worker{later}, 3*time.Second)
			s.Report(later.ID, acaciatally.WorkerReport{StartTime: later.StartTime}, 3*time.Second, 3*time.Second)
		},
		"not reached, then taken away by an order": func(s *Scheduler, w acaciatally.Worker) {
			s.RenewalFailed(w.ID, acaciatally.ErrUnavailable, time.Second)
			s.Plan(10*time.Second, time.UnixMilli(0))
			s.InstanceRemoved(w.ID, 11*time.Second)
			later := w
			later.ID, later.StartTime = "i-9", time.UnixMilli(13_000)
			s.SetDirectory([]acaciatally.Worker{later}, 13*time.Second)
			s.Report(later.ID, acaciatally.WorkerReport{StartTime: later.StartTime}, 13*time.Second, 13*time.Second)
		},
		"drained": func(s *Scheduler, w acaciatally.Worker) {
			w.Draining = true
			s.SetDirectory([]acaciatally.Worker{w}, time.Second)
			s.RenewalFailed(w.ID, acaciatally.ErrUnavailable, 2*time.Second)
			later := w
			later.ID, later.StartTime, later.Draining = "i-9", time.UnixMilli(5000), false
			s.SetDirectory([]acaciatally.Worker{w, later}, 3*time.Second)
			s.Report(later.ID, acaciatally.WorkerReport{StartTime: later.StartTime}, 3*time.Second, 3*time.Second)
		},
		"long after the start": func(s *Scheduler, w acaciatally.Worker) {
			running := []acaciatally.RunningTask{{Task: acaciatally.TaskRef{Job: "aa"}, Attempt: 1, Percent: 50}}
			s.Report(w.ID, acaciatally.WorkerReport{Clock: 3 * time.Second, StartTime: w.StartTime, Running: running}, 3*time.Second, 3*time.Second)
			s.RenewalFailed(w.ID, acaciatally.ErrUnavailable, 3*time.Second)
			later := w
			later.ID, later.StartTime = "i-9", time.UnixMilli(5000)
			s.SetDirectory([]acaciatally.Worker{w, later}, 4*time.Second)
			s.Report(later.ID, acaciatally.WorkerReport{StartTime: later.StartTime}, 4*time.Second, 4*time.Second)
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler, eventLog := newScheduler()
			w := testWorker(1)
			reportIdle(scheduler, w)
			loadJob(scheduler, "aa", 0, testStep(1, 1000))
			require.Len(t, startDue(scheduler, 0), 1)
			happens(scheduler, w)
			require.Zero(t, eventLog.counts["CrashCounted"])
			require.Equal(t, job.Waiting, scheduler.jobs["aa"].openOccurrences[0].steps[0][0].phase, "the task is to be started again")
		})
	}
}

// TestSuspectsApart guards against suspected tasks of several jobs on one worker, of which the next crash would not tell which it was, and
// against placing other tasks beside them while there is room elsewhere.
func TestSuspectsApart(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1), testWorker(2), testWorker(3))
	for i, crashes := range []int{1, 1, 0, 0} {
		id := acaciatally.JobID(fmt.Sprintf("%02d", i))
		loadJob(scheduler, id, 0, testStep(1, 1000))
		scheduler.openDueOccurrences(scheduler.jobs[id], 0, time.UnixMilli(0))
		scheduler.jobs[id].openOccurrences[0].steps[0][0].crashes = crashes
	}
	workers := map[acaciatally.JobID]acaciatally.WorkerID{}
	for _, order := range startDue(scheduler, 0) {
		workers[order.Start.Task.Job] = order.Worker.ID
	}
	require.Len(t, workers, 4)
	require.NotEqual(t, workers["00"], workers["01"])
	require.Equal(t, workers["02"], workers["03"])
	require.NotContains(t, []acaciatally.WorkerID{workers["00"], workers["01"]}, workers["02"])
}

// TestSuspectsWait guards against two suspected tasks on the only worker: one waits until the other has ended.
func TestSuspectsWait(t *testing.T) {
	scheduler, _ := newScheduler()
	w := testWorker(1)
	reportIdle(scheduler, w)
	for _, id := range []acaciatally.JobID{"aa", "bb"} {
		loadJob(scheduler, id, 0, testStep(1, 1000))
		scheduler.openDueOccurrences(scheduler.jobs[id], 0, time.UnixMilli(0))
		scheduler.jobs[id].openOccurrences[0].steps[0][0].crashes = 1
	}
	first := startDue(scheduler, 0)
	require.Len(t, first, 1)
	require.Empty(t, startDue(scheduler, time.Second))
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: w.StartTime, Ended: []acaciatally.EndedTask{
		{Number: 1, Task: first[0].Start.Task, Attempt: first[0].Start.Attempt, End: acaciatally.EndDone},
	}}, time.Second, time.Second)
	second := startDue(scheduler, 2*time.Second)
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Start.Task.Job, second[0].Start.Task.Job)
}
