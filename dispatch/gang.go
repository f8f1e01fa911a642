package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// A gang is the set of tasks of one step that run all at the same time or not at all. It is placed, recorded and started as a whole; while
// any of its runs is missing, the others are stopped, and the gang is placed anew when none is left.

// gangTrial is the placement of a gang that is being tried on copies of the candidates.
type gangTrial struct {
	racks map[acaciatally.Rack]int // members placed in each rack
}

// members returns the tasks of the same step and occurrence, the task included.
func (t *task) members() []*task {
	for _, o := range t.job.openOccurrences {
		if o.number == t.ref.Occurrence {
			return o.steps[t.ref.Step]
		}
	}
	return nil
}

// placeGang places the tasks one by one on copies of the candidates, and assigns them only if all fit, also within the maximum of their account.
func (s *Scheduler) placeGang(tasks []*task, set *candidateSet, now time.Duration) {
	if !s.mayReserve(tasks[0].job, tasks[0].step, len(tasks), now) {
		return
	}
	trial := &gangTrial{racks: map[acaciatally.Rack]int{}}
	copies := make([]*candidate, 0, len(set.candidates))
	original := map[*candidate]*candidate{}
	for _, c := range set.candidates {
		copied := *c
		copied.trial = trial
		copies = append(copies, &copied)
		original[&copied] = c
	}
	attempt := 0
	checkpoint := ""
	chosen := make([]*candidate, 0, len(tasks))
	for _, t := range tasks {
		c := s.bestCandidate(t, copies, now)
		if c == nil {
			return
		}
		c.reserve(t)
		c.trialMembers++
		trial.racks[c.w.entry.Rack]++
		chosen = append(chosen, original[c])
		attempt = max(attempt, t.attempt+1)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range tasks {
		t.checkpoint = checkpoint
		s.assign(t, chosen[i], attempt)
	}
}

// gangStartable reports whether the first start order of a gang's member may be sent: all members are recorded, and their workers may get
// new runs. If one of these workers may not, the whole gang is released.
func (s *Scheduler) gangStartable(t *task, now time.Duration) bool {
	members := t.members()
	for _, member := range members {
		if !member.assigned() || member.stage == stagePlanned || member.stopReason != "" {
			return false
		}
	}
	for _, member := range members {
		if member.startAttempts > 0 {
			return true // the gang is being started
		}
	}
	for _, member := range members {
		if !s.startable(member, now) {
			for _, released := range members {
				s.config.EventLog.RunDropped(released.ref, released.attempt, released.workerID(), "gang: worker of a member is not schedulable")
				released.release()
			}
			return false
		}
	}
	if t.exceedsMaximum() {
		s.releaseUnstarted(t)
		return false
	}
	return true
}

// stopBrokenGangs stops the runs of gangs of which a member has none.
func (s *Scheduler) stopBrokenGangs() {
	for _, j := range s.jobs {
		if !j.live() || !j.hasGang {
			continue
		}
		for _, o := range j.openOccurrences {
			for number, tasks := range o.steps {
				if j.accepted.Spec.Steps[number].Gang && brokenGang(tasks) {
					s.stopGang(tasks)
				}
			}
		}
	}
}

// brokenGang reports whether some tasks have a run and others wait for one.
func brokenGang(tasks []*task) bool {
	waiting, assigned := false, false
	for _, t := range tasks {
		waiting = waiting || t.phase == job.Waiting
		assigned = assigned || t.phase == job.Assigned
	}
	return waiting && assigned
}

func (s *Scheduler) stopGang(tasks []*task) {
	for _, t := range tasks {
		if t.assigned() && t.stage != stageInherited {
			s.stopTask(t, stopGangBroken)
		}
	}
}
