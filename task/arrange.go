package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// explainAfter keeps tasks that start soon from costing a write for the reason why they wait.
	explainAfter = 5 * time.Second
	// explainEvery bounds the writes of a task whose reason for waiting keeps changing.
	explainEvery = time.Minute
	// maxExplained bounds the rows written in one round for reasons.
	maxExplained = 20
)

// Tick carries out what follows from the time, and plans placements; it proposes records and starts nothing itself.
func (m *Machine) Tick(now time.Time) {
	m.staying = map[acaciatally.InstanceID]acaciatally.Resources{}
	for id, at := range m.loads((*job).stays) {
		m.staying[id] = at.used
	}
	for _, j := range m.sortedLive() {
		if j.next == nil {
			m.lapse(j, now)
		}
	}
	m.retireOld(now)
	m.judge(now)
	m.leave(now)
	m.relieveOverloads(now)
	rooms := m.rooms(now)
	demands, waits := m.demands(now)
	plan := MakePlan(Problem{
		Now: now, Demands: demands, WorkerLoads: rooms, Quotas: m.fleet.Quotas, Floors: m.config.Floors, MaxStarts: m.config.MaxStarts,
	})
	m.carryOut(plan, now)
	m.release(rooms, now)
	m.explain(append(waits, plan.Waits...), now)
}

func (m *Machine) retireOld(now time.Time) {
	for _, j := range m.jobs {
		if j.record.Phase.Ended() && j.next == nil && m.live[j.record.Spec.ID] == nil {
			m.retire(j.record, j.version, now)
		}
	}
}

// judge ends the waiting tasks that can never run.
func (m *Machine) judge(now time.Time) {
	for _, j := range m.jobs {
		if j.record.Phase != Waiting || j.next != nil {
			continue
		}
		if reason := m.impossible(j); reason != "" {
			m.propose(j, j.record.decided(now, Impossible, reason))
		}
	}
}

// demands returns the tasks that may be placed now, and the reasons of those that cannot be.
func (m *Machine) demands(now time.Time) (demands []Demand, waits []Wait) {
	for _, j := range m.jobs {
		if j.record.Phase != Waiting || j.next != nil || now.Before(j.retryAt) {
			continue
		}
		need := m.want(j)
		if !m.anyFits(need, false) {
			reason := fmt.Sprintf("needs %s; no worker of the pool is as large, one of another pool is", describe(need))
			waits = append(waits, Wait{Task: j.record.Spec.ID, Reason: reason})
			continue
		}
		demands = append(demands, m.demand(j, need))
	}
	return demands, waits
}

func (m *Machine) demand(j *job, need acaciatally.Resources) Demand {
	demand := Demand{
		Task: j.record.Spec.ID, Team: j.record.Spec.Team, Urgency: j.record.Spec.Urgency, Need: need,
		Since: j.record.Accepted, Avoid: avoided(j.record), Probe: !m.learner.Known(j.record.Spec) && !j.believed,
	}
	if m.config.Baseline == BaselineArrivalOrder {
		demand.Team, demand.Urgency = "", acaciatally.Background
	}
	return demand
}

// want is what a task is placed with: the learned estimate, up to the largest worker that would hold the declared size.
func (m *Machine) want(j *job) acaciatally.Resources {
	need := m.learner.Estimate(j.record.Spec)
	if j.believed {
		need = j.record.Spec.Declared
	}
	need.Memory = max(need.Memory, j.record.NeedMemory)
	if m.anyFits(need, false) {
		return need
	}
	best := need
	for _, worker := range m.fleet.Workers {
		capped := smallest(need, worker.Capacity)
		if fits(smallest(j.record.Spec.Declared, need), worker.Capacity) && (best == need || capped.Memory > best.Memory) {
			best = capped
		}
	}
	return best
}

func avoided(record Record) (workers []acaciatally.InstanceID) {
	for _, failure := range record.Failures {
		workers = append(workers, failure.Worker)
	}
	return workers
}

// rooms returns the workers with what their attempts leave free, those that are ordered but not started included.
func (m *Machine) rooms(now time.Time) []WorkerLoad {
	rooms := make([]WorkerLoad, 0, len(m.fleet.Workers))
	index := map[acaciatally.InstanceID]int{}
	for _, worker := range m.fleet.Workers {
		index[worker.ID] = len(rooms)
		rooms = append(rooms, WorkerLoad{
			Worker: worker.ID, Capacity: worker.Capacity, Free: worker.Capacity, Starts: m.worker(worker.ID).starts(now),
		})
	}
	for _, j := range m.sortedLive() {
		at, found := index[j.record.Worker]
		if !found {
			continue
		}
		room := &rooms[at]
		holds := j.holds()
		room.Free = minus(room.Free, holds)
		room.Probed = room.Probed || (j.attempt.peak.Memory == 0 && !m.learner.Known(j.record.Spec))
		room.Placements = append(room.Placements, Placement{
			Task: j.record.Spec.ID, Team: j.record.Spec.Team, Urgency: j.record.Spec.Urgency, Holds: holds,
			Share: j.attempt.want, CanStop: j.canStop(), WorkSince: j.workSince(),
		})
	}
	return rooms
}

