package task

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// outOfMemory is the reason of an attempt that its worker killed for its use of memory.
const outOfMemory = "OutOfMemory"

// memoryGrowth is the factor by which the memory of a task is raised after it ran out.
const memoryGrowth = 2

// Report takes in the workers' lagged reports; reports on other than the present attempt are ignored.
func (m *Machine) Report(usage []acaciatally.TaskUsage, now time.Time) {
	if now.Sub(m.reportedAt) > m.config.ReportGrace {
		m.reportsSince = now
	}
	m.reportedAt = now
	for _, report := range usage {
		j, found := m.jobs[report.Task]
		if !found || report.Attempt != j.record.Attempt || m.live[report.Task] == nil {
			continue
		}
		m.observe(j, report)
		if j.next == nil {
			m.conclude(j, report, now)
		}
	}
}

// observe keeps what a report says about the use of resources and the checkpoints.
func (m *Machine) observe(j *job, report acaciatally.TaskUsage) {
	a := &j.attempt
	m.worker(j.record.Worker).heard()
	a.confirmed = true
	a.heardAt = laterOf(a.heardAt, report.ReportedAt)
	a.peak = largest(a.peak, report.Used)
	a.seenFull = a.seenFull || (!a.throttled && report.Used.Processors > 0)
	if report.Checkpoint != "" {
		a.checkpoint = report.Checkpoint
	}
	if report.State == acaciatally.TaskRunning {
		a.endsBy = laterOf(a.endsBy, report.ReportedAt.Add(m.config.Term))
	}
	if !a.observed && report.Used.Memory > 0 {
		a.observed = true
		m.learner.Observe(j.record.Spec, report.Used, a.throttled)
	}
}

// conclude proposes the record that follows from the end of an attempt.
func (m *Machine) conclude(j *job, report acaciatally.TaskUsage, now time.Time) {
	if report.State == acaciatally.TaskRunning {
		return
	}
	j.attempt.stopped = true
	if j.record.Phase.Ended() {
		delete(m.live, j.record.Spec.ID)
		return
	}
	if report.State == acaciatally.TaskStopped && j.record.Phase == Placed && !j.attempt.checked {
		// The controller did not stop it, so its row has probably been cancelled: it is read before the next report is believed.
		j.attempt.checked = true
		j.readAt = time.Time{}
		return
	}
	record := j.record
	record.Peak = largest(record.Peak, j.attempt.peak)
	switch report.State {
	case acaciatally.TaskDone:
		m.worker(record.Worker).succeeded()
		m.learner.habit(record.Spec).successes++
		m.propose(j, record.decided(now, Done, "ran to its end on "+string(record.Worker)))
	case acaciatally.TaskFailed:
		m.propose(j, m.afterFailure(j, record, report, now))
	case acaciatally.TaskStopped, acaciatally.TaskLeaseExpired:
		m.propose(j, m.afterStop(j, record, report.State, now))
	}
}

func (m *Machine) afterFailure(j *job, record Record, report acaciatally.TaskUsage, now time.Time) Record {
	reason := fmt.Sprintf("failed on %s: %.100s", record.Worker, report.Reason)
	if report.Reason == outOfMemory {
		record.NeedMemory = max(record.NeedMemory, memoryGrowth*record.Granted.Memory, record.Peak.Memory)
	} else {
		m.worker(record.Worker).failed(record.Spec, now)
		record.Failures = append(record.Failures[:len(record.Failures):len(record.Failures)], Failure{Worker: record.Worker, At: now})
		record.Failures = record.Failures[max(0, len(record.Failures)-maxStreak):]
	}
	if !record.Spec.Idempotent {
		return record.decided(now, Failed, reason)
	}
	if report.Reason == outOfMemory && record.Granted.Memory >= m.greatest().Memory {
		return record.decided(now, Impossible, "ran out of memory with all of the largest worker: "+describe(record.Granted))
	}
	record.Checkpoint = j.attempt.checkpoint
	j.retryAt = now.Add(min(probationWait<<min(len(record.Failures), maxStreak), maxProbation))
	return record.freed(now, reason)
}

// afterStop decides about an attempt that ended without success or failure. A non-idempotent task runs on only from a checkpoint
// that was written while the attempt was paused for good.
func (m *Machine) afterStop(j *job, record Record, state acaciatally.TaskRunState, now time.Time) Record {
	reason := fmt.Sprintf("attempt %d on %s ended: %s", record.Attempt, record.Worker, state)
	if record.Spec.Idempotent || (state == acaciatally.TaskStopped && j.frozen()) {
		record.Checkpoint = j.attempt.checkpoint
		return record.freed(now, reason)
	}
	return record.decided(now, Unknown, reason+"; not idempotent, so it is not run again")
}

// lapse ends attempts of which nothing has been heard for so long that they cannot be running any more.
func (m *Machine) lapse(j *job, now time.Time) {
	a := &j.attempt
	if j.record.Phase.Ended() {
		if !m.mayRun(j, now) {
			delete(m.live, j.record.Spec.ID)
		}
		return
	}
	if !a.maybe && !a.confirmed {
		m.giveUpStart(j, now)
		return
	}
	heardBy := a.endsBy.Add(m.config.Skew)
	if !a.over.IsZero() {
		heardBy = a.over
	}
	if now.Before(heardBy.Add(m.config.ReportGrace)) || !m.reportsFlow(now) {
		return
	}
	state := acaciatally.TaskLeaseExpired
	if a.stopped {
		state = acaciatally.TaskStopped
	}
	m.worker(j.record.Worker).silent(now)
	record := j.record
	record.Peak = largest(record.Peak, a.peak)
	m.propose(j, m.afterStop(j, record, state, now))
}

// reportsFlow tells silence of an attempt from silence of all reports.
func (m *Machine) reportsFlow(now time.Time) bool {
	return now.Sub(m.reportedAt) <= m.config.ReportGrace && now.Sub(m.reportsSince) >= m.config.ReportGrace
}

// startPatience bounds the wait of a placed task for the room that others make for it.
const startPatience = 10 * time.Second

// giveUpStart frees a task whose start has certainly had no effect.
func (m *Machine) giveUpStart(j *job, now time.Time) {
	worker := m.worker(j.record.Worker).worker
	roomComes := worker.State == Serving && roomFor(j.record.Granted, minus(worker.Capacity, m.staying[worker.ID]))
	if roomComes && now.Sub(j.attempt.since) < startPatience && now.Before(j.record.StartBy) {
		return
	}
	m.propose(j, j.record.freed(now, "could not be started on "+string(j.record.Worker)))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
