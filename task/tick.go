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

// Tick handles what is due at the given time, such as expired leases and retention periods, and plans placements. It only proposes
// records; PendingWrites and Orders return the rows and the orders that follow from them.
func (s *Scheduler) Tick(now time.Time) {
	s.remainingUsage = map[acaciatally.InstanceID]acaciatally.Resources{}
	for id, use := range s.sumUsage((*job).remainingUsage) {
		s.remainingUsage[id] = use.inUse
	}
	for _, j := range s.sortedLive() {
		if j.next == nil {
			s.expireAttempt(j, now)
		}
	}
	s.expireEnded(now)
	s.endImpossible(now)
	s.vacateDraining(now)
	s.relieveOverloadedWorkers(now)
	loads := s.workerLoads(now)
	candidates, unplaced := s.candidates(now)
	plan := MakePlan(PlanInput{
		Now: now, Candidates: candidates, WorkerLoads: loads, Quotas: s.poolView.Quotas, Floors: s.config.Floors, MaxStarts: s.config.MaxStarts,
	})
	s.applyPlan(plan, now)
	s.unthrottle(loads, now)
	s.recordWaitReasons(append(unplaced, plan.Unplaced...), now)
}

func (s *Scheduler) expireEnded(now time.Time) {
	for _, j := range s.jobs {
		if j.record.Phase.Ended() && j.next == nil && s.live[j.record.Spec.ID] == nil {
			s.expire(j.record, j.version, now)
		}
	}
}

// endImpossible ends the waiting tasks that can never run.
func (s *Scheduler) endImpossible(now time.Time) {
	for _, j := range s.jobs {
		if j.record.Phase != Waiting || j.next != nil {
			continue
		}
		if reason := s.impossibleReason(j); reason != "" {
			s.propose(j, j.record.withDecision(now, Impossible, reason))
		}
	}
}

// candidates returns the tasks that may be placed now, and those that fit on no worker of the pool with the reason.
func (s *Scheduler) candidates(now time.Time) (candidates []Candidate, unplaced []Unplaced) {
	for _, j := range s.jobs {
		if j.record.Phase != Waiting || j.next != nil || now.Before(j.retryAt) {
			continue
		}
		required := s.requiredResources(j)
		if !s.anyFits(required, false) {
			reason := fmt.Sprintf("needs %s; no worker of the pool is as large, one of another pool is", formatResources(required))
			unplaced = append(unplaced, Unplaced{Task: j.record.Spec.ID, Reason: reason})
			continue
		}
		candidates = append(candidates, s.newCandidate(j, required))
	}
	return candidates, unplaced
}

func (s *Scheduler) newCandidate(j *job, need acaciatally.Resources) Candidate {
	candidate := Candidate{
		Task: j.record.Spec.ID, Team: j.record.Spec.Team, Urgency: j.record.Spec.Urgency, Need: need,
		Accepted: j.record.Accepted, AvoidWorkers: failedWorkers(j.record), UnknownUsage: !s.estimator.HasSamples(j.record.Spec) && !j.useDeclared,
	}
	if s.config.Baseline == BaselineArrivalOrder {
		candidate.Team, candidate.Urgency = "", acaciatally.Background
	}
	return candidate
}

