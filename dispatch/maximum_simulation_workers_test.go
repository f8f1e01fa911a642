package dispatch

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// droppedLog notes why runs were released.
type droppedLog struct {
	*countingEventLog
	s *maximumSimulation
}

func (l *droppedLog) RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string) {
	l.s.dropped[runKey{task, attempt}] += fmt.Sprintf(" %v epoch %d on %s: %s;", l.s.now, l.s.epoch, worker, reason)
}

func (l *droppedLog) RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool) {
	l.s.dropped[runKey{ended.Task, ended.Attempt}] += fmt.Sprintf(" %v epoch %d on %s: ended %s counts %v;", l.s.now, l.s.epoch, worker, ended.End, counts)
}

// workerRun is a run on a worker.
type workerRun struct {
	attempt   int
	startedAt time.Duration
	endsAt    time.Duration
}

// simulatedWorker is one instance with its worker.
type simulatedWorker struct {
	entry       acaciatally.Worker
	listed      map[acaciatally.WorkerID]acaciatally.Worker // its records in the directory
	startedAt   time.Duration
	rate        float64 // of its clock
	fence       uint64
	lease       time.Duration
	maxLease    time.Duration
	runs        map[acaciatally.TaskRef]workerRun
	highest     map[acaciatally.TaskRef]int
	ended       []acaciatally.EndedTask
	number      uint64
	downUntil   time.Duration
	silentUntil time.Duration
	lateUntil   time.Duration
}

// boot starts the worker's process anew.
func (w *simulatedWorker) boot(now time.Duration) {
	w.startedAt, w.fence, w.lease, w.number, w.ended = now, 0, 0, 0, nil
	w.entry.StartTime = time.UnixMilli(now.Milliseconds())
	w.runs, w.highest = map[acaciatally.TaskRef]workerRun{}, map[acaciatally.TaskRef]int{}
}

func (w *simulatedWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.startedAt) * w.rate)
}

// runWorker ends the runs of a worker that are over.
func (s *maximumSimulation) runWorker(w *simulatedWorker) {
	expired := w.clock(s.now) >= w.lease
	for task, run := range w.runs {
		switch {
		case s.now >= run.endsAt && s.gangStarted(task, run.attempt):
			w.end(task, acaciatally.EndDone)
			s.endGang(task)
		case expired:
			w.end(task, acaciatally.EndLeaseExpired)
		}
	}
}

// gangStarted reports whether all members of a task's gang have been started; none is done before that. It is true for other tasks.
func (s *maximumSimulation) gangStarted(task acaciatally.TaskRef, attempt int) bool {
	step := s.step0(task)
	for index := range step.Count {
		member := task
		member.Index = index
		if step.Gang && s.started[member] < attempt {
			return false
		}
	}
	return true
}

// endGang ends the other members of the gang of a task that is done, as the platform does.
func (s *maximumSimulation) endGang(task acaciatally.TaskRef) {
	for _, w := range s.workers {
		for member := range w.runs {
			if s.step0(task).Gang && member.Job == task.Job && member.Step == task.Step {
				w.end(member, acaciatally.EndGangMemberEnded)
			}
		}
	}
}

func (w *simulatedWorker) end(task acaciatally.TaskRef, end acaciatally.TaskEnd) {
	run := w.runs[task]
	delete(w.runs, task)
	w.number++
	w.highest[task] = max(w.highest[task], run.attempt)
	w.ended = append(w.ended, acaciatally.EndedTask{Number: w.number, Task: task, Attempt: run.attempt, End: end})
}

// execute executes an order on the worker of the instance.
func (s *maximumSimulation) execute(w *simulatedWorker, order Order) error {
	run := order.Start.RunOrder
	switch {
	case s.now < w.downUntil:
		return acaciatally.ErrUnknownOutcome
	case w.entry.ID != order.Worker.ID:
		return acaciatally.ErrWorkerMismatch
	case run.Fence < w.fence:
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectFence}
	}
	w.fence = run.Fence
	current, running := w.runs[run.Task]
	if order.Kind == OrderStop {
		if running && current.attempt <= run.Attempt {
			w.end(run.Task, acaciatally.EndStopped)
		}
		w.highest[run.Task] = max(w.highest[run.Task], run.Attempt)
		return nil
	}
	if order.Kind != OrderStart {
		return nil
	}
	w.extend(order.Start.LeaseUntil, s.now)
	switch {
	case running && current.attempt == run.Attempt:
		return nil
	case run.Attempt <= w.highest[run.Task]:
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectSuperseded}
	case w.lease <= w.clock(s.now):
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectLeaseExpired}
	}
	duration := s.between(500*time.Millisecond, 5*time.Second)
	if s.step0(run.Task).LongRunning {
		duration = time.Hour
	}
	s.checkSingleRun(run)
	s.started[run.Task] = max(s.started[run.Task], run.Attempt)
	w.runs[run.Task] = workerRun{attempt: run.Attempt, endsAt: s.now + duration, startedAt: s.now}
	return nil
}

