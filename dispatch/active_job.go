package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// activeJob is a job that has not ended, or has ended but still has runs to stop or records to update.
type activeJob struct {
	id               acaciatally.JobID
	accepted         job.Accepted
	usage            *accountUsage // of its account; nil without one
	state            acaciatally.JobState
	digest           uint64
	nextOccurrence   int // number of the next occurrence to open
	openOccurrences  []*occurrence
	arrivedAt        time.Duration // when the job was accepted, on this leader's clock, at most maxJobAge before it was loaded
	dirty            bool          // its records are out of date
	inCommit         bool          // a commit of it is in flight
	lateness         lateness
	estimate         estimate
	hasLongRunning   bool          // has tasks that run until the job is cancelled
	account          *accountShare // of the job's owner; nil without one
	beyondRate       bool          // beyond the rate of its account; runs only on lent capacity
	hasGang          bool          // has a step whose tasks run all at the same time or not at all
	placementDue     bool          // a task has started or stopped waiting since the last placement
	hasCancelRecord  bool          // a cancel request is recorded
	unrecordedEnds   []endRef      // that a later commit records
	endsInCommit     []endRef      // that the commit in flight records
	refusedUntil     time.Duration // when its record may be sent again that the store has refused; 0 if it has not
	endRecordedAt    time.Duration // when the commit of the final state was applied; 0 before
	hasWaitingRecord bool          // its record in job.WaitingTable may still exist
	recordsDeleted   bool          // all records but the progress record are deleted
	counted          bool          // it is counted in accountJobs.begun
	backlogBytes     int64         // its memory as the backlog counts it
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number   int
	openedAt time.Duration // when this leader opened or loaded it
	steps    [][]*task
}

// eachTask calls visit for each task of the open occurrences.
func (j *activeJob) eachTask(visit func(t *task)) {
	for _, o := range j.openOccurrences {
		for _, step := range o.steps {
			for _, t := range step {
				visit(t)
			}
		}
	}
}

// live reports whether the job has not ended.
func (j *activeJob) live() bool { return !j.state.Ended() }

// endRecorded reports whether the final state of the job is recorded.
func (j *activeJob) endRecorded() bool { return j.endRecordedAt > 0 }

func (o *occurrence) stepDone(step int) bool {
	for _, t := range o.steps[step] {
		if t.phase != job.Done {
			return false
		}
	}
	return true
}

func (o *occurrence) done() bool {
	for step := range o.steps {
		if !o.stepDone(step) {
			return false
		}
	}
	return true
}

// ready reports whether all steps that the step depends on are done.
func (o *occurrence) ready(spec *acaciatally.JobSpec, step int) bool {
	for _, earlier := range spec.Steps[step].After {
		if !o.stepDone(earlier) {
			return false
		}
	}
	return true
}