// requiredResources returns what a task is placed with: the estimated usage, capped at the largest worker that holds the declared
// resources.
func (s *Scheduler) requiredResources(j *job) acaciatally.Resources {
	need := s.estimator.Estimate(j.record.Spec)
	if j.useDeclared {
		need = j.record.Spec.Declared
	}
	need.Memory = max(need.Memory, j.record.NeedMemory)
	if s.anyFits(need, false) {
		return need
	}
	largestFit := need
	for _, worker := range s.poolView.Workers {
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
func (s *Scheduler) workerLoads(now time.Time) []WorkerLoad {
	loads := make([]WorkerLoad, 0, len(s.poolView.Workers))
	loadIndex := map[acaciatally.InstanceID]int{}
	for _, worker := range s.poolView.Workers {
		loadIndex[worker.ID] = len(loads)
		loads = append(loads, WorkerLoad{
			Worker: worker.ID, Capacity: worker.Capacity, Free: worker.Capacity, StartLimit: s.worker(worker.ID).startLimit(now),
		})
	}
	for _, j := range s.sortedLive() {
		index, found := loadIndex[j.record.Worker]
		if !found {
			continue
		}
		load := &loads[index]
		usage := j.targetUsage()
		load.Free = subtract(load.Free, usage)
		load.RunsUnknownUsage = load.RunsUnknownUsage || (j.attempt.peak.Memory == 0 && !s.estimator.HasSamples(j.record.Spec))
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

func (s *Scheduler) applyPlan(plan Plan, now time.Time) {
	for _, preemption := range plan.Preemptions {
		j := s.jobs[preemption.Task]
		if preemption.Vacate {
			s.vacate(j, now, s.config.UrgentVacateTimeout, preemption.Reason)
			continue
		}
		j.attempt.targetShare = preemption.Share
		j.addDecision(now, fmt.Sprintf("throttled to %.2f: %s", preemption.Share, preemption.Reason))
	}
	for _, start := range plan.Starts {
		j := s.jobs[start.Task]
		record := j.record
		record.Worker, record.Granted = start.Worker, start.Granted
		record.Attempt++
		record.StartBy = now.Add(s.config.LeaseTerm)
		s.propose(j, record.withDecision(now, Placed, start.Reason))
	}
}

// vacate proposes that an attempt leaves its worker, with a checkpoint if one is written within the timeout.
func (s *Scheduler) vacate(j *job, now time.Time, timeout time.Duration, reason string) {
	if !j.preemptible() {
		return
	}
	j.attempt.vacateDeadline = now.Add(timeout)
	j.attempt.checkpointOrderedAt = time.Time{}
	j.attempt.previousCheckpoint = j.attempt.checkpoint
	s.propose(j, j.record.withDecision(now, Vacating, reason))
}

// vacateDraining vacates the attempts on draining workers that can write checkpoints; the others run until they end.
func (s *Scheduler) vacateDraining(now time.Time) {
	for _, j := range s.sortedLive() {
		worker := s.worker(j.record.Worker)
		if worker.worker.State == Draining && j.record.Spec.Checkpoints && j.attempt.startConfirmed {
			s.vacate(j, now, s.config.VacateTimeout, string(j.record.Worker)+" is leaving")
		}
	}
}

// relieveOverloadedWorkers preempts attempts on workers whose reported usage exceeds their capacity, the least urgent first. Any
// preemptible attempt is vacated for memory, since a lack of memory kills tasks; for processors, only attempts that slow down more
// urgent ones are throttled.
func (s *Scheduler) relieveOverloadedWorkers(now time.Time) {
	usage := s.sumUsage((*job).targetUsage)
	live := s.sortedLive()
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
			s.vacate(j, now, s.config.UrgentVacateTimeout, fmt.Sprintf("the tasks on %s use more memory than it has", j.record.Worker))
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
func (s *Scheduler) unthrottle(loads []WorkerLoad, now time.Time) {
	for i := range loads {
		load := &loads[i]
		for _, placement := range load.Placements {
			j := s.jobs[placement.Task]
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
func (s *Scheduler) recordWaitReasons(unplaced []Unplaced, now time.Time) {
	slices.SortFunc(unplaced, func(a, b Unplaced) int { return cmp.Compare(a.Task, b.Task) })
	written := 0
	for _, task := range unplaced {
		j := s.jobs[task.Task]
		due := now.Sub(j.record.Accepted) >= waitReasonDelay && now.Sub(j.reasonWrittenAt) >= waitReasonInterval
		if written == maxWaitReasons || j.next != nil || task.Reason == j.record.Reason || !due {
			continue
		}
		j.reasonWrittenAt = now
		written++
		s.propose(j, j.record.withDecision(now, Waiting, task.Reason))
	}
}