// checkSingleRun checks that no worker has a run of the task that is about to start.
func (s *maximumSimulation) checkSingleRun(run acaciatally.RunOrder) {
	for _, w := range s.workers {
		if other, running := w.runs[run.Task]; running && s.answersTrue {
			s.fail("%v attempt %d starts while attempt %d is in progress on %s, started %v, lease until %v of %v:%s", run.Task, run.Attempt, other.attempt,
				w.entry.ID, other.startedAt, w.lease, w.clock(s.now), s.dropped[runKey{run.Task, other.attempt}])
		}
	}
}

func (w *simulatedWorker) extend(until, now time.Duration) {
	w.lease = max(w.lease, min(until, w.clock(now)+w.maxLease))
}

// restart crashes the worker of an instance and starts it again after a time, under its ID or a new one. The directory shows that later.
func (s *maximumSimulation) restart(w *simulatedWorker, downTime time.Duration, keepsID bool) {
	if s.now < w.downUntil {
		return
	}
	w.downUntil = s.now + downTime
	w.boot(w.downUntil)
	before := w.entry.ID
	if !keepsID {
		w.entry.ID += "+"
		s.after(directoryTimeout, func() { delete(w.listed, before) })
	}
	entry := w.entry
	s.after(downTime+300*time.Millisecond, func() { w.listed[entry.ID] = entry })
}

// used returns what the runs on all workers reserve for an account.
func (s *maximumSimulation) used(account acaciatally.AccountName) (used acaciatally.ResourceVector) {
	for _, w := range s.workers {
		for task := range w.runs {
			if s.jobs[task.Job].accepted.Account == account {
				used = used.Plus(s.step0(task).Resources)
			}
		}
	}
	return used
}

// uncounted describes the runs of an account on the workers that the leader does not count.
func (s *maximumSimulation) uncounted(account acaciatally.AccountName) (text string) {
	for _, w := range s.workers {
		known := s.leader.workers[w.entry.ID]
		for task, run := range w.runs {
			if s.jobs[task.Job].accepted.Account != account {
				continue
			}
			key := runKey{task, run.attempt}
			counted := false
			if known != nil {
				_, counted = known.leftovers[key]
				for t := range known.runs {
					counted = counted || t.runKey() == key
				}
			}
			if !counted {
				text += fmt.Sprintf("\n%v attempt %d on %s (%v) until %v, started %v, job %s:%s", task, run.attempt, w.entry.ID, s.step0(task).Resources, run.endsAt, run.startedAt,
					s.jobs[task.Job].progress.State, s.dropped[key])
			}
		}
	}
	for _, start := range s.starts {
		if task := start.order.Task; s.jobs[task.Job].accepted.Account == account {
			text += fmt.Sprintf("\non its way: %v attempt %d to %s (%v) token %d, arrives %v, runs there %v, %s", task, start.order.Attempt, start.id, s.step0(task).Resources,
				start.order.Fence, start.at, start.worker.runs[task], s.dropped[runKey{task, start.order.Attempt}])
		}
	}
	return text
}

// unfinished describes the jobs that have not ended.
func (s *maximumSimulation) unfinished() (text string) {
	for id, stored := range s.jobs {
		if _, ended := s.ended[id]; ended {
			continue
		}
		account := stored.accepted.Account
		text += fmt.Sprintf("\n%v of %q, which uses %v of %v, %v", id, account, s.used(account), s.maximums[account], stored.accepted.Spec.Steps)
		if j := s.leader.jobs[id]; j != nil {
			j.eachTask(func(t *task) {
				text += fmt.Sprintf("; task %d phase %v stage %v on %q, stop %q", t.ref.Index, t.phase, t.stage, t.workerID(), t.stopReason)
			})
		}
	}
	return text
}
