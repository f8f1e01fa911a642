package attempt

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// The reasons for which an attempt ends without an answer that may be passed on.
var (
	errFirstByte    = errors.New("no answer began in time")
	errIdle         = errors.New("the answer stood still")
	errForeign      = errors.New("the answer belongs to another request")
	errNoLength     = errors.New("the answer's end cannot be verified")
	errUpgrade      = errors.New("the endpoint switched protocols")
	errProvedNotRun = errors.New("the endpoint refused the request")
	errUnclear      = errors.New("the endpoint's status leaves open whether the request ran")
)

// outcomeOfStatus says what an endpoint's status tells of the request: nothing bad below 500; a gateway status tells of another
// server that did not answer, so whether the request ran is not known.
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

// failure is the end of an attempt without an answer.
type failure struct {
	outcome acaciatally.Outcome
	status  int // the endpoint's status, 0 when none came
	err     error
}

// classify says what became of an attempt that failed: NotRun only when no byte of it may have left.
func classify(wrote bool, err error) *failure {
	if wrote {
		return &failure{outcome: acaciatally.Unknown, err: err}
	}
	return &failure{outcome: acaciatally.NotRun, err: err}
}

// refusal is what the caller is told; an attempt before this one that may have run leaves no room for NotRun.
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
