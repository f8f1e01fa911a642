package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/job"
)

// stage is the state of the current run of an assigned task.
type stage int

const (
	stagePlanned   stage = iota // not recorded, no order sent
	stageRecorded               // recorded, the start order may be sent
	stageOrdered                // start order sent
	stageRunning                // confirmed by the worker
	stageInherited              // found in the records of an earlier leader, not confirmed yet
)

// stopReason is why a run is being stopped; empty if it is not.
type stopReason string

const (
	stopJobEnded    stopReason = "job ended"
	stopDraining    stopReason = "worker is being drained"
	stopStalled     stopReason = "no progress"
	stopPreempted   stopReason = "preempted"
	stopReclaimed   stopReason = "lent capacity is reclaimed"
	stopUnconfirmed stopReason = "start not confirmed"
	stopCopyEnded   stopReason = "another copy ended first"
	stopGangBroken  stopReason = "a member of its gang has no run"
)

// task is one task of an occurrence. Each attempt to execute it on a worker is a run.
type task struct {
	job                 *activeJob
	ref                 acaciatally.TaskRef
	step                *acaciatally.Step
	phase               job.Phase
	stage               stage
	attempt             int
	worker              *worker // worker of the current run; nil without a run
	failures            int
	failedOn            []acaciatally.WorkerID // workers on which runs have failed under this leader
	crashes             int                    // workers that have crashed under a run of the task since it last ran for some time
	unconfirmedCrashes  int                    // the same for runs that may not have started
	crashStreak         int                    // latest runs in a row under which workers have crashed within crashStreakWindow, or after similar times
	crashDelay          time.Duration          // how long the last of these runs had gone on; 0 if an earlier leader counted it
	countedAsSuspect    bool                   // it is counted in suspectRuns of its worker
	checkpoint          string
	stopReason          stopReason
	stopInFlight        bool          // a stop order is in flight
	stoppedAt           time.Duration // when the worker confirmed the stop; 0 before
	startOutcomeUnknown bool          // a start order of this run may still take effect
	startAttempts       int           // start orders sent for this run
	retryAt             time.Duration
	startSentAt         time.Duration // when the first start order was sent
	startLease          time.Duration // lease end that the latest start order named
	confirmedAt         time.Duration // when the start was confirmed
	percent             int
	percentReportedAt   time.Duration
	progressedAt        time.Duration // when the percentage last increased
	timePerPercent      time.Duration // time that the last increase took, by percent; 0 before the first one
	stalls              int           // runs of the task that were stopped as stalled
	runTime             time.Duration // run time of the completed run; 0 if unknown
	tailLatency         time.Duration
	cpuShare            int // in percent, as confirmed by the worker; 100 is unthrottled
	cpuShareWanted      int
	avoidUntil          map[acaciatally.WorkerID]time.Duration // workers on which the task failed, and until when to avoid them
	observed            *observedRun                           // of the current run; nil if interference is not observed
	conflicts           []interference.KindID                  // while it is being placed, the kinds to keep it apart from
	unplacedSince       time.Duration                          // when placing a long-running task first failed or last preempted runs; 0 before
}

// assigned reports whether the task has a run, which may or may not exist on the worker.
func (t *task) assigned() bool { return t.phase == job.Assigned }

// assign assigns the task to the worker.
func (t *task) assign(w *worker, s stage) {
	t.phase, t.stage, t.worker = job.Assigned, s, w
	w.runs[t] = true
	w.load.add(t.step, 1)
	if a := t.job.account; a != nil {
		a.used = a.used.Plus(t.step.Reserved())
	}
	t.job.usage.add(t.step.Resources, 1)
	w.neighbours.assign(t)
	t.joinSuspects()
	t.job.dirty = true
}

// workerID returns the worker of the current run, or an empty ID without a run.
func (t *task) workerID() acaciatally.WorkerID {
	if t.worker == nil {
		return ""
	}
	return t.worker.entry.ID
}

// release returns the task to waiting. The caller must be sure that its run is over or was never started, or call keepLeftover before.
func (t *task) release() {
	if t.worker != nil {
		delete(t.worker.runs, t)
		t.worker.load.add(t.step, -1)
		if a := t.job.account; a != nil {
			a.used = a.used.Minus(t.step.Reserved())
		}
		t.job.usage.add(t.step.Resources, -1)
		t.worker.neighbours.release(t)
		t.leaveSuspects()
	}
	t.phase, t.stage, t.worker = job.Waiting, stagePlanned, nil
	t.stopReason, t.stopInFlight, t.stoppedAt, t.startOutcomeUnknown, t.startAttempts = "", false, 0, false, 0
	t.startSentAt, t.confirmedAt, t.percent, t.percentReportedAt, t.timePerPercent, t.tailLatency = 0, 0, 0, 0, 0, 0
	t.cpuShare, t.cpuShareWanted = fullPercent, fullPercent
	t.unplacedSince = 0
	t.job.dirty, t.job.placementDue = true, true
}

// fullPercent is the CPU share of an unthrottled run and the progress of a long-running task that is up, in percent.
const fullPercent = 100

// unknownCPUShare is the CPU share of a backfill run that an earlier leader may have throttled, or that a new incarnation of its worker may have started; it differs from every share that is ordered.
const unknownCPUShare = -1
