package dispatch

import (
	"math"
	"time"
)

// stepTimes predicts how long a step of a queue takes, which is as long as its longest task. Callers' estimates may be accurate or not, so
// the prediction is the mean of the last steps or the caller's estimate times their mean ratio, whichever was closer to the measured times.
type stepTimes struct {
	mean          time.Duration
	ratio         float64 // measured time over the caller's estimate, moving mean
	meanError     float64 // difference between the measured time and mean, as a logarithm, moving mean
	estimateError float64 // the same for the caller's estimate times ratio
}

// observe adds the measured time of a step; estimate is the caller's, or 0 without one.
func (s *stepTimes) observe(measured, estimate time.Duration) {
	if measured <= 0 {
		return
	}
	known := s.mean > 0
	if known {
		moveMean(&s.meanError, logDifference(measured, s.mean))
	}
	updateMean(&s.mean, measured)
	if estimate <= 0 {
		return
	}
	ratio := float64(measured) / float64(estimate)
	if s.ratio == 0 {
		s.ratio = ratio
		return
	}
	if known {
		moveMean(&s.estimateError, logDifference(measured, time.Duration(s.ratio*float64(estimate))))
	}
	moveMean(&s.ratio, ratio)
}

// expect returns the expected time of a step with the caller's estimate.
func (s *stepTimes) expect(estimate time.Duration) time.Duration {
	switch {
	case s.mean == 0:
		return estimate
	case estimate > 0 && s.ratio > 0 && s.estimateError < s.meanError:
		return time.Duration(s.ratio * float64(estimate))
	}
	return s.mean
}

func moveMean(mean *float64, sample float64) { *mean += newSampleWeight * (sample - *mean) }

// logDifference returns the absolute difference of the logarithms of two durations.
func logDifference(a, b time.Duration) float64 {
	return math.Abs(math.Log(float64(a) / float64(max(b, 1))))
}
