package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// Report handles a worker's answer to the renewal that was sent at the given time.
func (s *Scheduler) Report(id acaciatally.WorkerID, report acaciatally.WorkerReport, sent, now time.Duration) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.interference.advance(now)
	w.nextRenewalAt = sent + s.renewInterval()
	if !s.acceptReport(w, report, w.finishRenewal(), now) {
		return
	}
	if !w.reported || w.renewalFailures > 0 {
		s.nextPlacementAt = now // the worker may get new runs again
	}
	if w.renewalFailures > 0 {
		s.config.EventLog.WorkerChanged(id, w.entry.Pool, "renewal succeeded again", now-w.reportedAt)
	}
	isFirst := !w.reported // since this leader knows of the incarnation
	w.reported = true
	s.updateClock(w, report.Clock, now)
	w.lastReportHadEnds = len(report.Ended) > 0
	listed := map[runKey]bool{}
	for _, run := range report.Running {
		listed[runKey{run.Task, run.Attempt}] = true
	}
	for _, ended := range report.Ended {
		listed[runKey{ended.Task, ended.Attempt}] = true
	}
	if isFirst {
		s.logCrossedStarts(w, listed)
	}
	for _, ended := range report.Ended {
		s.handleEnd(w, ended, now)
	}
	w.speed.BeginReport()
	orphans := map[runKey]bool{}
	for _, run := range report.Running {
		if !s.handleRunning(w, run, now) {
			orphans[runKey{run.Task, run.Attempt}] = true
		}
	}
	w.orphans = orphans
	w.orderDue = w.orderDue || len(orphans) > 0
	s.updateLeftovers(w, sent, now)
	s.throttle(w, now)
	if !report.EndsIncomplete {
		s.releaseMissing(w, listed, sent)
	}
	s.countRestart(w, listed, !report.EndsIncomplete)
	s.resolveSuspects(w)
	w.advanceAcknowledged()
	s.logUnackedEnds(w, now)
	if isFirst {
		s.loseSuperseded(now)
	}
}

// finishRenewal ends the renewal in flight and returns its fencing token; 0 if there is none.
func (w *worker) finishRenewal() (fence uint64) {
	if w.renewalInFlight {
		fence = w.renewalFence
	}
	w.renewalInFlight = false
	return fence
}

// acceptReport handles a restart of the worker that a report shows, which answers a renewal with the fencing token. It returns false if the report is to be
// ignored because the worker is lost, has restarted since, or has not seen the token that was raised for its restart. A report that answers the present
// token is from the latest incarnation, even if its start time is earlier because the worker's time of day was set back.
func (s *Scheduler) acceptReport(w *worker, report acaciatally.WorkerReport, fence uint64, now time.Duration) (accepted bool) {
	outdated := report.StartTime.Before(w.startTime) && !report.StartTime.IsZero() && fence != s.fence(w)
	if w.lost || outdated {
		return false
	}
	s.logCrossedRenewal(w, report)
	if !report.StartTime.IsZero() && !report.StartTime.Equal(w.startTime) {
		s.handleRestart(w, report.StartTime, now)
	}
	if !w.reported && fence != 0 && fence != s.fence(w) {
		// The worker may still start runs whose orders were meant for its earlier incarnation. The next renewal tells it the present token.
		w.nextRenewalAt, w.nextLoadingRenewalAt = 0, 0
		return false
	}
	return true
}

// handleRunning updates the task of a running run. It returns false if the run is not the current run of a known task.
func (s *Scheduler) handleRunning(w *worker, run acaciatally.RunningTask, now time.Duration) bool {
	t := s.findTask(run.Task)
	if t == nil || t.worker != w || t.attempt != run.Attempt {
		return false
	}
	if t.stage == stageOrdered || t.stage == stageInherited {
		s.interference.started(t, t.stage == stageOrdered && t.startAttempts <= 1, now)
		t.stage, t.confirmedAt, t.progressedAt = stageRunning, now, now
		t.startOutcomeUnknown = false
		s.markStarted(t)
	}
	t.observeProgress(run.Percent, now)
	s.observePace(t, now)
	t.tailLatency = 0
	if t.step.TailObjective > 0 {
		t.tailLatency = run.TailLatency
		s.interference.observeResponse(t, now)
	}
	if run.Checkpoint != "" {
		t.checkpoint = run.Checkpoint
	}
	t.endSuspicion(now)
	return true
}

// markStarted changes the job from queued to running.
func (s *Scheduler) markStarted(t *task) {
	if t.job.state == acaciatally.JobQueued {
		t.job.state = acaciatally.JobRunning
		t.job.dirty = true
	}
}

