package task

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Floors are the shares of the pool that each class is sure of while it has tasks waiting.
type Floors [acaciatally.UrgencyClasses]float64

// DefaultFloors are the shares of the request queues, so that one flood rule holds for all work.
var DefaultFloors = Floors{0.5, 0.3, 0.1}

// Demand is a task that waits for a worker.
type Demand struct {
	Task    string
	Team    acaciatally.TeamName
	Urgency acaciatally.Urgency
	Need    acaciatally.Resources
	Since   time.Time
	Avoid   []acaciatally.InstanceID
	Probe   bool // nothing is known of the use of its kind
}

// Placement is an attempt that holds resources of a worker.
type Placement struct {
	Task      string
	Team      acaciatally.TeamName
	Urgency   acaciatally.Urgency
	Holds     acaciatally.Resources
	Share     float64   // of its processors that it may use
	CanStop   bool      // may be made to leave the worker
	WorkSince time.Time // work done since then would be lost by stopping
}

// WorkerLoad is a worker on which tasks may be placed.
type WorkerLoad struct {
	Worker     acaciatally.InstanceID
	Capacity   acaciatally.Resources
	Free       acaciatally.Resources
	Starts     int  // attempts that may still be started; negative for any number
	Probed     bool // holds an attempt of a kind of which nothing is known
	Placements []Placement
}

// Problem is the input of the planner.
type Problem struct {
	Now         time.Time
	Demands     []Demand
	WorkerLoads []WorkerLoad
	Quotas      []Quota
	Floors      Floors
	MaxStarts   int // bounds the rows written by one round
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
	Share  float64 // of the processors that the attempt keeps; unused when Vacate
	Vacate bool    // the attempt has to leave the worker
	Reason string
}

// Wait is the reason for which a task was not placed.
type Wait struct {
	Task   string
	Reason string
}

// Plan is the output of the planner.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Waits       []Wait
}

const (
	// throttledShare keeps a throttled task alive for its lease and its reports.
	throttledShare = 0.1
	// reserveAfter is the wait after which a task that found no room has a worker kept free for it, so that small tasks do not pass
	// a large one for ever.
	reserveAfter = 30 * time.Second
	// maxMisses bounds the tasks of a class that are tried in vain in one round.
	maxMisses = 64
)

type planner struct {
	problem   Problem
	plan      Plan
	total     acaciatally.Resources
	classUse  [acaciatally.UrgencyClasses]acaciatally.Resources
	classWait [acaciatally.UrgencyClasses]int
	teamUse   map[acaciatally.TeamName]float64
	quotas    map[acaciatally.TeamName]float64
}

// MakePlan decides which waiting tasks start where, and which running ones make room; it changes the loads of the problem.
func MakePlan(problem Problem) Plan {
	p := &planner{
		problem: problem,
		teamUse: map[acaciatally.TeamName]float64{},
		quotas:  map[acaciatally.TeamName]float64{},
	}
	for _, quota := range problem.Quotas {
		p.quotas[quota.Team] = quota.Processors
	}
	for i := range problem.WorkerLoads {
		p.count(&problem.WorkerLoads[i])
	}
	for _, demand := range problem.Demands {
		p.classWait[demand.Urgency]++
	}
	for class := range acaciatally.Urgency(acaciatally.UrgencyClasses) {
		p.planClass(class)
	}
	return p.plan
}

func (p *planner) count(load *WorkerLoad) {
	p.total = plus(p.total, load.Capacity)
	for _, placement := range load.Placements {
		p.classUse[placement.Urgency] = plus(p.classUse[placement.Urgency], placement.Holds)
		p.teamUse[placement.Team] += placement.Holds.Processors
	}
}

// teamQueue holds the waiting tasks of one team and class, oldest first.
type teamQueue struct {
	team    acaciatally.TeamName
	demands []Demand
	load    float64 // cores held, relative to the quota where there is one
	over    bool    // at or above the quota
}

type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].over != h[j].over {
		return h[j].over
	}
	return cmp.Or(cmp.Compare(h[i].load, h[j].load), cmp.Compare(h[i].team, h[j].team)) < 0
}
func (h teamHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *teamHeap) Push(value any) { *h = append(*h, value.(*teamQueue)) }
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (p *planner) weigh(queue *teamQueue) {
	quota := p.quotas[queue.team]
	queue.load = p.teamUse[queue.team]
	queue.over = false
	if quota > 0 {
		queue.load /= quota
		queue.over = queue.load >= 1
	}
}

func (p *planner) queues(class acaciatally.Urgency) *teamHeap {
	byTeam := map[acaciatally.TeamName]*teamQueue{}
	for _, demand := range p.problem.Demands {
		if demand.Urgency != class {
			continue
		}
		queue, found := byTeam[demand.Team]
		if !found {
			queue = &teamQueue{team: demand.Team}
			byTeam[demand.Team] = queue
		}
		queue.demands = append(queue.demands, demand)
	}
	ordered := make(teamHeap, 0, len(byTeam))
	for _, queue := range byTeam {
		slices.SortStableFunc(queue.demands, func(a, b Demand) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Task, b.Task))
		})
		p.weigh(queue)
		ordered = append(ordered, queue)
	}
	heap.Init(&ordered)
	return &ordered
}

