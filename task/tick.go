package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// waitReasonDelay saves the write of the wait reason for tasks that start soon.
	waitReasonDelay = 5 * time.Second
	// waitReasonInterval limits the writes for a task whose wait reason keeps changing.
	waitReasonInterval = time.Minute
	// maxWaitReasons limits the rows written for wait reasons in one round.
	maxWaitReasons = 20
)

// Tick applies what follows from the passing of time and plans placements. It only proposes records; Saves and Orders return what
// follows from them.
func (m *Scheduler) Tick(now time.Time) {
	m.remainingUsage = map[acaciatally.InstanceID]acaciatally.Resources{}
	for id, use := range m.sumUsage((*job).remainingUsage) {
		m.remainingUsage[id] = use.inUse
	}
	for _, j := range m.sortedLive() {
		if j.next == nil {
			m.expireAttempt(j, now)
		}
	}
	m.expireEnded(now)
	m.endImpossible(now)
	m.vacateDraining(now)
	m.relieveOverloadedWorkers(now)
	loads := m.workerLoads(now)
	candidates, unplaced := m.candidates(now)
	plan := MakePlan(PlanInput{
		Now: now, Candidates: candidates, WorkerLoads: loads, Quotas: m.fleet.Quotas, Floors: m.config.Floors, MaxStarts: m.config.MaxStarts,
	})
	m.applyPlan(plan, now)
	m.unthrottle(loads, now)
	m.recordWaitReasons(append(unplaced, plan.Unplaced...), now)
}

func (m *Scheduler) expireEnded(now time.Time) {
	for _, j := range m.jobs {
		if j.record.Phase.Ended() && j.next == nil && m.live[j.record.Spec.ID] == nil {
			m.expire(j.record, j.version, now)
		}
	}
}

// endImpossible ends the waiting tasks that can never run.
func (m *Scheduler) endImpossible(now time.Time) {
	for _, j := range m.jobs {
		if j.record.Phase != Waiting || j.next != nil {
			continue
		}
		if reason := m.impossibleReason(j); reason != "" {
			m.propose(j, j.record.withDecision(now, Impossible, reason))
		}
	}
}

// candidates returns the tasks that may be placed now, and those that fit on no worker of the pool with the reason.
func (m *Scheduler) candidates(now time.Time) (candidates []Candidate, unplaced []Unplaced) {
	for _, j := range m.jobs {
		if j.record.Phase != Waiting || j.next != nil || now.Before(j.retryAt) {
			continue
		}
		required := m.requiredResources(j)
		if !m.anyFits(required, false) {
			reason := fmt.Sprintf("needs %s; no worker of the pool is as large, one of another pool is", formatResources(required))
			unplaced = append(unplaced, Unplaced{Task: j.record.Spec.ID, Reason: reason})
			continue
		}
		candidates = append(candidates, m.newCandidate(j, required))
	}
	return candidates, unplaced
}

func (m *Scheduler) newCandidate(j *job, need acaciatally.Resources) Candidate {
	candidate := Candidate{
		Task: j.record.Spec.ID, Team: j.record.Spec.Team, Urgency: j.record.Spec.Urgency, Need: need,
		Accepted: j.record.Accepted, AvoidWorkers: failedWorkers(j.record), UnknownUsage: !m.estimator.HasSamples(j.record.Spec) && !j.useDeclared,
	}
	if m.config.Baseline == BaselineArrivalOrder {
		candidate.Team, candidate.Urgency = "", acaciatally.Background
	}
	return candidate
}

// requiredResources returns what a task is placed with: the estimated usage, capped at the largest worker that holds the declared
// resources.
func (m *Scheduler) requiredResources(j *job) acaciatally.Resources {
	need := m.estimator.Estimate(j.record.Spec)
	if j.useDeclared {
		need = j.record.Spec.Declared
	}
	need.Memory = max(need.Memory, j.record.NeedMemory)
	if m.anyFits(need, false) {
		return need
	}
	largestFit := need
	for _, worker := range m.fleet.Workers {
		capped := minResources(need, worker.Capacity)
		if fits(minResources(j.record.Spec.Declared, need), worker.Capacity) && (largestFit == need || capped.Memory > largestFit.Memory) {
			largestFit = capped
		}
	}
	return largestFit
}

func failedWorkers(record Record) (workers []acaciatally.InstanceID) {
	for _, failure := range record.Failures {
		workers = append(workers, failure.Worker)
	}
	return workers
}

// workerLoads returns the workers with their placements and free resources; placed attempts that have not been started yet are included.
func (m *Scheduler) workerLoads(now time.Time) []WorkerLoad {
	loads := make([]WorkerLoad, 0, len(m.fleet.Workers))
	loadIndex := map[acaciatally.InstanceID]int{}
	for _, worker := range m.fleet.Workers {
		loadIndex[worker.ID] = len(loads)
		loads = append(loads, WorkerLoad{
			Worker: worker.ID, Capacity: worker.Capacity, Free: worker.Capacity, StartLimit: m.worker(worker.ID).startLimit(now),
		})
	}
	for _, j := range m.sortedLive() {
		index, found := loadIndex[j.record.Worker]
		if !found {
			continue
		}
		load := &loads[index]
		usage := j.targetUsage()
		load.Free = subtract(load.Free, usage)
		load.RunsUnknownUsage = load.RunsUnknownUsage || (j.attempt.peak.Memory == 0 && !m.estimator.HasSamples(j.record.Spec))
		load.Placements = append(load.Placements, Placement{
			Task: j.record.Spec.ID, Team: j.record.Spec.Team, Urgency: j.record.Spec.Urgency, Allocated: usage,
			Share: j.attempt.targetShare, Preemptible: j.preemptible(), UnsavedSince: j.unsavedSince(),
		})
	}
	return loads
}

