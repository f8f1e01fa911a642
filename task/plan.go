package task

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Candidate is a waiting task to be placed.
type Candidate struct {
	Task         string
	Team         acaciatally.TeamName
	Urgency      acaciatally.Urgency
	Need         acaciatally.Resources
	Accepted     time.Time
	AvoidWorkers []acaciatally.InstanceID
	UnknownUsage bool // no usage of its kind has been observed
}

// Placement is an attempt that has resources allocated on a worker.
type Placement struct {
	Task         string
	Team         acaciatally.TeamName
	Urgency      acaciatally.Urgency
	Allocated    acaciatally.Resources
	Share        float64   // of its processors that it may use, 0 to 1
	Preemptible  bool      // may be vacated
	UnsavedSince time.Time // work done since then is lost if the attempt is stopped
}

// WorkerLoad is a worker with its placements and free resources.
type WorkerLoad struct {
	Worker           acaciatally.InstanceID
	Capacity         acaciatally.Resources
	Free             acaciatally.Resources
	StartLimit       int  // attempts that may still be started; negative means no limit
	RunsUnknownUsage bool // runs an attempt of a kind without observed usage
	Placements       []Placement
}

// PlanInput is the input of MakePlan.
type PlanInput struct {
	Now         time.Time
	Candidates  []Candidate
	WorkerLoads []WorkerLoad
	Quotas      []Quota
	Floors      Floors
	MaxStarts   int // limits the rows written in one round
}

// Start is the decision to run a task on a worker.
type Start struct {
	Task    string
	Worker  acaciatally.InstanceID
	Granted acaciatally.Resources
	Reason  string
}

// Preemption is the decision to take resources from a running attempt.
type Preemption struct {
	Task   string
	Share  float64 // of the processors that the attempt keeps, 0 to 1; unused with Vacate
	Vacate bool    // the attempt has to leave the worker
	Reason string
}

// Unplaced is a task that was not placed, with the reason.
type Unplaced struct {
	Task   string
	Reason string
}

// Plan is the output of MakePlan.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Unplaced    []Unplaced
}

const (
	// minProcessorShare is the share of the processors that a throttled task keeps, so that it keeps its lease and still sends reports.
	minProcessorShare = 0.1
	// reserveDelay is the wait after which a worker is reserved for a task that fits nowhere, so that small tasks do not starve a large
	// one.
	reserveDelay = 30 * time.Second
	// maxFailedCandidates limits the tasks of a class that are tried without success in one round.
	maxFailedCandidates = 64
)

// planner is the computation of one plan.
type planner struct {
	input        PlanInput
	plan         Plan
	total        acaciatally.Resources
	classUsage   [acaciatally.UrgencyClasses]acaciatally.Resources
	classWaiting [acaciatally.UrgencyClasses]int
	teamUsage    map[acaciatally.TeamName]float64
	quotas       map[acaciatally.TeamName]float64
}

// MakePlan decides where waiting tasks start and which running tasks are preempted for them; it modifies the WorkerLoads of the input.
func MakePlan(input PlanInput) Plan {
	p := &planner{
		input:     input,
		teamUsage: map[acaciatally.TeamName]float64{},
		quotas:    map[acaciatally.TeamName]float64{},
	}
	for _, quota := range input.Quotas {
		p.quotas[quota.Team] = quota.Processors
	}
	for i := range input.WorkerLoads {
		p.addLoad(&input.WorkerLoads[i])
	}
	for _, candidate := range input.Candidates {
		p.classWaiting[candidate.Urgency]++
	}
	for class := range acaciatally.Urgency(acaciatally.UrgencyClasses) {
		p.planClass(class)
	}
	return p.plan
}

func (p *planner) addLoad(load *WorkerLoad) {
	p.total = add(p.total, load.Capacity)
	for _, placement := range load.Placements {
		p.classUsage[placement.Urgency] = add(p.classUsage[placement.Urgency], placement.Allocated)
		p.teamUsage[placement.Team] += placement.Allocated.Processors
	}
}

// planClass places the tasks of one class, the team with the smallest load first.
func (p *planner) planClass(class acaciatally.Urgency) {
	queues := p.classQueues(class)
	var failed []Candidate
	reserved := false
	for queues.Len() > 0 && len(failed) < maxFailedCandidates && len(p.plan.Starts) < p.input.MaxStarts {
		queue := heap.Pop(queues).(*teamQueue)
		candidate := queue.candidates[0]
		queue.candidates = queue.candidates[1:]
		if reason := p.place(candidate, queue, failed); reason != "" {
			if !reserved && p.input.Now.Sub(candidate.Accepted) >= reserveDelay {
				reserved = p.reserve(candidate)
			}
			failed = append(failed, candidate)
			p.leaveWaiting(candidate, reason)
		}
		if len(queue.candidates) > 0 {
			p.updateTeamLoad(queue)
			heap.Push(queues, queue)
		}
	}
	for _, queue := range *queues {
		for _, candidate := range queue.candidates {
			p.leaveWaiting(candidate, "waits behind other tasks of class "+class.String())
		}
	}
}

