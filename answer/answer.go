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

// writeTimeout limits each write, so that the memory of a response is freed if its caller does not read it.
const writeTimeout = 30 * time.Second

// ErrTruncated is returned when a response ended early after a part was sent to the caller. The caller's connection must be closed.
var ErrTruncated = errors.New("response ended early")

// Filter writes responses. It is safe for concurrent use.
type Filter struct{}

// New returns a filter.
func New() *Filter { return &Filter{} }

// String returns the name of the filter in logs and metrics.
func (f *Filter) String() string { return "answer" }

// Run writes exchange.Answer to the caller. It fails with ErrTruncated if the remainder of a long response cannot be copied completely, and
// with *acaciatally.Refusal, before anything is written, if the caller could not detect a truncated response.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	response := exchange.Answer
	if response.Remainder != nil && !truncationDetectable(exchange) {
		return &acaciatally.Refusal{
			Outcome: acaciatally.Unknown, Status: http.StatusBadGateway,
			Reason: "the request ran; HTTP/1.0 cannot show where its long answer ends",
		}
	}
	header := exchange.Writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(acaciatally.RequestIDHeader, exchange.Request.ID)
	if response.Outcome != "" {
		header.Set(acaciatally.OutcomeHeader, string(response.Outcome))
	}
	if header["Date"] == nil {
		header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if response.Remainder == nil && hasBody(exchange.Request.Method, response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	exchange.Writer.WriteHeader(response.Status)
	writer := &deadlineWriter{Writer: exchange.Writer, controller: http.NewResponseController(exchange.Writer)}
	if _, err = writer.Write(response.Body); err != nil || response.Remainder == nil {
		return nil //nolint:nilerr // the caller left, so there is nobody to tell
	}
	return copyRemainder(writer, response.Remainder)
}

// truncationDetectable reports whether the caller can detect that a long response ended early.
func truncationDetectable(exchange *acaciatally.Exchange) bool {
	return exchange.HTTP.ProtoAtLeast(1, 1) || exchange.Answer.Header.Get("Content-Length") != ""
}

// deadlineWriter limits the duration of each write, for callers that read too slowly.
type deadlineWriter struct {
	io.Writer
	controller *http.ResponseController
}

// Write implements io.Writer and sets a new deadline.
func (w *deadlineWriter) Write(content []byte) (n int, err error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by all writers; those have no limit
	return w.Writer.Write(content)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyRemainder copies the remainder of a response. It fails with ErrTruncated if the remainder cannot be copied completely.
func copyRemainder(writer io.Writer, remainder io.Reader) error {
	if _, err := io.Copy(writer, remainder); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// RefusalBody is the JSON body of the response to a refused request.
type RefusalBody struct {
	Outcome    acaciatally.Outcome
	Reason     string
	RequestID  string `json:",omitempty"`
	RetryAfter string `json:",omitempty"` // in the format of time.Duration.String
}

// Refuse writes the response for a refusal. Nothing may have been written before.
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
		panic(err) // cannot happen, since the body contains only strings
	}
	header.Set(acaciatally.OutcomeHeader, string(refusal.Outcome))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(content)+1))
	writer.WriteHeader(refusal.Status)
	_, _ = writer.Write(append(content, '\n'))
}
