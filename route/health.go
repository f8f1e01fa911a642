package route

import (
	"math"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// errorRateWeight is the weight of the latest attempt in the error rate, an exponential moving average over about ten attempts.
	errorRateWeight = 0.1
	// fastFailureFactor is the fraction of the typical service time below which a failure counts as fast.
	fastFailureFactor = 0.5
	// maxPenalties is the maximum number of load penalties of a worker; it is larger than the number of slots of any worker.
	maxPenalties = 64
)

// baseline describes the other workers of the pool, with which a worker is compared. Errors that all workers share are caused by the
// requests or by the service and do not indicate a faulty worker.
type baseline struct {
	serviceTime time.Duration
	errorRate   float64 // mean of the workers' recent error rates
}

const (
	// outlierFactor and outlierMargin define how far an error rate may exceed the baseline; a rate over the last ten attempts varies
	// by about as much.
	outlierFactor = 2
	outlierMargin = 0.05
	// streakProbability is the probability per attempt that the baseline error rate alone produces a streak of failures as long as
	// minFailureStreak.
	streakProbability = 1e-6
)

// isOutlier reports whether an error rate is clearly higher than the baseline.
func (b baseline) isOutlier(errorRate float64) bool {
	return errorRate > min(1-outlierMargin, outlierFactor*b.errorRate+outlierMargin)
}

// minFailureStreak returns the length of a streak of failures that the baseline error rate alone would rarely produce; it is 0 if the
// baseline has no errors.
func (b baseline) minFailureStreak() int {
	if b.errorRate <= 0 {
		return 0
	}
	return int(math.Ceil(math.Log(streakProbability) / math.Log(min(b.errorRate, 1-outlierMargin))))
}

// health is the state that the router keeps for one worker.
type health struct {
	breaker   breaker
	errorRate float64     // recent error rate between 0 and 1
	penalties []time.Time // end times of the load penalties for failures, oldest first

	fastFailures int // consecutive
	successes    int // consecutive, while in probation
	probation    bool
	lastPick     time.Time
	inProgress   int
}

// isFailure reports whether the result counts as an error of the worker. A refusal because the worker is full does not, but a streak
// of refusals still leads to probation.
func isFailure(result acaciatally.AttemptResult) bool {
	return !result.Refused && (result.Outcome != "" || result.Status >= http.StatusInternalServerError)
}

// isUnused reports whether the slot was returned without an attempt.
func isUnused(result acaciatally.AttemptResult) bool { return result == acaciatally.AttemptResult{} }

// isRestricted reports whether the worker is in probation or its breaker is open.
func (h *health) isRestricted() bool { return h.probation || h.breaker.open }

// allowed returns how many further attempts the worker may receive now.
func (h *health) allowed(now time.Time, config *Config) int {
	allowed := math.MaxInt
	if !config.DisableBreaker {
		allowed = h.breaker.allowed(now, config)
	}
	if !h.probation || config.DisableProbation {
		return allowed
	}
	if h.inProgress > 0 || now.Sub(h.lastPick) < config.ProbationInterval {
		return 0
	}
	return min(1, allowed)
}

func (h *health) recordPick(now time.Time) {
	h.inProgress++
	h.lastPick = now
	h.breaker.recordPick()
}

// release ends a pick without an attempt.
func (h *health) release() {
	h.inProgress = max(0, h.inProgress-1)
	h.breaker.release()
}

func (h *health) recordSuccess(now time.Time, config *Config) {
	h.inProgress = max(0, h.inProgress-1)
	h.updateErrorRate(false)
	h.breaker.recordSuccess(now, config)
	h.countProbationSuccess(config)
}

func (h *health) recordFailure(now time.Time, result acaciatally.AttemptResult, pool baseline, config *Config) {
	h.inProgress = max(0, h.inProgress-1)
	if !result.Refused {
		h.updateErrorRate(true)
		h.breaker.recordFailure(now, pool.isOutlier(h.errorRate), config)
	}
	if result.Refused || pool.isOutlier(h.errorRate) {
		h.addPenalty(now, pool.serviceTime-result.ServiceTime)
	}
	h.countFastFailure(now, result, pool, config)
}

func (h *health) updateErrorRate(failed bool) {
	h.errorRate *= 1 - errorRateWeight
	if failed {
		h.errorRate += errorRateWeight
	}
}

func (h *health) countProbationSuccess(config *Config) {
	h.fastFailures = 0
	if !h.probation {
		return
	}
	h.successes++
	if h.successes >= config.ProbationSuccesses {
		h.probation, h.successes = false, 0
	}
}

// countFastFailure starts probation after several consecutive fast failures or refusals.
func (h *health) countFastFailure(now time.Time, result acaciatally.AttemptResult, pool baseline, config *Config) {
	h.successes = 0
	if !result.Refused && float64(result.ServiceTime) >= fastFailureFactor*float64(pool.serviceTime) {
		return
	}
	h.fastFailures++
	if h.fastFailures >= max(config.ProbationFailures, pool.minFailureStreak()) {
		h.probation, h.lastPick = true, now
	}
}

// addPenalty counts a failed attempt as load for the rest of the typical service time, so that a worker that fails fast does not
// look idle.
func (h *health) addPenalty(now time.Time, duration time.Duration) {
	if duration <= 0 || len(h.penalties) >= maxPenalties {
		return
	}
	h.penalties = append(h.penalties, now.Add(duration))
}

// activePenalties returns the number of load penalties that have not ended.
func (h *health) activePenalties(now time.Time) int {
	count := 0
	for _, end := range h.penalties {
		if end.After(now) {
			h.penalties[count] = end
			count++
		}
	}
	h.penalties = h.penalties[:count]
	return count
}
