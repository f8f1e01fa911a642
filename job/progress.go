package job

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Phase is the recorded phase of a task.
type Phase int

// The phases of a task.
const (
	Waiting  Phase = iota // no run of the task exists
	Assigned              // a run is assigned to Worker; it may not have started yet, be in progress or have ended
	Done
)

// Task is the recorded progress of one task of an occurrence.
type Task struct {
	Phase      Phase                `json:",omitempty"`
	Attempt    int                  `json:",omitempty"` // number of the latest run; each run has a higher number than the one before
	Worker     acaciatally.WorkerID `json:",omitempty"`
	Failures   int                  `json:",omitempty"`
	Checkpoint string               `json:",omitempty"`
	// Crashes is the number of workers that have crashed under a run of the task since it last ran for some time.
	Crashes int `json:",omitempty"`
	// UnconfirmedCrashes is the same for runs that may not have started.
	UnconfirmedCrashes int `json:",omitempty"`
	// CrashStreak is the number of latest runs in a row under which workers have crashed, also those that had run for some time.
	CrashStreak int `json:",omitempty"`
	// WorkerStart is the start of the worker's incarnation, as far as it was known when the run was recorded. It has whole milliseconds.
	WorkerStart time.Time `json:",omitzero"`
	// LongLease is set if the run was recorded while its worker could hold the longest lease that it grants, since it had restarted.
	LongLease bool `json:",omitempty"`
}

// Occurrence is one execution of a job's steps; a scheduled job has several. Steps holds the tasks of each step.
type Occurrence struct {
	Number int
	Steps  [][]Task
}

// Progress is the recorded progress of a job as a whole.
type Progress struct {
	State acaciatally.JobState
	// Open holds the occurrences that have begun and not ended.
	Open []Occurrence `json:",omitempty"`
	// Next is the number of the first occurrence that has not begun.
	Next int `json:",omitempty"`
	// Digest is the checksum of the job's specification. It tells a repeated submission from a different job with the same ID.
	Digest uint64
	// Account is the owner of the job. It is empty for a job of a public queue, and without configured accounts.
	Account acaciatally.AccountName `json:",omitempty"`
}

// Occurrences returns how many times the steps of the job are to be executed, which is at least once.
func Occurrences(spec acaciatally.JobSpec) int {
	return max(1, spec.Repeat)
}

// Begin adds the next occurrence to Open, with all its tasks waiting, and returns it.
func (p *Progress) Begin(spec acaciatally.JobSpec) *Occurrence {
	occurrence := Occurrence{Number: p.Next, Steps: make([][]Task, len(spec.Steps))}
	for i, step := range spec.Steps {
		occurrence.Steps[i] = make([]Task, step.Count)
	}
	p.Next++
	p.Open = append(p.Open, occurrence)
	return &p.Open[len(p.Open)-1]
}

// StepDone reports whether all tasks of the step are done.
func (o *Occurrence) StepDone(step int) bool {
	for _, task := range o.Steps[step] {
		if task.Phase != Done {
			return false
		}
	}
	return true
}

// Done reports whether all tasks of the occurrence are done.
func (o *Occurrence) Done() bool {
	for step := range o.Steps {
		if !o.StepDone(step) {
			return false
		}
	}
	return true
}

// Ready reports whether all steps on which the step depends are done.
func (o *Occurrence) Ready(spec acaciatally.JobSpec, step int) bool {
	for _, dependency := range spec.Steps[step].After {
		if !o.StepDone(dependency) {
			return false
		}
	}
	return true
}