func (j *job) workSince() time.Time {
	return laterOf(j.attempt.since, j.attempt.askedAt)
}

func (m *Machine) carryOut(plan Plan, now time.Time) {
	for _, preempt := range plan.Preemptions {
		j := m.jobs[preempt.Task]
		if preempt.Vacate {
			m.vacate(j, now, m.config.UrgentVacate, preempt.Reason)
			continue
		}
		j.attempt.want = preempt.Share
		j.note(now, fmt.Sprintf("throttled to %.2f: %s", preempt.Share, preempt.Reason))
	}
	for _, start := range plan.Starts {
		j := m.jobs[start.Task]
		record := j.record
		record.Worker, record.Granted = start.Worker, start.Granted
		record.Attempt++
		record.StartBy = now.Add(m.config.Term)
		m.propose(j, record.decided(now, Placed, start.Reason))
	}
}

// vacate proposes that an attempt leaves its worker, with a checkpoint if it comes within the limit.
func (m *Machine) vacate(j *job, now time.Time, limit time.Duration, reason string) {
	if !j.canStop() {
		return
	}
	j.attempt.vacateBy = now.Add(limit)
	j.attempt.askedAt = time.Time{}
	j.attempt.before = j.attempt.checkpoint
	m.propose(j, j.record.decided(now, Vacating, reason))
}

// leave makes the attempts on leaving workers checkpoint; those that cannot run to their end.
func (m *Machine) leave(now time.Time) {
	for _, j := range m.sortedLive() {
		worker := m.worker(j.record.Worker)
		if worker.worker.State == Leaving && j.record.Spec.Checkpoints && j.attempt.confirmed {
			m.vacate(j, now, m.config.Vacate, string(j.record.Worker)+" is leaving")
		}
	}
}

// relieveOverloads takes from the least urgent attempts what the reported use of a worker exceeds: memory from any, since its lack
// kills, and processors from those that slow down more urgent ones.
func (m *Machine) relieveOverloads(now time.Time) {
	loads := m.loads((*job).holds)
	live := m.sortedLive()
	top := map[acaciatally.InstanceID]acaciatally.Urgency{}
	for _, j := range live {
		if _, found := top[j.record.Worker]; !found {
			top[j.record.Worker] = j.record.Spec.Urgency
		}
	}
	slices.Reverse(live)
	for _, j := range live {
		at, found := loads[j.record.Worker]
		if !found || at.capacity.Memory == 0 || !j.began() || j.record.Phase != Placed {
			continue
		}
		if at.used.Memory > at.capacity.Memory && j.canStop() {
			at.used = minus(at.used, j.holds())
			m.vacate(j, now, m.config.UrgentVacate, fmt.Sprintf("the tasks on %s use more memory than it has", j.record.Worker))
			continue
		}
		slows := j.record.Spec.Urgency > top[j.record.Worker] && j.attempt.want > throttledShare
		if slows && at.used.Processors > at.capacity.Processors+roundingSlack {
			at.used.Processors -= j.holds().Processors
			j.attempt.want = throttledShare
			at.used.Processors += j.holds().Processors
			j.note(now, "throttled, since the tasks on the worker use more processors than it has")
		}
	}
}

// release gives throttled attempts their processors back where the plan left some free.
func (m *Machine) release(rooms []WorkerLoad, now time.Time) {
	for i := range rooms {
		room := &rooms[i]
		for _, placement := range room.Placements {
			j := m.jobs[placement.Task]
			back := j.need().Processors * (1 - j.attempt.want)
			if j.record.Phase != Placed || j.attempt.want >= 1 || back > room.Free.Processors+roundingSlack {
				continue
			}
			room.Free.Processors -= back
			j.attempt.want = 1
			j.note(now, "given its processors back")
		}
	}
}

// explain writes the reasons for waiting into the rows of some tasks that have waited for a while.
func (m *Machine) explain(waits []Wait, now time.Time) {
	slices.SortFunc(waits, func(a, b Wait) int { return cmp.Compare(a.Task, b.Task) })
	written := 0
	for _, wait := range waits {
		j := m.jobs[wait.Task]
		due := now.Sub(j.record.Accepted) >= explainAfter && now.Sub(j.spoken) >= explainEvery
		if written == maxExplained || j.next != nil || wait.Reason == j.record.Reason || !due {
			continue
		}
		j.spoken = now
		written++
		m.propose(j, j.record.decided(now, Waiting, wait.Reason))
	}
}