// releaseMissing releases the runs that the worker should have listed, but lists neither as running nor as ended.
func (s *Scheduler) releaseMissing(w *worker, listed map[runKey]bool, sent time.Duration) {
	for t := range w.runs {
		if listed[t.runKey()] {
			continue
		}
		missing := t.stage == stageInherited || (t.stage == stageRunning && t.confirmedAt < sent) || (t.stoppedAt > 0 && t.stoppedAt < sent)
		if missing {
			s.config.EventLog.RunDropped(t.ref, t.attempt, w.entry.ID, "run unknown to worker")
			t.release()
		}
	}
}

func (s *Scheduler) findTask(ref acaciatally.TaskRef) *task {
	j := s.jobs[ref.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.openOccurrences {
		if o.number == ref.Occurrence && ref.Step < len(o.steps) && ref.Index < len(o.steps[ref.Step]) && ref.Step >= 0 && ref.Index >= 0 {
			return o.steps[ref.Step][ref.Index]
		}
	}
	return nil
}

// handleEnd handles the end of a run that the worker lists.
func (s *Scheduler) handleEnd(w *worker, ended acaciatally.EndedTask, now time.Duration) {
	if ended.Number <= w.acknowledged || (len(w.unackedEnds) > 0 && ended.Number <= w.unackedEnds[len(w.unackedEnds)-1].number) {
		return
	}
	w.removeLeftover(runKey{ended.Task, ended.Attempt})
	t := s.findTask(ended.Task)
	counts := t != nil && t.worker == w && t.attempt == ended.Attempt
	s.config.EventLog.RunEnded(ended, w.entry.ID, counts)
	if counts {
		t.job.dirty = true
	}
	s.trackEnd(w, ended, now)
	if !counts {
		return
	}
	s.markStarted(t)
	s.updateHealth(w, t, ended, now)
	s.applyEnd(t, ended, now)
}

// applyEnd updates the task after the end of its current run.
func (s *Scheduler) applyEnd(t *task, ended acaciatally.EndedTask, now time.Duration) {
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	switch {
	case ended.End == acaciatally.EndDone && !t.step.LongRunning:
		s.observeRunTime(t, now)
		s.interference.observeEnd(t, now)
		s.observeSuccess(t, now)
		s.complete(t, now)
		return
	case ended.End == acaciatally.EndFailed:
		t.failures++
		t.avoidWorker(now)
	}
	t.release()
	if t.job.live() && !t.step.LongRunning && t.failures >= max(1, t.job.accepted.Queue.Attempts) {
		s.endJob(t.job, acaciatally.JobFailed)
	}
}

// avoidWorker keeps a failed task away from its worker for avoidTime. Long-running tasks are exempt: they may fail at any time on any
// worker and have to restart quickly.
func (t *task) avoidWorker(now time.Duration) {
	if !t.step.LongRunning {
		t.failedOn = append(t.failedOn, t.worker.entry.ID)
		t.avoidWorkerFor(avoidTime, now)
	}
}

// avoidWorkerFor keeps the task away from its worker for a time, if there are other workers.
func (t *task) avoidWorkerFor(duration, now time.Duration) {
	if t.avoidUntil == nil {
		t.avoidUntil = map[acaciatally.WorkerID]time.Duration{}
	}
	t.avoidUntil[t.worker.entry.ID] = now + duration
}

// avoidTime is how long a task avoids a worker on which it failed, if there are other workers.
const avoidTime = 10 * time.Second

// complete marks the task done, or all tasks of its gang, and ends the job if nothing is left.
func (s *Scheduler) complete(t *task, now time.Duration) {
	t.release()
	t.phase = job.Done
	t.checkpoint = ""
	j := t.job
	for _, o := range j.openOccurrences {
		if o.number == t.ref.Occurrence && t.step.Gang {
			completeGang(o.steps[t.ref.Step], now)
		}
		if o.number == t.ref.Occurrence {
			s.observeStepTime(j, o.steps[t.ref.Step])
		}
	}
	open := j.openOccurrences[:0]
	for _, o := range j.openOccurrences {
		if !o.done() {
			open = append(open, o)
		}
	}
	j.openOccurrences = open
	s.countBacklog(j)
	if j.live() && len(j.openOccurrences) == 0 && j.nextOccurrence >= job.Occurrences(j.accepted.Spec) {
		s.endJob(j, acaciatally.JobCompleted)
	}
}

// completeGang marks all tasks of a gang done, since a gang is done when one of its tasks is. The runs of the others end by themselves, which is not
// certain before their workers report so.
func completeGang(members []*task, now time.Duration) {
	for _, member := range members {
		member.keepLeftover(now)
		member.release()
		member.phase, member.checkpoint = job.Done, ""
	}
}
