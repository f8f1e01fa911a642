package answer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
)

// writeTimeout frees the memory of an answer whose caller does not read it.
const writeTimeout = 30 * time.Second

// ErrBrokenOff reports that an answer ended early after its beginning went to the caller, whose connection must be cut.
var ErrBrokenOff = errors.New("answer broke off")

// Filter writes answers; it is safe for concurrent use.
type Filter struct{}

// New returns a filter.
func New() *Filter { return &Filter{} }

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "answer" }

// Run writes the answer; it fails with ErrBrokenOff when the rest of a long answer does not come whole, and with
// *acaciatally.Refusal when the caller could not see that.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	answer := exchange.Answer
	if answer.Rest != nil && !endVisible(exchange) {
		return &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusBadGateway,
			Reason: "the request ran; HTTP/1.0 cannot show where its long answer ends",
		}
	}
	header := exchange.Writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(acaciatally.RequestIDHeader, exchange.Request.ID)
	if answer.Outcome != "" {
		header.Set(acaciatally.OutcomeHeader, string(answer.Outcome))
	}
	if header["Date"] == nil {
		header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if answer.Rest == nil && hasBody(exchange.Request.Method, answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	exchange.Writer.WriteHeader(answer.Status)
	writer := &timedWriter{Writer: exchange.Writer, control: http.NewResponseController(exchange.Writer)}
	if _, err = writer.Write(answer.Body); err != nil || answer.Rest == nil {
		return nil //nolint:nilerr // the caller left, so there is nobody to tell
	}
	return stream(writer, answer.Rest)
}

// endVisible reports whether the caller can tell a long answer that ended early from a whole one.
func endVisible(exchange *acaciatally.Exchange) bool {
	return exchange.HTTP.ProtoAtLeast(1, 1) || exchange.Answer.Header.Get("Content-Length") != ""
}

// timedWriter ends the wait for a caller that reads too slowly.
type timedWriter struct {
	io.Writer
	control *http.ResponseController
}

// Write writes with a new deadline.
func (t *timedWriter) Write(content []byte) (n int, err error) {
	_ = t.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // writers without deadlines are not bounded
	return t.Writer.Write(content)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the rest; an error of the reader means that the answer is not whole.
func stream(writer io.Writer, rest io.Reader) error {
	if _, err := io.Copy(writer, rest); err != nil {
		return fmt.Errorf("%w: %w", ErrBrokenOff, err)
	}
	return nil
}

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Outcome    acaciatally.Outcome
	Reason     string
	RequestID  string `json:",omitempty"`
	RetryAfter string `json:",omitempty"` // a duration
}

// Refuse writes a refusal; nothing else may have been written.
func Refuse(writer http.ResponseWriter, requestID string, refusal *acaciatally.Refusal) {
	body := RefusalBody{Outcome: refusal.Outcome, Reason: refusal.Reason, RequestID: requestID}
	header := writer.Header()
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
		body.RetryAfter = refusal.RetryAfter.String()
	}
	content, err := json.Marshal(body)
	if err != nil {
		panic(err) // the body holds only strings
	}
	header.Set(acaciatally.OutcomeHeader, string(refusal.Outcome))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(content)+1))
	writer.WriteHeader(refusal.Status)
	_, _ = writer.Write(append(content, '\n'))
}
