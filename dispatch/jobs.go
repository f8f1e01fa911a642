package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/job"
)

// LoadJob adds a job from its records; age is the time since the job was accepted. Runs that its progress names may exist on workers. A job
// that is loaded already or has ended is ignored; one whose ID is in use by a job of another queue is deferred.
func (s *Scheduler) LoadJob(id acaciatally.JobID, accepted job.Accepted, progress job.Progress, age, now time.Duration) {
	if _, retained := s.retained[jobKey{accepted.Queue.Name, id}]; retained {
		return
	}
	if other := s.jobs[id]; other != nil {
		if other.accepted.Queue.Name != accepted.Queue.Name {
			s.deferJob(deferredJob{jobID: id, accepted: accepted, progress: progress})
		}
		return
	}
	j := &activeJob{
		id: id, accepted: accepted, usage: s.usageOf(accepted.Account), state: progress.State, digest: progress.Digest, nextOccurrence: progress.Next,
		arrivedAt:        now - min(max(0, age), maxJobAge),
		hasWaitingRecord: progress.State == acaciatally.JobQueued && accepted.Spec.Repeat == 0, placementDue: true,
		account:        s.accountShare(accepted.Account),
		hasGang:        slices.ContainsFunc(accepted.Spec.Steps, func(step acaciatally.Step) bool { return step.Gang }),
		hasLongRunning: slices.ContainsFunc(accepted.Spec.Steps, func(step acaciatally.Step) bool { return step.LongRunning }),
	}
	if s.configuration != nil {
		for _, queue := range s.configuration.Queues {
			if queue.Name == accepted.Queue.Name {
				j.accepted.Queue = queue
			}
		}
	}
	for _, open := range progress.Open {
		j.openOccurrences = append(j.openOccurrences, s.loadOccurrence(j, open, now))
	}
	s.jobs[id] = j
	s.countBacklog(j)
	s.observeJob(j, age, now)
	s.partition(accepted.Queue.Name)
	s.config.EventLog.JobLoaded(id, accepted.Queue.Name, progress.State)
	s.countAccountArrival(j)
}

// maxJobAge limits the age of a loaded job, because the clocks of entries may differ.
const maxJobAge = time.Minute

func (s *Scheduler) loadOccurrence(j *activeJob, open job.Occurrence, now time.Duration) *occurrence {
	o := &occurrence{number: open.Number, openedAt: now}
	for step := range open.Steps {
		var tasks []*task
		for index, recorded := range open.Steps[step] {
			t := j.newTask(open.Number, step, index)
			t.phase, t.attempt, t.failures, t.checkpoint = recorded.Phase, recorded.Attempt, recorded.Failures, recorded.Checkpoint
			t.crashes, t.unconfirmedCrashes, t.crashStreak = recorded.Crashes, recorded.UnconfirmedCrashes, recorded.CrashStreak
			t.progressedAt = now
			if t.phase == job.Assigned {
				s.inherit(t, recorded, now)
			}
			tasks = append(tasks, t)
		}
		o.steps = append(o.steps, tasks)
	}
	return o
}

// inherit adds the recorded run of a task to its worker. If the worker is lost already, so is the run.
func (s *Scheduler) inherit(t *task, recorded job.Task, now time.Duration) {
	w := s.worker(recorded.Worker)
	w.knownBefore = true
	w.inheritsLongLease = w.inheritsLongLease || recorded.LongLease
	w.longLeaseRecorded = w.longLeaseRecorded || recorded.LongLease
	if recorded.WorkerStart.After(w.recordedStart) {
		w.recordedStart = recorded.WorkerStart
	}
	if w.reportedAt > 0 && s.restartedBefore(w) {
		s.noteRestartLease(w, now) // it has reported before the record was loaded
	}
	if w.lost {
		s.config.EventLog.RunDropped(t.ref, t.attempt, recorded.Worker, "worker was lost before the job was loaded")
		t.release()
		return
	}
	t.assign(w, stageInherited)
	if t.step.Backfill {
		t.cpuShare = unknownCPUShare
	}
}

func (j *activeJob) newTask(number, step, index int) *task {
	return &task{
		job: j, ref: acaciatally.TaskRef{Job: j.id, Occurrence: number, Step: step, Index: index},
		step: &j.accepted.Spec.Steps[step], cpuShare: fullPercent, cpuShareWanted: fullPercent,
	}
}

// openDueOccurrences opens the occurrences that are due, as many as one record of the job can hold. The others are opened once earlier
// ones are done.
func (s *Scheduler) openDueOccurrences(j *activeJob, now time.Duration, timeOfDay time.Time) {
	for j.live() && j.nextOccurrence < job.Occurrences(j.accepted.Spec) && s.occurrenceDue(j, timeOfDay) && s.occurrenceFits(j) {
		o := &occurrence{number: j.nextOccurrence, openedAt: now}
		for step := range j.accepted.Spec.Steps {
			var tasks []*task
			for index := range j.accepted.Spec.Steps[step].Count {
				tasks = append(tasks, j.newTask(j.nextOccurrence, step, index))
			}
			o.steps = append(o.steps, tasks)
		}
		j.openOccurrences = append(j.openOccurrences, o)
		j.nextOccurrence++
		j.placementDue = true
		s.countBacklog(j)
	}
}