func (j *job) unsavedSince() time.Time {
	return laterTime(j.attempt.knownSince, j.attempt.checkpointOrderedAt)
}

func (m *Scheduler) applyPlan(plan Plan, now time.Time) {
	for _, preemption := range plan.Preemptions {
		j := m.jobs[preemption.Task]
		if preemption.Vacate {
			m.vacate(j, now, m.config.UrgentVacateTimeout, preemption.Reason)
			continue
		}
		j.attempt.targetShare = preemption.Share
		j.addDecision(now, fmt.Sprintf("throttled to %.2f: %s", preemption.Share, preemption.Reason))
	}
	for _, start := range plan.Starts {
		j := m.jobs[start.Task]
		record := j.record
		record.Worker, record.Granted = start.Worker, start.Granted
		record.Attempt++
		record.StartBy = now.Add(m.config.LeaseTerm)
		m.propose(j, record.withDecision(now, Placed, start.Reason))
	}
}

// vacate proposes that an attempt leaves its worker, with a checkpoint if one is written within the timeout.
func (m *Scheduler) vacate(j *job, now time.Time, timeout time.Duration, reason string) {
	if !j.preemptible() {
		return
	}
	j.attempt.vacateDeadline = now.Add(timeout)
	j.attempt.checkpointOrderedAt = time.Time{}
	j.attempt.previousCheckpoint = j.attempt.checkpoint
	m.propose(j, j.record.withDecision(now, Vacating, reason))
}

// vacateDraining vacates the attempts on draining workers that can write checkpoints; the others run until they end.
func (m *Scheduler) vacateDraining(now time.Time) {
	for _, j := range m.sortedLive() {
		worker := m.worker(j.record.Worker)
		if worker.worker.State == Draining && j.record.Spec.Checkpoints && j.attempt.startConfirmed {
			m.vacate(j, now, m.config.VacateTimeout, string(j.record.Worker)+" is leaving")
		}
	}
}

// relieveOverloadedWorkers frees what the reported usage of a worker exceeds, from the least urgent attempts first. Any attempt is
// vacated for memory, since a lack of memory kills tasks; for processors, only attempts that slow down more urgent ones are throttled.
func (m *Scheduler) relieveOverloadedWorkers(now time.Time) {
	usage := m.sumUsage((*job).targetUsage)
	live := m.sortedLive()
	mostUrgent := map[acaciatally.InstanceID]acaciatally.Urgency{}
	for _, j := range live {
		if _, found := mostUrgent[j.record.Worker]; !found {
			mostUrgent[j.record.Worker] = j.record.Spec.Urgency
		}
	}
	slices.Reverse(live)
	for _, j := range live {
		use, found := usage[j.record.Worker]
		if !found || use.capacity.Memory == 0 || !j.mayBeRunning() || j.record.Phase != Placed {
			continue
		}
		if use.inUse.Memory > use.capacity.Memory && j.preemptible() {
			use.inUse = subtract(use.inUse, j.targetUsage())
			m.vacate(j, now, m.config.UrgentVacateTimeout, fmt.Sprintf("the tasks on %s use more memory than it has", j.record.Worker))
			continue
		}
		slowsMoreUrgent := j.record.Spec.Urgency > mostUrgent[j.record.Worker] && j.attempt.targetShare > minProcessorShare
		if slowsMoreUrgent && use.inUse.Processors > use.capacity.Processors+roundingTolerance {
			use.inUse.Processors -= j.targetUsage().Processors
			j.attempt.targetShare = minProcessorShare
			use.inUse.Processors += j.targetUsage().Processors
			j.addDecision(now, "throttled, since the tasks on the worker use more processors than it has")
		}
	}
}

// unthrottle lifts the throttling of attempts where the plan left enough processors free.
func (m *Scheduler) unthrottle(loads []WorkerLoad, now time.Time) {
	for i := range loads {
		load := &loads[i]
		for _, placement := range load.Placements {
			j := m.jobs[placement.Task]
			missing := j.unthrottledUsage().Processors * (1 - j.attempt.targetShare)
			if j.record.Phase != Placed || j.attempt.targetShare >= 1 || missing > load.Free.Processors+roundingTolerance {
				continue
			}
			load.Free.Processors -= missing
			j.attempt.targetShare = 1
			j.addDecision(now, "given its processors back")
		}
	}
}

// recordWaitReasons proposes to write the wait reasons of up to maxWaitReasons tasks that have waited for waitReasonDelay.
func (m *Scheduler) recordWaitReasons(unplaced []Unplaced, now time.Time) {
	slices.SortFunc(unplaced, func(a, b Unplaced) int { return cmp.Compare(a.Task, b.Task) })
	written := 0
	for _, task := range unplaced {
		j := m.jobs[task.Task]
		due := now.Sub(j.record.Accepted) >= waitReasonDelay && now.Sub(j.reasonWrittenAt) >= waitReasonInterval
		if written == maxWaitReasons || j.next != nil || task.Reason == j.record.Reason || !due {
			continue
		}
		j.reasonWrittenAt = now
		written++
		m.propose(j, j.record.withDecision(now, Waiting, task.Reason))
	}
}
