package job

import "github.com/acaciatally/acaciatally"

// Phase is how far a task is.
type Phase int

// The phases of a task.
const (
	Waiting  Phase = iota // no run of it exists
	Assigned              // a run was, is or will be on the worker
	Done
)

// Task is the recorded progress of one task.
type Task struct {
	Phase      Phase                `json:",omitempty"`
	Attempt    int                  `json:",omitempty"` // number of the latest run; rises with each run
	Worker     acaciatally.WorkerID `json:",omitempty"`
	Failures   int                  `json:",omitempty"`
	Checkpoint string               `json:",omitempty"`
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Number int
	Steps  [][]Task
}

// Progress is the recorded progress of a job.
type Progress struct {
	State acaciatally.JobState
	// Open are the occurrences that have begun and not ended.
	Open []Occurrence `json:",omitempty"`
	// Next is the number of the first occurrence that has not begun.
	Next int `json:",omitempty"`
	// Digest tells a repeated submission from another one under the same id.
	Digest uint64
}

// Occurrences returns how often the steps of the job are to be executed.
func Occurrences(spec acaciatally.JobSpec) int {
	return max(1, spec.Repeat)
}

// Begin opens the next occurrence.
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

// Done reports whether all tasks are done.
func (o *Occurrence) Done() bool {
	for step := range o.Steps {
		if !o.StepDone(step) {
			return false
		}
	}
	return true
}

// Ready reports whether the steps that come before the step are done.
func (o *Occurrence) Ready(spec acaciatally.JobSpec, step int) bool {
	for _, earlier := range spec.Steps[step].After {
		if !o.StepDone(earlier) {
			return false
		}
	}
	return true
}
