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
	// MaxInline is the maximum body size in bytes of an answer that is stored in the claim row itself.
	MaxInline = 16 << 10
	// retryAfter is the Retry-After value while another entry processes the request or the table service is unavailable.
	retryAfter = time.Second
	// objectPutTimeout limits the upload of a large answer, so that its claim is settled even if the object store hangs.
	objectPutTimeout = 10 * time.Second
)

// Config holds the settings of a Filter.
type Config struct {
	Entry  acaciatally.EntryID
	Runner *Runner
	// Objects stores answers larger than MaxInline; if it is nil, only their status is kept.
	Objects acaciatally.ObjectStore
	Clock   acaciatally.Clock
}

// Filter claims non-idempotent requests; it is safe for concurrent use.
type Filter struct {
	config  Config
	uploads sync.WaitGroup
}

// New returns a filter that claims requests through the configured runner.
func New(config Config) *Filter {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Filter{config: config}
}

// String returns the filter's name for logs and metrics.
func (f *Filter) String() string { return "claim" }

// Skip reports whether the request is idempotent and needs no claim.
func (f *Filter) Skip(exchange *acaciatally.Exchange) bool { return exchange.Request.Idempotent }

// Run claims the request, or fills in the recorded answer of an earlier run; it fails with *acaciatally.Refusal.
func (f *Filter) Run(ctx context.Context, exchange *acaciatally.Exchange) (err error) {
	request := exchange.Request
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	operation := &Operation{ID: request.ID, Row: Row{
		Holder: f.config.Entry, Nonce: rand.Text(), BodyHash: Hash(request), State: Claimed, Deadline: request.Deadline,
	}}
	result, err := f.config.Runner.Claim(ctx, operation)
	if err != nil {
		return claimRefusal(err)
	}
	if result.Status == Exists {
		return f.answerRepeat(ctx, exchange, operation.Row.BodyHash, result.Row)
	}
	exchange.OnFinish(func(exchange *acaciatally.Exchange) { f.settle(exchange, result) })
	return nil
}

func claimRefusal(err error) error {
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

// answerRepeat answers a request whose id is already claimed.
func (f *Filter) answerRepeat(ctx context.Context, exchange *acaciatally.Exchange, hash string, row Row) error {
	switch {
	case row.State != "" && row.BodyHash != hash:
		return &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusUnprocessableEntity,
			Reason: "the request id belongs to a request with another method, path or body",
		}
	case row.State == Done:
		answer, err := f.recordedAnswer(ctx, exchange.Request.ID, *row.Answer)
		exchange.Answer = answer
		return err
	case row.State == Claimed && f.config.Clock.Now().After(row.Deadline):
		return unknownRefusal("not known: entry %s claimed the request and did not report its end before the deadline", row.Holder)
	default:
		return unknownRefusal("not known, in progress")
	}
}

func unknownRefusal(format string, arguments ...any) error {
	return &acaciatally.Refusal{
		Outcome: acaciatally.Unknown, Status: http.StatusConflict,
		Reason: fmt.Sprintf(format, arguments...), RetryAfter: retryAfter,
	}
}

func (f *Filter) recordedAnswer(ctx context.Context, id string, recorded RecordedAnswer) (answer *acaciatally.Answer, err error) {
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
		answer.Body, err = f.readObject(ctx, id)
	}
	return answer, err
}

func (f *Filter) readObject(ctx context.Context, id string) (content []byte, err error) {
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

// settle records the result of the request. If the outcome is unknown, the row stays in state Claimed, so that the request never
// runs again.
func (f *Filter) settle(exchange *acaciatally.Exchange, claimed Result) {
	row := claimed.Row
	switch {
	case exchange.Answer != nil && exchange.Answer.Outcome == acaciatally.Unknown:
		return
	case exchange.Answer != nil:
		row.State = Done
		row.Answer = f.recordAnswer(exchange)
	case exchange.Refusal == nil || exchange.Refusal.Outcome == acaciatally.Unknown:
		return
	case exchange.Refusal.Outcome == acaciatally.NotRun:
		row.State = NotRun
	default:
		row.State = Done
		row.Answer = &RecordedAnswer{Status: exchange.Refusal.Status, Outcome: exchange.Refusal.Outcome}
	}
	settlement := &Operation{ID: claimed.Operation.ID, Row: row, Version: claimed.Version}
	if row.Answer == nil || !row.Answer.Object {
		f.config.Runner.Settle(settlement)
		return
	}
	body := exchange.Answer.Body
	f.uploads.Go(func() { f.storeAndSettle(settlement, body) })
}

// Wait blocks until all pending uploads of large answers have finished and their settlements are submitted to the runner.
func (f *Filter) Wait() { f.uploads.Wait() }

func (f *Filter) recordAnswer(exchange *acaciatally.Exchange) *RecordedAnswer {
	answer := exchange.Answer
	recorded := &RecordedAnswer{Status: answer.Status, Outcome: answer.Outcome}
	switch {
	case answer.Remainder != nil:
	case len(answer.Body) <= MaxInline:
		recorded.Kept, recorded.Header, recorded.Body = true, answer.Header, answer.Body
	case f.config.Objects != nil:
		recorded.Kept, recorded.Header, recorded.Object = true, answer.Header, true
	}
	return recorded
}

// storeAndSettle uploads the body and settles the claim; if the upload fails, only the status is kept.
func (f *Filter) storeAndSettle(settlement *Operation, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), objectPutTimeout)
	defer cancel()
	if err := f.config.Objects.Put(ctx, objectPrefix+settlement.ID, body); err != nil {
		settlement.Row.Answer = &RecordedAnswer{Status: settlement.Row.Answer.Status, Outcome: settlement.Row.Answer.Outcome}
	}
	f.config.Runner.Settle(settlement)
}
