package forecast

import "math"

// findPeriod takes the lag with the best autocorrelation of the history as the period, or none below MinConfidence.
func (f *Forecaster) findPeriod() {
	f.period, f.confidence = 0, 0
	series := f.series(len(f.buckets))
	lag, score := bestLag(series, minPeriod, min(f.config.MaxPeriod, len(series)/2))
	if score < f.config.MinConfidence {
		f.confidence = max(0, score)
		return
	}
	f.period, f.confidence = float64(lag), min(1, score)
}

// series returns the newest buckets from the first one with a sample on, with NaN for those without samples.
func (f *Forecaster) series(length int) (series []float64) {
	started := false
	for index := f.last - int64(length) + 1; index <= f.last; index++ {
		slots, known := f.valueAt(index)
		started = started || known
		if !known {
			slots = math.NaN()
		}
		if started {
			series = append(series, slots)
		}
	}
	return series
}

// bestLag returns the lag with the highest autocorrelation, or the shortest local maximum that reaches shorterPeriodShare of it.
func bestLag(series []float64, from, to int) (lag int, score float64) {
	if to < from {
		return 0, 0
	}
	scores := make([]float64, to-from+1)
	mean, variance := meanAndVariance(series)
	if variance == 0 {
		return 0, 0
	}
	highest := 0
	for i := range scores {
		scores[i] = autocorrelation(series, from+i, mean, variance)
		if scores[i] > scores[highest] {
			highest = i
		}
	}
	for i := 1; i < highest; i++ {
		if scores[i] >= shorterPeriodShare*scores[highest] && scores[i] >= scores[i-1] && scores[i] >= scores[i+1] {
			return from + i, scores[i]
		}
	}
	return from + highest, scores[highest]
}

// meanAndVariance returns the mean and the variance of the known values.
func meanAndVariance(series []float64) (mean, variance float64) {
	count := 0.0
	for _, value := range series {
		if !math.IsNaN(value) {
			mean, variance, count = mean+value, variance+value*value, count+1
		}
	}
	if count == 0 {
		return 0, 0
	}
	mean /= count
	return mean, max(0, variance/count-mean*mean)
}

// autocorrelation returns the autocorrelation at the lag, averaged over the pairs of which both values are known.
func autocorrelation(series []float64, lag int, mean, variance float64) float64 {
	sum, count := 0.0, 0
	for i := lag; i < len(series); i++ {
		if product := (series[i] - mean) * (series[i-lag] - mean); !math.IsNaN(product) {
			sum += product
			count++
		}
	}
	// Fewer known pairs than half a lag are too little evidence for a period of that length.
	if count < lag/2 {
		return 0
	}
	return sum / float64(count) / variance
}
