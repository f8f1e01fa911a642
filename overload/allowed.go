package overload

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// defaultEstimate is the time assumed for a step without an estimate.
const defaultEstimate = time.Second

// AllowedTime returns the time that a job is allowed from its acceptance, by its caller's estimates. Entries know no measured times; the
// leader computes what it compares with the wait in the same way, so that both mean the same jobs.
func AllowedTime(queue *acaciatally.Queue, spec *acaciatally.JobSpec) time.Duration {
	ends, longest := make([]time.Duration, len(spec.Steps)), time.Duration(0)
	for number, step := range spec.Steps {
		ends[number] = step.Estimate
		if step.Estimate <= 0 {
			ends[number] = defaultEstimate
		}
		before := time.Duration(0)
		for _, earlier := range step.After {
			before = max(before, ends[earlier])
		}
		ends[number] += before
		longest = max(longest, ends[number])
	}
	return queue.Objective + time.Duration(max(1, queue.Stretch)*float64(longest))
}
