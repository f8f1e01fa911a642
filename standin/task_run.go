package standin

import (
	"encoding/json"
	"time"

	"github.com/acaciatally/acaciatally"
)

// TaskProfile is the actual behaviour of a simulated task, as opposed to what it declares; it is the task's Command, encoded as JSON.
type TaskProfile struct {
	Uses        acaciatally.Resources // use while it runs
	Work        time.Duration         // run time at full speed
	Fails       bool                  // whether it fails at the end of Work, on every worker
	Checkpoints bool                  // whether it supports checkpoints
}

// Command returns the profile encoded as the command of a task.
func (p TaskProfile) Command() []byte {
	content, _ := json.Marshal(p)
	return content
}

// TaskTrace describes what one attempt of a task did.
type TaskTrace struct {
	Attempt                    int
	Worker                     acaciatally.InstanceID
	StartProgress, EndProgress time.Duration // progress of the task's work at the attempt's start and end
	State                      acaciatally.TaskRunState
	Started                    time.Time
}

type taskKey struct {
	task    string
	attempt int
}

// taskReport is a usage report, which Usage returns once it is ReportLag old.
type taskReport struct {
	at    time.Time
	usage acaciatally.TaskUsage
}

type taskRun struct {
	lease             acaciatally.TaskLease
	profile           TaskProfile
	share             float64       // of its processors; 0 is paused
	resumedFrom       time.Duration // progress of the checkpoint from which it was resumed
	progress          time.Duration
	started           time.Time
	checkpointAt      time.Time // when the checkpoint in progress is complete; zero if there is none
	pendingCheckpoint string    // name of the checkpoint in progress
	checkpoint        string    // name of the last complete checkpoint
	state             acaciatally.TaskRunState
	reason            string
	rejected          bool // never started
	reports           []taskReport
}

func (r *taskRun) running() bool {
	return !r.rejected && r.state == acaciatally.TaskRunning
}

func (r *taskRun) used() acaciatally.Resources {
	used := r.profile.Uses
	used.Processors *= r.share
	return used
}

// addReport appends a report of the run's present state.
func (r *taskRun) addReport(at time.Time) {
	used := acaciatally.Resources{}
	if r.running() {
		used = r.used()
	}
	r.reports = append(r.reports, taskReport{at: at, usage: acaciatally.TaskUsage{
		Task: r.lease.Task, Attempt: r.lease.Attempt, Worker: r.lease.Worker, Used: used,
		State: r.state, Checkpoint: r.checkpoint, Reason: r.reason,
	}})
}

func (r *taskRun) finish(at time.Time, state acaciatally.TaskRunState, reason string) {
	r.state, r.reason = state, reason
	r.addReport(at)
}

// reportAt returns the newest report that is not later than asOf.
func (r *taskRun) reportAt(asOf time.Time) (usage acaciatally.TaskUsage, found bool) {
	for _, report := range r.reports {
		if report.at.After(asOf) {
			break
		}
		usage, found = report.usage, true
		usage.ReportedAt = asOf
	}
	return usage, found
}
