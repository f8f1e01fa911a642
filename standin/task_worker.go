package standin

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// OutOfMemory is the reason reported for an attempt that was killed because its worker ran out of memory.
const OutOfMemory = "OutOfMemory"

// TaskWorkerFaults configures the faults of one worker that runs tasks.
type TaskWorkerFaults struct {
	FailsEverything bool // every attempt fails as soon as it starts
	Silent          bool // requests are lost and reports stop; runs go on until their leases expire
}

type taskWorker struct {
	capacity acaciatally.Resources
	faults   TaskWorkerFaults
	runs     []*taskRun // the running ones, and those that ended since the last advance
	reported []*taskRun // those that the reports include
	now      time.Time  // up to when the runs are simulated
}

// dropOldReports drops the attempts that ended longer ago than the retention; 0 keeps all.
func (w *taskWorker) dropOldReports(retention time.Duration) {
	if retention == 0 {
		return
	}
	w.reported = slices.DeleteFunc(w.reported, func(run *taskRun) bool {
		return !run.running() && w.now.Sub(run.reports[len(run.reports)-1].at) > retention
	})
}

func (w *taskWorker) totalUse() (used acaciatally.Resources) {
	for _, run := range w.runs {
		if !run.running() {
			continue
		}
		uses := run.used()
		used.Processors += uses.Processors
		used.Memory += uses.Memory
		used.Accelerators += uses.Accelerators
	}
	return used
}

// speed returns the fraction of its full speed at which a run proceeds; overcommitted processors are shared in proportion to use.
func (w *taskWorker) speed(run *taskRun, use acaciatally.Resources) float64 {
	if use.Processors <= w.capacity.Processors {
		return run.share
	}
	return run.share * w.capacity.Processors / use.Processors
}

// advance simulates the runs up to the given time, one event after another.
func (w *taskWorker) advance(to time.Time) {
	for w.now.Before(to) {
		use := w.totalUse()
		next := to
		for _, run := range w.runs {
			if at, found := w.nextEvent(run, use); found && at.Before(next) {
				next = at
			}
		}
		w.advanceRuns(next, use)
	}
	w.runs = slices.DeleteFunc(w.runs, func(run *taskRun) bool { return !run.running() })
}

func (w *taskWorker) nextEvent(run *taskRun, use acaciatally.Resources) (at time.Time, found bool) {
	if !run.running() {
		return at, false
	}
	at = run.lease.Expires
	if !run.checkpointAt.IsZero() && run.checkpointAt.Before(at) {
		at = run.checkpointAt
	}
	if speed := w.speed(run, use); speed > 0 {
		left := time.Duration(float64(run.profile.Work-run.progress)/speed) + 1
		if done := w.now.Add(left); done.Before(at) {
			at = done
		}
	}
	if at.Before(w.now) {
		at = w.now
	}
	return at, true
}

func (w *taskWorker) advanceRuns(to time.Time, use acaciatally.Resources) {
	elapsed := to.Sub(w.now)
	w.now = to
	for _, run := range w.runs {
		if !run.running() {
			continue
		}
		run.progress += time.Duration(float64(elapsed) * w.speed(run, use))
		w.updateState(run)
	}
}

func (w *taskWorker) updateState(run *taskRun) {
	if !run.checkpointAt.IsZero() && !run.checkpointAt.After(w.now) {
		run.checkpointAt = time.Time{}
		run.checkpoint = run.pendingCheckpoint
		run.addReport(w.now)
	}
	switch {
	case run.progress >= run.profile.Work && run.profile.Fails:
		run.finish(w.now, acaciatally.TaskFailed, "exit status 1")
	case run.progress >= run.profile.Work:
		run.progress = run.profile.Work
		run.finish(w.now, acaciatally.TaskDone, "")
	case !run.lease.Expires.After(w.now):
		run.finish(w.now, acaciatally.TaskLeaseExpired, "")
	}
}

// freeMemory kills runs until the rest fit into the memory, starting with the one that exceeds its lease's memory the most.
func (w *taskWorker) freeMemory() {
	for w.totalUse().Memory > w.capacity.Memory {
		var worst *taskRun
		for _, run := range w.runs {
			if run.running() && (worst == nil || memoryExcess(run) > memoryExcess(worst)) {
				worst = run
			}
		}
		worst.finish(w.now, acaciatally.TaskFailed, OutOfMemory)
	}
}

func memoryExcess(run *taskRun) int64 {
	return run.profile.Uses.Memory - run.lease.Resources.Memory
}
