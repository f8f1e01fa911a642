package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// Load takes in a job as the records describe it, which was accepted some time ago; runs that they name may exist.
func (m *Machine) Load(id acaciatally.JobID, accepted job.Accepted, progress job.Progress, age, now time.Duration) {
	if m.finished[jobKey{accepted.Queue.Name, id}] {
		return
	}
	if other := m.jobs[id]; other != nil {
		if other.accepted.Queue.Name != accepted.Queue.Name {
			m.deferred = append(m.deferred, deferredJob{id, accepted, progress})
		}
		return
	}
	j := &activeJob{
		id: id, accepted: accepted, state: progress.State, digest: progress.Digest, next: progress.Next, arrived: now - min(max(0, age), longestAge),
		waitingRow: progress.State == acaciatally.JobQueued && accepted.Spec.Repeat == 0, changed: true,
		lasting: slices.ContainsFunc(accepted.Spec.Steps, func(step acaciatally.Step) bool { return step.Lasting }),
	}
	if m.configuration != nil {
		for _, queue := range m.configuration.Queues {
			if queue.Name == accepted.Queue.Name {
				j.accepted.Queue = queue
			}
		}
	}
	for _, open := range progress.Open {
		j.open = append(j.open, m.loadOccurrence(j, open, now))
	}
	m.jobs[id] = j
	m.noteArrival(j, now)
	m.partition(accepted.Queue.Name)
	m.config.Journal.JobTaken(id, accepted.Queue.Name, progress.State)
}

// longestAge bounds the age of a job that is taken in, since the clocks of entries may be apart.
const longestAge = time.Minute

func (m *Machine) loadOccurrence(j *activeJob, open job.Occurrence, now time.Duration) *occurrence {
	o := &occurrence{number: open.Number, opened: now}
	for step := range open.Steps {
		var tasks []*task
		for index, recorded := range open.Steps[step] {
			t := j.newTask(open.Number, step, index)
			t.phase, t.attempt, t.failures, t.checkpoint = recorded.Phase, recorded.Attempt, recorded.Failures, recorded.Checkpoint
			t.moved = now
			if t.phase == job.Assigned {
				t.assign(m.worker(recorded.Worker), unknown)
			}
			tasks = append(tasks, t)
		}
		o.steps = append(o.steps, tasks)
	}
	return o
}

func (j *activeJob) newTask(number, step, index int) *task {
	return &task{
		job: j, ref: acaciatally.TaskRef{Job: j.id, Occurrence: number, Step: step, Index: index},
		step: &j.accepted.Spec.Steps[step], pace: fullPace, paceWanted: fullPace,
	}
}

// begin opens the occurrences whose time has come; wall is the time of day.
func (m *Machine) begin(j *activeJob, now time.Duration, wall time.Time) {
	for j.live() && j.next < job.Occurrences(j.accepted.Spec) && m.due(j, wall) {
		o := &occurrence{number: j.next, opened: now}
		for step := range j.accepted.Spec.Steps {
			var tasks []*task
			for index := range j.accepted.Spec.Steps[step].Count {
				tasks = append(tasks, j.newTask(j.next, step, index))
			}
			o.steps = append(o.steps, tasks)
		}
		j.open = append(j.open, o)
		j.next++
		j.changed = true
	}
}

// due reports whether the next occurrence may start.
func (m *Machine) due(j *activeJob, wall time.Time) bool {
	spec := &j.accepted.Spec
	if spec.Repeat == 0 {
		return true
	}
	return !wall.Before(spec.FirstAt.Add(time.Duration(j.next) * spec.Interval))
}

// Cancel takes in a recorded request to cancel a job.
func (m *Machine) Cancel(queue acaciatally.QueueName, id acaciatally.JobID) {
	j := m.jobs[id]
	if j == nil || j.accepted.Queue.Name != queue {
		m.partition(queue).stray = append(m.partition(queue).stray, job.CancelKey(queue, id))
		return
	}
	j.cancelKey = true
	if j.live() {
		m.finish(j, acaciatally.JobCancelled)
		return
	}
	j.dirty = true // the request is to be deleted
	j.cleared = false
}

// finish gives the job its final state and stops what still runs of it.
func (m *Machine) finish(j *activeJob, state acaciatally.JobState) {
	j.state = state
	j.dirty = true
	m.config.Journal.JobEnded(j.id, j.accepted.Queue.Name, state)
	j.tasks(func(t *task) {
		if t.assigned() {
			m.stopTask(t, stopJobEnded)
		}
	})
}

// stopTask asks for a run to be stopped; a run that was never ordered is released at once.
func (m *Machine) stopTask(t *task, reason stopReason) {
	if t.stage == planned || (t.stage == recorded && t.tries == 0) {
		m.config.Journal.RunDropped(t.ref, t.attempt, t.workerID(), string(reason))
		t.release()
		return
	}
	if t.stop == "" || reason == stopJobEnded {
		t.stop = reason
	}
}
