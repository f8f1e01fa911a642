package task

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// outOfMemory is the reason that a worker reports for an attempt that it killed because of its memory usage.
const outOfMemory = "OutOfMemory"

// memoryGrowthFactor is the factor by which a task's memory is raised after an attempt ran out of memory.
const memoryGrowthFactor = 2

// Report processes the workers' lagged reports; reports on attempts other than a task's current one are ignored.
func (s *Scheduler) Report(usage []acaciatally.TaskUsage, now time.Time) {
	if now.Sub(s.lastReportAt) > s.config.MaxReportLag {
		s.reportsSince = now
	}
	s.lastReportAt = now
	for _, report := range usage {
		j, found := s.jobs[report.Task]
		if !found || report.Attempt != j.record.Attempt || s.live[report.Task] == nil {
			continue
		}
		s.recordUsage(j, report)
		if j.next == nil {
			s.handleEnd(j, report, now)
		}
	}
}

// recordUsage keeps the resource usage and the checkpoint of a report.
func (s *Scheduler) recordUsage(j *job, report acaciatally.TaskUsage) {
	a := &j.attempt
	s.worker(j.record.Worker).recordContact()
	a.startConfirmed = true
	a.lastContactAt = laterTime(a.lastContactAt, report.ReportedAt)
	a.peak = maxResources(a.peak, report.Used)
	a.unthrottledUsageSeen = a.unthrottledUsageSeen || (!a.wasThrottled && report.Used.Processors > 0)
	if report.Checkpoint != "" {
		a.checkpoint = report.Checkpoint
	}
	if report.State == acaciatally.TaskRunning {
		a.latestLeaseEnd = laterTime(a.latestLeaseEnd, report.ReportedAt.Add(s.config.LeaseTerm))
	}
	if !a.usageRecorded && report.Used.Memory > 0 {
		a.usageRecorded = true
		s.estimator.Observe(j.record.Spec, report.Used, a.wasThrottled)
	}
}

// handleEnd proposes the next record of a task whose attempt is reported as ended.
func (s *Scheduler) handleEnd(j *job, report acaciatally.TaskUsage, now time.Time) {
	if report.State == acaciatally.TaskRunning {
		return
	}
	j.attempt.stopped = true
	if j.record.Phase.Ended() {
		delete(s.live, j.record.Spec.ID)
		return
	}
	if report.State == acaciatally.TaskStopped && j.record.Phase == Placed && !j.attempt.rereadRequested {
		// The controller did not order this stop, so the task has probably been cancelled: its row is reread before the next report is
		// acted on.
		j.attempt.rereadRequested = true
		j.readAt = time.Time{}
		return
	}
	record := j.record
	record.Peak = maxResources(record.Peak, j.attempt.peak)
	switch report.State {
	case acaciatally.TaskDone:
		s.worker(record.Worker).recordSuccess()
		s.estimator.statsFor(record.Spec).successes++
		s.propose(j, record.withDecision(now, Done, "ran to its end on "+string(record.Worker)))
	case acaciatally.TaskFailed:
		s.propose(j, s.nextAfterFailure(j, record, report, now))
	case acaciatally.TaskStopped, acaciatally.TaskLeaseExpired:
		s.propose(j, s.nextAfterStop(j, record, report.State, now))
	}
}

func (s *Scheduler) nextAfterFailure(j *job, record Record, report acaciatally.TaskUsage, now time.Time) Record {
	reason := fmt.Sprintf("failed on %s: %.100s", record.Worker, report.Reason)
	if report.Reason == outOfMemory {
		record.NeedMemory = max(record.NeedMemory, memoryGrowthFactor*record.Granted.Memory, record.Peak.Memory)
	} else {
		s.worker(record.Worker).recordFailure(record.Spec, now)
		record.Failures = append(record.Failures[:len(record.Failures):len(record.Failures)], Failure{Worker: record.Worker, At: now})
		record.Failures = record.Failures[max(0, len(record.Failures)-maxFailureStreak):]
	}
	if !record.Spec.Idempotent {
		return record.withDecision(now, Failed, reason)
	}
	if report.Reason == outOfMemory && record.Granted.Memory >= s.largestCapacity().Memory {
		return record.withDecision(now, Impossible, "ran out of memory with all of the largest worker: "+formatResources(record.Granted))
	}
	record.Checkpoint = j.attempt.checkpoint
	j.retryAt = now.Add(min(probationBackoff<<min(len(record.Failures), maxFailureStreak), maxProbationBackoff))
	return record.requeued(now, reason)
}

// nextAfterStop returns the next record of a task whose attempt ended without success or failure. A non-idempotent task continues only
// from a checkpoint that was written after the attempt had been paused and not resumed since.
func (s *Scheduler) nextAfterStop(j *job, record Record, state acaciatally.TaskRunState, now time.Time) Record {
	reason := fmt.Sprintf("attempt %d on %s ended: %s", record.Attempt, record.Worker, state)
	if record.Spec.Idempotent || (state == acaciatally.TaskStopped && j.hasFinalCheckpoint()) {
		record.Checkpoint = j.attempt.checkpoint
		return record.requeued(now, reason)
	}
	return record.withDecision(now, Unknown, reason+"; not idempotent, so it is not run again")
}

// expireAttempt ends an attempt without reports once its lease must have expired, so that it cannot be running any more.
func (s *Scheduler) expireAttempt(j *job, now time.Time) {
	a := &j.attempt
	if j.record.Phase.Ended() {
		if !s.tracksAttempt(j, now) {
			delete(s.live, j.record.Spec.ID)
		}
		return
	}
	if !a.mayHaveStarted && !a.startConfirmed {
		s.abandonStart(j, now)
		return
	}
	endBy := a.latestLeaseEnd.Add(s.config.MaxClockSkew)
	if !a.endedAt.IsZero() {
		endBy = a.endedAt
	}
	if now.Before(endBy.Add(s.config.MaxReportLag)) || !s.reportsCurrent(now) {
		return
	}
	state := acaciatally.TaskLeaseExpired
	if a.stopped {
		state = acaciatally.TaskStopped
	}
	s.worker(j.record.Worker).recordLostAttempt(now)
	record := j.record
	record.Peak = maxResources(record.Peak, a.peak)
	s.propose(j, s.nextAfterStop(j, record, state, now))
}

// reportsCurrent reports whether usage reports have arrived without a gap for MaxReportLag, which tells a lost attempt from an outage of
// all reports.
func (s *Scheduler) reportsCurrent(now time.Time) bool {
	return now.Sub(s.lastReportAt) <= s.config.MaxReportLag && now.Sub(s.reportsSince) >= s.config.MaxReportLag
}

// maxStartDelay limits how long a placed task waits for preempted tasks to free its resources.
const maxStartDelay = 10 * time.Second

// abandonStart requeues a task whose start has certainly had no effect, unless its resources are still expected to become free.
func (s *Scheduler) abandonStart(j *job, now time.Time) {
	worker := s.worker(j.record.Worker).worker
	spaceExpected := worker.State == Serving && canStart(j.record.Granted, subtract(worker.Capacity, s.remainingUsage[worker.ID]))
	if spaceExpected && now.Sub(j.attempt.knownSince) < maxStartDelay && now.Before(j.record.StartBy) {
		return
	}
	s.propose(j, j.record.requeued(now, "could not be started on "+string(j.record.Worker)))
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