func (p *planner) leaveWaiting(candidate Candidate, reason string) {
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{Task: candidate.Task, Reason: reason})
}

// place places one task, with preemption if its class allows it, or returns the reason why it waits.
func (p *planner) place(candidate Candidate, queue *teamQueue, failed []Candidate) (reason string) {
	if !p.respectsFloors(candidate) {
		return "the floors of other classes with waiting tasks leave no room for class " + candidate.Urgency.String()
	}
	if len(candidate.AvoidWorkers) == 0 && alreadyFailed(candidate, failed) {
		return noRoom(candidate)
	}
	if load := p.bestFit(candidate); load != nil {
		p.start(candidate, load, fmt.Sprintf("fits on %s with %s", load.Worker, formatResources(candidate.Need)))
		return ""
	}
	if candidate.Urgency == acaciatally.Background {
		return noRoom(candidate)
	}
	if queue.overQuota {
		return "the team is over its quota and " + noRoom(candidate)
	}
	if p.placeWithPreemption(candidate) {
		return ""
	}
	return noRoom(candidate) + ", and less urgent tasks cannot make room"
}

// noRoom returns the reason of a task whose resources are free on no worker.
func noRoom(candidate Candidate) string {
	return "no worker has " + formatResources(candidate.Need) + " free"
}

// reserve keeps the emptiest worker that could hold the task for it: no later task of its class and no less urgent one starts there in
// this round. It reports whether there is such a worker.
func (p *planner) reserve(candidate Candidate) bool {
	var best *WorkerLoad
	bestFree := 0.0
	for i := range p.input.WorkerLoads {
		load := &p.input.WorkerLoads[i]
		if !load.accepts(candidate) || !fits(candidate.Need, load.Capacity) {
			continue
		}
		if free := 1 - dominantShare(subtract(load.Capacity, load.Free), load.Capacity); best == nil || free > bestFree {
			best, bestFree = load, free
		}
	}
	if best == nil {
		return false
	}
	best.StartLimit = 0
	return true
}

// alreadyFailed reports whether a task of the same class that needs no more resources could not be placed in this round.
func alreadyFailed(candidate Candidate, failed []Candidate) bool {
	for _, other := range failed {
		if len(other.AvoidWorkers) == 0 && other.UnknownUsage == candidate.UnknownUsage && fits(other.Need, candidate.Need) {
			return true
		}
	}
	return false
}

// bestFit returns the worker with the least resources left over, so that large tasks still fit later.
func (p *planner) bestFit(candidate Candidate) (best *WorkerLoad) {
	bestRemaining := 0.0
	for i := range p.input.WorkerLoads {
		load := &p.input.WorkerLoads[i]
		if !fits(candidate.Need, load.Free) || !load.accepts(candidate) {
			continue
		}
		remaining := dominantShare(subtract(load.Free, candidate.Need), load.Capacity)
		if candidate.Need.Accelerators == 0 && load.Free.Accelerators > 0 {
			remaining++ // keeps workers with free accelerators for the tasks that need them
		}
		if best == nil || remaining < bestRemaining {
			best, bestRemaining = load, remaining
		}
	}
	return best
}

// accepts reports whether the task may start on the worker if its resources are free.
func (l *WorkerLoad) accepts(candidate Candidate) bool {
	if l.StartLimit == 0 || slices.Contains(candidate.AvoidWorkers, l.Worker) {
		return false
	}
	return !candidate.UnknownUsage || !l.RunsUnknownUsage || candidate.Urgency == acaciatally.Urgent
}

// start adds the start of the task to the plan and allocates its resources on the worker.
func (p *planner) start(candidate Candidate, load *WorkerLoad, reason string) {
	load.Free = subtract(load.Free, candidate.Need)
	load.StartLimit--
	load.RunsUnknownUsage = load.RunsUnknownUsage || candidate.UnknownUsage
	p.classUsage[candidate.Urgency] = add(p.classUsage[candidate.Urgency], candidate.Need)
	p.classWaiting[candidate.Urgency]--
	p.teamUsage[candidate.Team] += candidate.Need.Processors
	p.plan.Starts = append(p.plan.Starts, Start{Task: candidate.Task, Worker: load.Worker, Granted: candidate.Need, Reason: reason})
}
