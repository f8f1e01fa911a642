package standin

import (
	"encoding/json"
	"time"

	"github.com/acaciatally/acaciatally"
)

// TaskProfile is what a simulated task does in truth; a task's Command carries it as JSON.
type TaskProfile struct {
	Uses        acaciatally.Resources
	Work        time.Duration // run time with all its processors
	Fails       bool          // at the end of Work, on every worker
	Checkpoints bool          // whether it answers a checkpoint order
}

// Command returns the profile as the command of a task.
func (p TaskProfile) Command() []byte {
	content, _ := json.Marshal(p)
	return content
}

// TaskTrace is the part of a task's work that one attempt carried out.
type TaskTrace struct {
	Attempt  int
	Worker   acaciatally.InstanceID
	From, To time.Duration
	State    acaciatally.TaskRunState
	Started  time.Time
}

type taskKey struct {
	task    string
	attempt int
}

// event is a report that becomes visible one lag later.
type event struct {
	at    time.Time
	usage acaciatally.TaskUsage
}

type taskRun struct {
	lease        acaciatally.TaskLease
	profile      TaskProfile
	share        float64
	from         time.Duration
	progress     time.Duration
	started      time.Time
	checkpointAt time.Time // when a checkpoint in progress will be written; zero when none is
	pending      string    // name of the checkpoint in progress
	checkpoint   string
	state        acaciatally.TaskRunState
	reason       string
	rejected     bool
	events       []event
}

func (r *taskRun) running() bool {
	return !r.rejected && r.state == acaciatally.TaskRunning
}

func (r *taskRun) used() acaciatally.Resources {
	used := r.profile.Uses
	used.Processors *= r.share
	return used
}

// record adds what a report would say now.
func (r *taskRun) record(at time.Time) {
	used := acaciatally.Resources{}
	if r.running() {
		used = r.used()
	}
	r.events = append(r.events, event{at: at, usage: acaciatally.TaskUsage{
		Task: r.lease.Task, Attempt: r.lease.Attempt, Worker: r.lease.Worker, Used: used,
		State: r.state, Checkpoint: r.checkpoint, Reason: r.reason,
	}})
}

func (r *taskRun) end(at time.Time, state acaciatally.TaskRunState, reason string) {
	r.state, r.reason = state, reason
	r.record(at)
}

// visible returns the newest report that is at least one lag old.
func (r *taskRun) visible(seen time.Time) (usage acaciatally.TaskUsage, found bool) {
	for _, candidate := range r.events {
		if candidate.at.After(seen) {
			break
		}
		usage, found = candidate.usage, true
		usage.ReportedAt = seen
	}
	return usage, found
}
