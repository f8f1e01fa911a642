package dispatch

import (
	"math"
	"time"
)

const (
	// maxStepKinds is the number of a queue's steps of which the times are kept apart.
	maxStepKinds = 32
	// minStepKindSamples is the number of steps from which the times of a kind are compared with those of its queue.
	minStepKindSamples = 20
	// stepKindGain is the ratio of their errors below which the times of a kind are used instead of those of its queue.
	stepKindGain = 0.85
	// minStepKindDifference is the logarithmic difference of the two predictions from which that is done, a factor of 1.5. Where all steps take
	// about the same time, also one with heavy tails, the queue's times, of which there are more, remain in use.
	minStepKindDifference = 0.4
)

// stepKinds is what is known of the times of a queue's steps by their number in the job. The steps of a job often do different work.
type stepKinds struct {
	kinds []stepTimes
	seen  []int // steps observed of each kind
	total int
}

// observe adds the measured time of a step; estimate is the caller's, or 0 without one.
func (k *stepKinds) observe(number int, measured, estimate time.Duration) {
	k.total++
	if number >= maxStepKinds {
		return
	}
	for len(k.kinds) <= number {
		k.kinds, k.seen = append(k.kinds, stepTimes{}), append(k.seen, 0)
	}
	k.kinds[number].observe(measured, estimate)
	k.seen[number]++
}

// expect returns the expected time of a step with the caller's estimate: by the times of its kind if they are clearly different from those of all
// steps of the queue and closer to the measured ones, else by the latter.
func (k *stepKinds) expect(number int, estimate time.Duration, queue *stepTimes) time.Duration {
	byQueue := queue.expect(estimate)
	if number >= len(k.kinds) || k.seen[number] < minStepKindSamples {
		return byQueue
	}
	kind := &k.kinds[number]
	byKind := kind.expect(estimate)
	if logDifference(byKind, byQueue) > minStepKindDifference && kind.error(k.seen[number]) < stepKindGain*queue.error(k.total) {
		return byKind
	}
	return byQueue
}

// error returns the mean error of the better prediction after a number of steps. Moving means that begin with 0 are corrected for it.
func (s *stepTimes) error(samples int) float64 {
	smallest := s.meanError
	if s.ratio > 0 {
		smallest = min(smallest, s.estimateError)
	}
	return smallest / (1 - math.Pow(1-newSampleWeight, float64(samples)))
}
