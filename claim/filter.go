package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// MaxInline is the largest answer that is kept in the row itself.
	MaxInline = 16 << 10
	// retryAfter is the advice while a request is in progress elsewhere or the table service is down.
	retryAfter = time.Second
	// putTimeout bounds the storing of a large answer, so that its claim is settled in any case.
	putTimeout = 10 * time.Second
)

// Config is what a Filter needs.
type Config struct {
	Entry  acaciatally.EntryID
	Runner *Runner
	// Objects keeps answers above MaxInline; without it only their status is kept.
	Objects acaciatally.ObjectStore
	Clock   acaciatally.Clock
}

// Filter claims requests that are not idempotent; it is safe for concurrent use.
type Filter struct {
	config  Config
	storing sync.WaitGroup
}

// New returns a filter over a runner.
func New(config Config) *Filter {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Filter{config: config}
}

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "claim" }

// Skip reports whether the request needs no claim.
func (f *Filter) Skip(exchange *acaciatally.Exchange) bool { return exchange.Request.Idempotent }

// Run claims the request, or fills in the recorded answer of its earlier run; it fails with *acaciatally.Refusal.
func (f *Filter) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	request := exchange.Request
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	operation := &Operation{ID: request.ID, Row: Row{
		Holder: f.config.Entry, Nonce: rand.Text(), BodyHash: Hash(request), State: Claimed, Deadline: request.Deadline,
	}}
	result, err := f.config.Runner.Claim(ctx, operation)
	if err != nil {
		return notClaimed(err)
	}
	if result.Verdict == Exists {
		return f.repeat(ctx, exchange, operation.Row.BodyHash, result.Row)
	}
	exchange.OnFinish(func(exchange *acaciatally.Exchange) { f.settle(exchange, result) })
	return nil
}

func notClaimed(err error) error {
	refusal := &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, "the deadline passed before the request was claimed"
	case errors.Is(err, context.Canceled):
		refusal.Reason = "the caller left before the request was claimed"
	default:
		refusal.Reason = err.Error()
	}
	return refusal
}

// repeat answers a request whose id is claimed already.
func (f *Filter) repeat(ctx context.Context, exchange *acaciatally.Exchange, hash string, row Row) error {
	switch {
	case row.State != "" && row.BodyHash != hash:
		return &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusUnprocessableEntity,
			Reason: "the request id belongs to a request with another method, path or body",
		}
	case row.State == Done:
		answer, err := f.recorded(ctx, exchange.Request.ID, *row.Answer)
		exchange.Answer = answer
		return err
	case row.State == Claimed && f.config.Clock.Now().After(row.Deadline):
		return inProgress("not known: entry %s claimed the request and did not report its end before the deadline", row.Holder)
	default:
		return inProgress("not known, in progress")
	}
}

func inProgress(format string, arguments ...any) error {
	return &acaciatally.Refusal{
		Outcome: acaciatally.Unknown, Status: http.StatusConflict,
		Reason: fmt.Sprintf(format, arguments...), RetryAfter: retryAfter,
	}
}

func (f *Filter) recorded(ctx context.Context, id string, recorded Recorded) (answer *acaciatally.Answer, err error) {
	answer = &acaciatally.Answer{Status: recorded.Status, Outcome: recorded.Outcome, Header: http.Header{}, Body: recorded.Body}
	if !recorded.Kept {
		answer.Header.Set(acaciatally.AnswerHeader, acaciatally.AnswerNotKept)
		return answer, nil
	}
	if recorded.Header != nil {
		answer.Header = recorded.Header
	}
	answer.Header.Set(acaciatally.AnswerHeader, acaciatally.AnswerRecorded)
	if recorded.Object {
		answer.Body, err = f.object(ctx, id)
	}
	return answer, err
}

func (f *Filter) object(ctx context.Context, id string) (content []byte, err error) {
	err = acaciatally.ErrUnavailable
	if f.config.Objects != nil {
		content, err = f.config.Objects.Get(ctx, objectPrefix+id)
	}
	if err != nil {
		return nil, &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusServiceUnavailable,
			Reason: "the request ran; its recorded answer cannot be read now", RetryAfter: retryAfter,
		}
	}
	return content, nil
}

// settle records the end of the request; an outcome that is not known leaves the claim, so the request never runs again.
func (f *Filter) settle(exchange *acaciatally.Exchange, claimed Result) {
	row := claimed.Row
	switch {
	case exchange.Answer != nil && exchange.Answer.Outcome == acaciatally.Unknown:
		return
	case exchange.Answer != nil:
		row.State = Done
		row.Answer = f.keep(exchange)
	case exchange.Refusal == nil || exchange.Refusal.Outcome == acaciatally.Unknown:
		return
	case exchange.Refusal.Outcome == acaciatally.NotRun:
		row.State = NotRun
	default:
		row.State = Done
		row.Answer = &Recorded{Status: exchange.Refusal.Status, Outcome: exchange.Refusal.Outcome}
	}
	settlement := &Operation{ID: claimed.Operation.ID, Row: row, Version: claimed.Version}
	if row.Answer == nil || !row.Answer.Object {
		f.config.Runner.Settle(settlement)
		return
	}
	body := exchange.Answer.Body
	f.storing.Go(func() { f.storeAndSettle(settlement, body) })
}

// Wait returns when every answer of a finished request is handed to the runner.
func (f *Filter) Wait() { f.storing.Wait() }

func (f *Filter) keep(exchange *acaciatally.Exchange) *Recorded {
	answer := exchange.Answer
	recorded := &Recorded{Status: answer.Status, Outcome: answer.Outcome}
	switch {
	case answer.Rest != nil:
	case len(answer.Body) <= MaxInline:
		recorded.Kept, recorded.Header, recorded.Body = true, answer.Header, answer.Body
	case f.config.Objects != nil:
		recorded.Kept, recorded.Header, recorded.Object = true, answer.Header, true
	}
	return recorded
}

// storeAndSettle keeps only the status when the body cannot be stored.
func (f *Filter) storeAndSettle(settlement *Operation, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	if err := f.config.Objects.Put(ctx, objectPrefix+settlement.ID, body); err != nil {
		settlement.Row.Answer = &Recorded{Status: settlement.Row.Answer.Status, Outcome: settlement.Row.Answer.Outcome}
	}
	f.config.Runner.Settle(settlement)
}
