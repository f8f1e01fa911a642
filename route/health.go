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

func (h *health) report(now time.Time, result acaciatally.AttemptResult, typical time.Duration, config *Config) {
	h.inProgress = max(0, h.inProgress-1)
	bad := failed(result)
	if !result.Refused {
		h.breaker.report(now, bad, config)
		h.rate(bad)
	}
	if !bad && !result.Refused {
		h.succeeded(config)
		return
	}
	h.charge(now, typical-result.ServiceTime)
	h.count(now, result, typical, config)
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
func (h *health) count(now time.Time, result acaciatally.AttemptResult, typical time.Duration, config *Config) {
	h.successes = 0
	if !result.Refused && float64(result.ServiceTime) >= fastPart*float64(typical) {
		return
	}
	h.fastFailures++
	if h.fastFailures >= config.ProbationFailures {
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