// planClass places the tasks of one class, the team with the smallest load first.
func (p *planner) planClass(class acaciatally.Urgency) {
	queues := p.queues(class)
	misses, failed, reserved := 0, []Demand(nil), false
	for queues.Len() > 0 && misses < maxMisses && len(p.plan.Starts) < p.problem.MaxStarts {
		queue := heap.Pop(queues).(*teamQueue)
		demand := queue.demands[0]
		queue.demands = queue.demands[1:]
		if reason := p.try(demand, queue, failed); reason != "" {
			if !reserved && p.problem.Now.Sub(demand.Since) >= reserveAfter {
				reserved = p.reserve(demand)
			}
			misses++
			failed = append(failed, demand)
			p.plan.Waits = append(p.plan.Waits, Wait{Task: demand.Task, Reason: reason})
		}
		if len(queue.demands) > 0 {
			p.weigh(queue)
			heap.Push(queues, queue)
		}
	}
	for _, queue := range *queues {
		for _, demand := range queue.demands {
			p.plan.Waits = append(p.plan.Waits, Wait{Task: demand.Task, Reason: "waits behind other tasks of class " + class.String()})
		}
	}
}

// try places one task, by force where its class allows it, or returns the reason why it waits.
func (p *planner) try(demand Demand, queue *teamQueue, failed []Demand) (reason string) {
	if !p.keepsFloors(demand) {
		return "the floors of other classes with waiting tasks leave no room for class " + demand.Urgency.String()
	}
	if len(demand.Avoid) == 0 && hopeless(demand, failed) {
		return "no worker has " + describe(demand.Need) + " free"
	}
	if load := p.bestLoad(demand); load != nil {
		p.start(demand, load, fmt.Sprintf("fits on %s with %s", load.Worker, describe(demand.Need)))
		return ""
	}
	if demand.Urgency == acaciatally.Background {
		return "no worker has " + describe(demand.Need) + " free"
	}
	if queue.over {
		return "the team is over its quota and no worker has " + describe(demand.Need) + " free"
	}
	if p.force(demand) {
		return ""
	}
	return "no worker has " + describe(demand.Need) + " free, and less urgent tasks cannot make room"
}

// reserve keeps the emptiest worker that could hold the task from less urgent tasks and later ones of its class.
func (p *planner) reserve(demand Demand) bool {
	var best *WorkerLoad
	bestFree := 0.0
	for i := range p.problem.WorkerLoads {
		load := &p.problem.WorkerLoads[i]
		if !load.admits(demand) || !fits(demand.Need, load.Capacity) {
			continue
		}
		if free := 1 - dominantShare(minus(load.Capacity, load.Free), load.Capacity); best == nil || free > bestFree {
			best, bestFree = load, free
		}
	}
	if best == nil {
		return false
	}
	best.Starts = 0
	return true
}

// hopeless reports whether a task of the same class that needs no more has already found no room in this round.
func hopeless(demand Demand, failed []Demand) bool {
	for _, other := range failed {
		if len(other.Avoid) == 0 && other.Probe == demand.Probe && fits(other.Need, demand.Need) {
			return true
		}
	}
	return false
}

// keepsFloors reports whether the class stays out of what is left of the floors of other classes that have tasks waiting.
func (p *planner) keepsFloors(demand Demand) bool {
	use := plus(p.classUse[demand.Urgency], demand.Need)
	if dominantShare(use, p.total) <= p.problem.Floors[demand.Urgency] {
		return true
	}
	for class := range acaciatally.Urgency(acaciatally.UrgencyClasses) {
		if class != demand.Urgency {
			use = plus(use, p.sureOf(class, demand.Urgency))
		}
	}
	return fits(use, p.total)
}

// sureOf returns what a class cannot lose to another: its floor while it has tasks waiting, and all it holds if it is more urgent.
func (p *planner) sureOf(class, against acaciatally.Urgency) acaciatally.Resources {
	held := p.classUse[class]
	floor := scaled(p.total, p.problem.Floors[class])
	floor.Accelerators = int(float64(p.total.Accelerators) * p.problem.Floors[class])
	switch {
	case class < against && p.classWait[class] > 0:
		return largest(held, floor)
	case class < against:
		return held
	case p.classWait[class] > 0:
		return floor
	}
	return smallest(held, floor)
}

// bestLoad returns the worker with the least left over, so that large tasks still find room later.
func (p *planner) bestLoad(demand Demand) (best *WorkerLoad) {
	bestLeft := 0.0
	for i := range p.problem.WorkerLoads {
		load := &p.problem.WorkerLoads[i]
		if !fits(demand.Need, load.Free) || !load.admits(demand) {
			continue
		}
		left := dominantShare(minus(load.Free, demand.Need), load.Capacity)
		if demand.Need.Accelerators == 0 && load.Free.Accelerators > 0 {
			left++ // keeps workers with free accelerators for the tasks that need them
		}
		if best == nil || left < bestLeft {
			best, bestLeft = load, left
		}
	}
	return best
}

func (r *WorkerLoad) admits(demand Demand) bool {
	if r.Starts == 0 || slices.Contains(demand.Avoid, r.Worker) {
		return false
	}
	return !demand.Probe || !r.Probed || demand.Urgency == acaciatally.Urgent
}

func (p *planner) start(demand Demand, load *WorkerLoad, reason string) {
	load.Free = minus(load.Free, demand.Need)
	load.Starts--
	load.Probed = load.Probed || demand.Probe
	p.classUse[demand.Urgency] = plus(p.classUse[demand.Urgency], demand.Need)
	p.classWait[demand.Urgency]--
	p.teamUse[demand.Team] += demand.Need.Processors
	p.plan.Starts = append(p.plan.Starts, Start{Task: demand.Task, Worker: load.Worker, Granted: demand.Need, Reason: reason})
}
