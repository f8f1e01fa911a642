package attempt

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// Errors that end an attempt without an answer that can be forwarded. Callers receive their texts as the reason of a refusal.
var (
	errFirstByte        = errors.New("no answer began in time")
	errIdle             = errors.New("the answer stood still")
	errMismatchedAnswer = errors.New("the answer belongs to another request")
	errNoLength         = errors.New("the answer's end cannot be verified")
	errUpgrade          = errors.New("the endpoint switched protocols")
	errProvedNotRun     = errors.New("the endpoint refused the request")
	errAmbiguousStatus  = errors.New("the endpoint's status leaves open whether the request ran")
)

// outcomeOfStatus returns the outcome that an endpoint's status implies. Below 500 it is empty. The gateway statuses 502, 503 and
// 504 report that another server did not answer, so it is unknown whether the request ran.
func outcomeOfStatus(status int) acaciatally.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return acaciatally.Unknown
	}
	if status >= http.StatusInternalServerError {
		return acaciatally.Failed
	}
	return ""
}

// failure describes an attempt that ended without an answer.
type failure struct {
	outcome acaciatally.Outcome
	status  int // the endpoint's status, 0 if none was received
	err     error
}

// classify returns the failure of an attempt. The outcome is NotRun only if no byte of the request can have been sent.
func classify(wrote bool, err error) *failure {
	if wrote {
		return &failure{outcome: acaciatally.Unknown, err: err}
	}
	return &failure{outcome: acaciatally.NotRun, err: err}
}

// refusal returns the refusal that the caller receives. If an earlier attempt may have run, the outcome is Unknown instead of
// NotRun.
func (f *failure) refusal(ctx context.Context, mayHaveRun bool) *acaciatally.Refusal {
	refusal := &acaciatally.Refusal{Outcome: f.outcome, Status: http.StatusBadGateway, Reason: f.err.Error()}
	if f.outcome == acaciatally.NotRun {
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, retryAfter
	}
	if mayHaveRun {
		refusal.Outcome, refusal.Status = acaciatally.Unknown, http.StatusBadGateway
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, "the deadline passed"
	}
	return refusal
}

func provesNotRun(status int, proofs []int) bool {
	return slices.Contains(proofs, status)
}
