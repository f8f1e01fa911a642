package overload

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// defaultEstimate is the time assumed for a step without an estimate.
	defaultEstimate = time.Second
	// startMargin multiplies the time of the longest chain of steps, as in the order of work of dispatch: a job that starts later counts as late
	// and goes after the others.
	startMargin = 1.25
	// minSlack bounds slacks from below, because a wait of less than that is part of normal operation.
	minSlack = 500 * time.Millisecond
)

// Slack returns how long a new job may wait and still be completed within its allowed time, given the times of its steps.
func Slack(queue *acaciatally.Queue, steps []acaciatally.Step, times []time.Duration) time.Duration {
	ends, longest := make([]time.Duration, len(steps)), time.Duration(0)
	for number := range steps {
		before := time.Duration(0)
		for _, earlier := range steps[number].After {
			before = max(before, ends[earlier])
		}
		ends[number] = before + times[number]
		longest = max(longest, ends[number])
	}
	return max(minSlack, queue.Objective+time.Duration((max(1, queue.Stretch)-startMargin)*float64(longest)))
}

// EstimatedSlack returns the slack by the caller's estimates, which is all that entries know.
func EstimatedSlack(queue *acaciatally.Queue, steps []acaciatally.Step) time.Duration {
	times := make([]time.Duration, len(steps))
	for number, step := range steps {
		times[number] = step.Estimate
		if step.Estimate <= 0 {
			times[number] = defaultEstimate
		}
	}
	return Slack(queue, steps, times)
}
