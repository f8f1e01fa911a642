package speed

import (
	"math"
	"time"
)

const (
	// minKindSamples is the number of completed runs from which the times of a kind are known.
	minKindSamples = 8
	// sampleWeight is the weight of a new run in the moving means of a kind.
	sampleWeight = 0.05
	// measurementTime is added to all compared times. It is about the time between the end of a run and its report, which says nothing about the
	// speed of the worker.
	measurementTime = 40 * time.Millisecond
	// maxDeviations is the number of standard deviations to which a run is clipped, so that single runs hardly move the mean of a kind.
	maxDeviations = 3
	// minDeviation is the smallest standard deviation to which runs are clipped.
	minDeviation = 0.3
	// varianceTolerance is the relative difference up to which two variances count as equal. With equal estimates they differ only by rounding.
	varianceTolerance = 1e-6
)

// Kind is what is known of the run times of one kind of task over all workers. Callers' estimates may be accurate or not, so run times are
// compared with the mean of the kind, or with the estimate times its mean ratio, whichever varies less. If both vary alike, the estimates were
// equal so far, and one that differs is taken to tell of a task of another length.
type Kind struct{ absolute, relative logMean }

// logMean is the moving mean and variance of a logarithm.
type logMean struct {
	samples        int
	mean, variance float64
}

// observe adds a sample. The weight of the first ones is larger, so that they are averaged.
func (m *logMean) observe(sample float64) {
	m.samples++
	difference := sample - m.mean
	if m.samples > minKindSamples {
		limit := maxDeviations * max(minDeviation, math.Sqrt(m.variance))
		difference = max(-limit, min(limit, difference))
	}
	weight := max(sampleWeight, 1/float64(m.samples))
	m.mean += weight * difference
	m.variance = (1 - weight) * (m.variance + weight*difference*difference)
}

// Observe adds a completed run with the caller's estimate, or 0 without one. slowness is the known logarithmic factor of its worker, by which the
// sample is corrected.
func (k *Kind) Observe(runTime, estimate time.Duration, slowness float64) {
	k.absolute.observe(logTime(runTime) - slowness)
	if estimate > 0 {
		k.relative.observe(logTime(runTime) - slowness - logTime(estimate))
	}
}

// Compare returns the logarithm of a run time over the expected one, and the variance of the kind. It is not known before minKindSamples runs.
func (k *Kind) Compare(runTime, estimate time.Duration) (difference, variance float64, known bool) {
	if estimate > 0 && k.relative.samples >= minKindSamples && k.relative.variance <= k.absolute.variance*(1+varianceTolerance) {
		return logTime(runTime) - logTime(estimate) - k.relative.mean, k.relative.variance, true
	}
	return logTime(runTime) - k.absolute.mean, k.absolute.variance, k.absolute.samples >= minKindSamples
}

// logTime returns the logarithm of a time in seconds.
func logTime(t time.Duration) float64 { return math.Log((t + measurementTime).Seconds()) }
