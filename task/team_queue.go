package task

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// teamQueue holds the waiting tasks of one team and class, oldest first.
type teamQueue struct {
	team       acaciatally.TeamName
	candidates []Candidate
	load       float64 // cores in use, divided by the quota if there is one
	overQuota  bool    // at or above the quota
}

// teamHeap orders the queues of teams: those below their quota first, and then by load.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].overQuota != h[j].overQuota {
		return h[j].overQuota
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

// updateTeamLoad updates the order of the queue after the usage of its team has changed.
func (p *planner) updateTeamLoad(queue *teamQueue) {
	quota := p.quotas[queue.team]
	queue.load = p.teamUsage[queue.team]
	queue.overQuota = false
	if quota > 0 {
		queue.load /= quota
		queue.overQuota = queue.load >= 1
	}
}

// classQueues returns the queues of the teams that have tasks of the class waiting.
func (p *planner) classQueues(class acaciatally.Urgency) *teamHeap {
	byTeam := map[acaciatally.TeamName]*teamQueue{}
	for _, candidate := range p.input.Candidates {
		if candidate.Urgency != class {
			continue
		}
		queue, found := byTeam[candidate.Team]
		if !found {
			queue = &teamQueue{team: candidate.Team}
			byTeam[candidate.Team] = queue
		}
		queue.candidates = append(queue.candidates, candidate)
	}
	ordered := make(teamHeap, 0, len(byTeam))
	for _, queue := range byTeam {
		slices.SortStableFunc(queue.candidates, func(a, b Candidate) int {
			return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Task, b.Task))
		})
		p.updateTeamLoad(queue)
		ordered = append(ordered, queue)
	}
	heap.Init(&ordered)
	return &ordered
}
