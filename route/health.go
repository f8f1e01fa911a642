package route

import (
	"math"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// errorWeight is the weight of the latest attempt in the recent error rate: about the last ten attempts count.
	errorWeight = 0.1
	// fastPart is the part of the typical service time below which a failure counts as fast.
	fastPart = 0.5
	// maxCharges bounds the remembered load charges of a worker; it is larger than any worker's slots.
	maxCharges = 64
)

// standard is what a worker is compared with: the pool's other workers. Errors that they share are caused by requests or by the
// service and say nothing about one worker.
type standard struct {
	serviceTime time.Duration
	errors      float64 // recent error rate
}

const (
	// errorFactor and errorMargin bound the error rates that pass for usual: a rate over the last ten attempts varies by about
	// as much.
	errorFactor = 2
	errorMargin = 0.05
	// streakChance is the chance, for each attempt, of a series of failures that usual errors alone produce.
	streakChance = 1e-6
)

// exceeded reports whether an error rate is clearly higher than usual.
func (s standard) exceeded(errors float64) bool {
	return errors > min(1-errorMargin, errorFactor*s.errors+errorMargin)
}

// streak is the length of a series of failures that usual errors alone would rarely produce.
func (s standard) streak() int {
	if s.errors <= 0 {
		return 0
	}
	return int(math.Ceil(math.Log(streakChance) / math.Log(min(s.errors, 1-errorMargin))))
}

// health is what the router knows of one worker.
type health struct {
	breaker breaker
	errors  float64     // recent error rate between 0 and 1
	charges []time.Time // ends of the load charges for failures, oldest first

	fastFailures int // in a row
	successes    int // in a row, while in probation
	probation    bool
	lastPick     time.Time
	inProgress   int
}

// failed reports whether the result speaks against the worker. A refusal as full does not count as an error; a series of
// refusals still leads to probation.
func failed(result acaciatally.AttemptResult) bool {
	return !result.Refused && (result.Outcome != "" || result.Status >= http.StatusInternalServerError)
}

// unused reports whether the slot was returned without an attempt.
func unused(result acaciatally.AttemptResult) bool { return result == acaciatally.AttemptResult{} }

// withheld reports whether the worker receives less than its share.
func (h *health) withheld() bool { return h.probation || h.breaker.open }

// admits returns how many further attempts the worker may receive now.
func (h *health) admits(now time.Time, config *Config) int {
	admitted := math.MaxInt
	if !config.WithoutBreaker {
		admitted = h.breaker.admits(now, config)
	}
	if !h.probation || config.WithoutProbation {
		return admitted
	}
	if h.inProgress > 0 || now.Sub(h.lastPick) < config.ProbationInterval {
		return 0
	}
	return min(1, admitted)
}

func (h *health) picked(now time.Time) {
	h.inProgress++
	h.lastPick = now
	h.breaker.picked()
}

// release ends a pick that was not used.
func (h *health) release() {
	h.inProgress = max(0, h.inProgress-1)
	h.breaker.release()
}

func (h *health) answered(now time.Time, config *Config) {
	h.inProgress = max(0, h.inProgress-1)
	h.rate(false)
	h.breaker.answered(now, config)
	h.succeeded(config)
}

func (h *health) failed(now time.Time, result acaciatally.AttemptResult, usual standard, config *Config) {
	h.inProgress = max(0, h.inProgress-1)
	if !result.Refused {
		h.rate(true)
		h.breaker.failed(now, usual.exceeded(h.errors), config)
	}
	if result.Refused || usual.exceeded(h.errors) {
		h.charge(now, usual.serviceTime-result.ServiceTime)
	}
	h.count(now, result, usual, config)
}

func (h *health) rate(bad bool) {
	h.errors *= 1 - errorWeight
	if bad {
		h.errors += errorWeight
	}
}

func (h *health) succeeded(config *Config) {
	h.fastFailures = 0
	if !h.probation {
		return
	}
	h.successes++
	if h.successes >= config.ProbationSuccesses {
		h.probation, h.successes = false, 0
	}
}

// count puts a worker that fails fast several times in a row into probation.
func (h *health) count(now time.Time, result acaciatally.AttemptResult, usual standard, config *Config) {
	h.successes = 0
	if !result.Refused && float64(result.ServiceTime) >= fastPart*float64(usual.serviceTime) {
		return
	}
	h.fastFailures++
	if h.fastFailures >= max(config.ProbationFailures, usual.streak()) {
		h.probation, h.lastPick = true, now
	}
}

// charge counts a failed attempt as load for the rest of the typical service time, so that a worker does not look idle
// because it fails fast.
func (h *health) charge(now time.Time, rest time.Duration) {
	if rest <= 0 || len(h.charges) >= maxCharges {
		return
	}
	h.charges = append(h.charges, now.Add(rest))
}

// charged returns the number of load charges that have not ended.
func (h *health) charged(now time.Time) int {
	count := 0
	for _, end := range h.charges {
		if end.After(now) {
			h.charges[count] = end
			count++
		}
	}
	h.charges = h.charges[:count]
	return count
}
