package backlog

import (
	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	// EndedBytes is the memory of an ended job until its state expires: its ID, and when the state expires.
	EndedBytes = 256
	// jobBytes is the memory of a job without its steps, and of its places in maps and lists.
	jobBytes = 1 << 10
	// stepBytes is the memory of a step and of the list of its tasks.
	stepBytes = 256
	// taskBytes is the memory of a task.
	taskBytes = 416
	// indexBytes is the memory of one index in the list of the steps that a step follows.
	indexBytes = 8
	// occurrenceBytes is the memory of an open occurrence without its tasks.
	occurrenceBytes = 64
)

// JobBytes returns the memory of a job with the given number of open occurrences, in bytes. A job that has not begun counts one.
func JobBytes(spec *acaciatally.JobSpec, open int) int64 {
	size := int64(jobBytes + len(spec.Payload))
	for i := range spec.Steps {
		step := &spec.Steps[i]
		size += stepBytes + indexBytes*int64(len(step.After)) + int64(len(step.Label)+len(step.NearRack)+len(step.Image))
	}
	return size + int64(max(1, open))*OccurrenceBytes(spec)
}

// OccurrenceBytes returns the memory of one open occurrence of a job, in bytes.
func OccurrenceBytes(spec *acaciatally.JobSpec) int64 {
	return occurrenceBytes + taskBytes*int64(job.Tasks(*spec))
}