// occurrenceDue reports whether the next occurrence is due.
func (s *Scheduler) occurrenceDue(j *activeJob, timeOfDay time.Time) bool {
	spec := &j.accepted.Spec
	if spec.Repeat == 0 {
		return true
	}
	return !timeOfDay.Before(spec.FirstAt.Add(time.Duration(j.nextOccurrence) * spec.Interval))
}

// occurrenceFits reports whether the job's record and the memory for jobs can hold one more occurrence. The first one always fits: larger jobs are
// not accepted, and its memory is counted from the beginning.
func (s *Scheduler) occurrenceFits(j *activeJob) bool {
	open := len(j.openOccurrences)
	if open == 0 {
		return true
	}
	if !s.backlog.HasRoom(sourceOf(&j.accepted), backlog.OccurrenceBytes(&j.accepted.Spec)) {
		return false
	}
	workerBytes := job.AccountBytes(j.accepted.Account)
	for id := range s.workers {
		workerBytes += job.WorkerBytes(id)
	}
	return job.MaxProgressBytes(j.accepted.Spec, open+1, workerBytes) <= s.config.MaxRecordBytes
}

// CancelJob handles a recorded cancel request. The record of a request for an unknown job is deleted.
func (s *Scheduler) CancelJob(queue acaciatally.QueueName, id acaciatally.JobID) {
	j := s.jobs[id]
	if s.cancelDeferred(queue, id) {
		return
	}
	if j == nil || j.accepted.Queue.Name != queue {
		s.partition(queue).staleCancels = append(s.partition(queue).staleCancels, id)
		return
	}
	j.hasCancelRecord = true
	if j.live() {
		s.endJob(j, acaciatally.JobCancelled)
		return
	}
	j.dirty = true // the cancel record has to be deleted
	j.recordsDeleted = false
}

// cancelDeferred notes a cancel request for a deferred job, which takes effect when the job is loaded, and returns whether there is one.
func (s *Scheduler) cancelDeferred(queue acaciatally.QueueName, id acaciatally.JobID) bool {
	if d := s.deferred(queue, id); d != nil {
		d.cancel = true
		return true
	}
	return false
}

// deferred returns the deferred job of a queue, or nil.
func (s *Scheduler) deferred(queue acaciatally.QueueName, id acaciatally.JobID) *deferredJob {
	for i := range s.deferredJobs {
		if d := &s.deferredJobs[i]; d.jobID == id && d.accepted.Queue.Name == queue {
			return d
		}
	}
	return nil
}

// deferJob defers a job, unless it is deferred already.
func (s *Scheduler) deferJob(d deferredJob) {
	if s.deferred(d.accepted.Queue.Name, d.jobID) == nil {
		s.countDeferred(&d, 1)
		s.deferredJobs = append(s.deferredJobs, d)
	}
}

// endJob sets the final state of the job and stops its remaining runs.
func (s *Scheduler) endJob(j *activeJob, state acaciatally.JobState) {
	j.state = state
	j.dirty = true
	s.config.EventLog.JobEnded(j.id, j.accepted.Queue.Name, state)
	j.eachTask(func(t *task) {
		if t.assigned() {
			s.stopTask(t, stopJobEnded)
		}
	})
}

// stopTask requests that a run is stopped; a run whose start was never sent is released at once.
func (s *Scheduler) stopTask(t *task, reason stopReason) {
	if t.stage == stagePlanned || (t.stage == stageRecorded && t.startAttempts == 0) {
		s.config.EventLog.RunDropped(t.ref, t.attempt, t.workerID(), string(reason))
		t.release()
		return
	}
	if t.stopReason == "" || reason == stopJobEnded {
		t.stopReason = reason
		t.markOrderDue()
	}
}

// dropEndedJobs drops ended jobs whose end is recorded and that have no assigned tasks.
func (s *Scheduler) dropEndedJobs(now time.Duration) {
	for id, j := range s.jobs {
		if j.live() || j.dirty || j.inCommit || !j.endRecorded() {
			continue
		}
		assigned := false
		j.eachTask(func(t *task) { assigned = assigned || t.assigned() })
		if !assigned {
			s.countAccountBegin(j)
			s.setBacklogBytes(j, 0)
			delete(s.jobs, id)
			s.dropPermissions(id)
			s.loadDeferred(id, now)
		}
	}
}

// loadDeferred loads the jobs that were deferred because another queue's job had the same ID.
func (s *Scheduler) loadDeferred(id acaciatally.JobID, now time.Duration) {
	waiting := s.deferredJobs
	s.deferredJobs = nil
	for _, d := range waiting {
		if d.jobID != id {
			s.deferredJobs = append(s.deferredJobs, d)
			continue
		}
		s.countDeferred(&d, -1)
		s.LoadJob(d.jobID, d.accepted, d.progress, 0, now)
		if d.cancel {
			s.CancelJob(d.accepted.Queue.Name, d.jobID)
		}
	}
}
