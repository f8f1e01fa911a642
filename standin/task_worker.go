package standin

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// OutOfMemory is the reason of attempts that a worker killed because its memory was used up.
const OutOfMemory = "OutOfMemory"

// TaskWorkerFaults are the faults of one worker that runs tasks.
type TaskWorkerFaults struct {
	FailsEverything bool // every attempt fails at once
	Silent          bool // orders are lost and reports stop; runs go on until their leases expire
}

type taskWorker struct {
	capacity acaciatally.Resources
	faults   TaskWorkerFaults
	runs     []*taskRun
	reported []*taskRun
	now      time.Time
}

// forget drops the attempts that ended longer ago than the retention.
func (w *taskWorker) forget(retention time.Duration) {
	if retention == 0 {
		return
	}
	w.reported = slices.DeleteFunc(w.reported, func(run *taskRun) bool {
		return !run.running() && w.now.Sub(run.events[len(run.events)-1].at) > retention
	})
}

func (w *taskWorker) sum() (used acaciatally.Resources) {
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

// rate is the share of its full speed at which a run proceeds.
func (w *taskWorker) rate(run *taskRun, sum acaciatally.Resources) float64 {
	if sum.Processors <= w.capacity.Processors {
		return run.share
	}
	return run.share * w.capacity.Processors / sum.Processors
}

// advance carries out everything that happens up to the time.
func (w *taskWorker) advance(to time.Time) {
	for w.now.Before(to) {
		sum := w.sum()
		next := to
		for _, run := range w.runs {
			if at, found := w.nextEvent(run, sum); found && at.Before(next) {
				next = at
			}
		}
		w.proceed(next, sum)
	}
	w.runs = slices.DeleteFunc(w.runs, func(run *taskRun) bool { return !run.running() })
}

func (w *taskWorker) nextEvent(run *taskRun, sum acaciatally.Resources) (at time.Time, found bool) {
	if !run.running() {
		return at, false
	}
	at = run.lease.Expires
	if !run.checkpointAt.IsZero() && run.checkpointAt.Before(at) {
		at = run.checkpointAt
	}
	if rate := w.rate(run, sum); rate > 0 {
		left := time.Duration(float64(run.profile.Work-run.progress)/rate) + 1
		if done := w.now.Add(left); done.Before(at) {
			at = done
		}
	}
	if at.Before(w.now) {
		at = w.now
	}
	return at, true
}

func (w *taskWorker) proceed(to time.Time, sum acaciatally.Resources) {
	elapsed := to.Sub(w.now)
	w.now = to
	for _, run := range w.runs {
		if !run.running() {
			continue
		}
		run.progress += time.Duration(float64(elapsed) * w.rate(run, sum))
		w.settle(run)
	}
}

func (w *taskWorker) settle(run *taskRun) {
	if !run.checkpointAt.IsZero() && !run.checkpointAt.After(w.now) {
		run.checkpointAt = time.Time{}
		run.checkpoint = run.pending
		run.record(w.now)
	}
	switch {
	case run.progress >= run.profile.Work && run.profile.Fails:
		run.end(w.now, acaciatally.TaskFailed, "exit status 1")
	case run.progress >= run.profile.Work:
		run.progress = run.profile.Work
		run.end(w.now, acaciatally.TaskDone, "")
	case !run.lease.Expires.After(w.now):
		run.end(w.now, acaciatally.TaskLeaseExpired, "")
	}
}

// relieve kills the runs that exceed their grant the most until the memory suffices.
func (w *taskWorker) relieve() {
	for w.sum().Memory > w.capacity.Memory {
		var worst *taskRun
		for _, run := range w.runs {
			if run.running() && (worst == nil || overrun(run) > overrun(worst)) {
				worst = run
			}
		}
		worst.end(w.now, acaciatally.TaskFailed, OutOfMemory)
	}
}

func overrun(run *taskRun) int64 {
	return run.profile.Uses.Memory - run.lease.Resources.Memory
}
