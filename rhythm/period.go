package rhythm

import "math"

// learn finds the lag at which the history repeats itself best.
func (r *Forecaster) learn() {
	r.period, r.confidence = 0, 0
	series := r.series(len(r.buckets))
	lag, score := best(series, minPeriod, min(r.config.MaxPeriod, len(series)/2))
	if score < r.config.MinConfidence {
		r.confidence = max(0, score)
		return
	}
	r.period, r.confidence = float64(lag), min(1, score)
}

// series returns the newest buckets that are covered by the history, with NaN for missing ones.
func (r *Forecaster) series(length int) (series []float64) {
	started := false
	for index := r.last - int64(length) + 1; index <= r.last; index++ {
		slots, known := r.at(index)
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

// best returns the lag with the highest correlation, or a shorter one that is a peak and nearly as good.
func best(series []float64, from, to int) (lag int, score float64) {
	if to < from {
		return 0, 0
	}
	scores := make([]float64, to-from+1)
	mean, variance := moments(series)
	if variance == 0 {
		return 0, 0
	}
	highest := 0
	for i := range scores {
		scores[i] = correlation(series, from+i, mean, variance)
		if scores[i] > scores[highest] {
			highest = i
		}
	}
	for i := 1; i < highest; i++ {
		if scores[i] >= nearbyShare*scores[highest] && scores[i] >= scores[i-1] && scores[i] >= scores[i+1] {
			return from + i, scores[i]
		}
	}
	return from + highest, scores[highest]
}

func moments(series []float64) (mean, variance float64) {
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

// correlation returns the autocorrelation at the lag over the pairs that are known, scaled by their share of all pairs.
func correlation(series []float64, lag int, mean, variance float64) float64 {
	sum, count := 0.0, 0
	for i := lag; i < len(series); i++ {
		if product := (series[i] - mean) * (series[i-lag] - mean); !math.IsNaN(product) {
			sum += product
			count++
		}
	}
	// Fewer pairs than a whole lag tell nothing about a period of that length.
	if count < lag/2 {
		return 0
	}
	return sum / float64(count) / variance
}
