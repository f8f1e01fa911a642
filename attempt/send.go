package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/answer"
)

// workerAttempt is one attempt on one worker.
type workerAttempt struct {
	config        *Config
	request       acaciatally.Request
	cancel        context.CancelCauseFunc
	timer         *time.Timer
	timeoutReason atomic.Pointer[error] // error reported when the timer fires

	mu         sync.Mutex
	connection *connection // the connection that the transport took last
	wrote      bool        // an earlier connection of this attempt has sent bytes
}

// send performs one attempt and returns the answer or the failure; the caller must close the answer's Remainder.
func (f *Filter) send(ctx context.Context, exchange *acaciatally.Exchange, grant *acaciatally.Grant) (*acaciatally.Answer, *failure) {
	attempt := &workerAttempt{config: &f.config, request: exchange.Request}
	ctx, attempt.cancel = context.WithCancelCause(ctx)
	outgoing, err := attempt.outgoing(ctx, exchange, grant)
	if err != nil {
		attempt.cancel(nil)
		return nil, classify(false, err)
	}
	attempt.startTimer(f.config.FirstByteTimeout, &errFirstByte)
	response, err := f.transport.RoundTrip(outgoing) //nolint:bodyclose // closed by read or by the reader of Remainder
	if err != nil {
		err = cause(ctx, err)
		attempt.end()
		return nil, classify(attempt.mayHaveWritten(), err)
	}
	return attempt.read(ctx, response)
}

// startTimer cancels the attempt after the timeout and replaces a timeout set before; a timeout of 0 changes nothing.
func (a *workerAttempt) startTimer(timeout time.Duration, reason *error) {
	if timeout <= 0 {
		return
	}
	a.timeoutReason.Store(reason)
	if a.timer == nil {
		a.timer = time.AfterFunc(timeout, func() { a.cancel(*a.timeoutReason.Load()) })
		return
	}
	a.timer.Reset(timeout)
}

func (a *workerAttempt) end() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(nil)
}

// cause returns the reason for which an attempt was cancelled, or err if it was not cancelled.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

func (a *workerAttempt) outgoing(ctx context.Context, exchange *acaciatally.Exchange, grant *acaciatally.Grant) (*http.Request, error) {
	request := a.request
	trace := &httptrace.ClientTrace{GotConn: a.gotConnection}
	ctx = httptrace.WithClientTrace(ctx, trace)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+grant.Address.String()+request.Path, a.body())
	if err != nil {
		return nil, err
	}
	outgoing.Header = answer.EndToEnd(request.Header)
	outgoing.Host = exchange.HTTP.Host
	outgoing.Header.Set(acaciatally.RequestIDHeader, request.ID)
	outgoing.Header.Set(acaciatally.TeamHeader, string(request.Team))
	outgoing.Header.Set(acaciatally.UrgencyHeader, request.Urgency.String())
	outgoing.Header.Set(acaciatally.DeadlineHeader, request.Deadline.Sub(a.config.Clock.Now()).String())
	if outgoing.Header.Get("User-Agent") == "" {
		outgoing.Header.Set("User-Agent", "") // prevents the default User-Agent of net/http
	}
	if !request.Idempotent {
		respellIdempotencyKeys(outgoing.Header)
	}
	return outgoing, nil
}

// body returns the request body to send. A non-idempotent request without a body gets an empty reader instead of http.NoBody:
// net/http resends GET, HEAD, OPTIONS and TRACE requests when a reused connection breaks, unless they have a body that it cannot
// rewind.
func (a *workerAttempt) body() io.Reader {
	if len(a.request.Body) > 0 {
		return bytes.NewReader(a.request.Body)
	}
	switch a.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if !a.request.Idempotent {
			return io.MultiReader()
		}
	}
	return http.NoBody
}

// respellIdempotencyKeys changes the case of the header names that make net/http resend a request of any method. Header names are
// case-insensitive in HTTP/1.1, so endpoints see no difference.
func respellIdempotencyKeys(header http.Header) {
	for name, respelled := range respelledNames {
		if values, found := header[name]; found {
			delete(header, name)
			header[respelled] = values
		}
	}
}

var respelledNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func (a *workerAttempt) gotConnection(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection != nil {
		a.wrote = a.wrote || a.connection.wrote.Load()
	}
	a.connection = asConnection(info.Conn)
	a.connection.reset()
}

func asConnection(plain net.Conn) *connection {
	known, found := plain.(*connection)
	if !found {
		panic("connection was not opened by recordingDial")
	}
	return known
}

// mayHaveWritten reports whether a byte of the request may have been sent.
func (a *workerAttempt) mayHaveWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wrote || (a.connection != nil && a.connection.wrote.Load())
}

func (a *workerAttempt) readOnlyAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connection != nil && a.connection.readOnlyAnswer()
}

// read checks that the answer belongs to the request, and buffers it up to the limit. A longer answer is returned with Remainder
// set.
func (a *workerAttempt) read(ctx context.Context, response *http.Response) (*acaciatally.Answer, *failure) {
	if err := a.checkAnswer(response); err != nil {
		a.cancel(err) // closes the connection, which may contain more bytes that belong to no request
		a.end()
		_ = response.Body.Close()
		return nil, &failure{outcome: acaciatally.Unknown, status: response.StatusCode, err: err}
	}
	reader := &answerReader{attempt: a, context: ctx, body: response.Body}
	body, more, err := reader.buffer(a.bufferLimit(response), response.ContentLength)
	if provesNotRun(response.StatusCode, a.config.ProvesNotRun(a.request.Pool)) {
		_ = reader.Close()
		return nil, &failure{outcome: acaciatally.NotRun, status: response.StatusCode, err: errProvedNotRun}
	}
	if err != nil {
		_ = reader.Close()
		return nil, &failure{outcome: acaciatally.Unknown, status: response.StatusCode, err: err}
	}
	result := &acaciatally.Answer{
		Status: response.StatusCode, Header: removeReservedHeaders(response.Header), Body: body,
		Outcome: outcomeOfStatus(response.StatusCode),
	}
	if more {
		result.Remainder = reader
		return result, nil
	}
	_ = reader.Close()
	return result, nil
}

// bufferLimit returns the number of bytes to buffer: 0 for answers without a body, regardless of their Content-Length.
func (a *workerAttempt) bufferLimit(response *http.Response) int64 {
	if !bodyAllowed(a.request.Method, response.StatusCode) {
		return 0
	}
	return a.config.MaxAnswer
}

// removeReservedHeaders removes hop-by-hop headers and the headers that only this system may set.
func removeReservedHeaders(header http.Header) http.Header {
	answer.RemoveHopByHop(header)
	delete(header, acaciatally.OutcomeHeader)
	delete(header, acaciatally.AnswerHeader)
	return header
}

func (a *workerAttempt) checkAnswer(response *http.Response) error {
	id := response.Header.Get(acaciatally.RequestIDHeader)
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errUpgrade
	case !a.readOnlyAnswer() || (id != "" && id != a.request.ID):
		return errMismatchedAnswer
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && bodyAllowed(a.request.Method, response.StatusCode):
		return errNoLength
	}
	return nil
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// answerReader reads the part of an answer that has not been received yet.
type answerReader struct {
	attempt *workerAttempt
	context context.Context
	body    io.ReadCloser
}

// Read reads from the body; a pause longer than IdleTimeout ends the attempt with an error.
func (r *answerReader) Read(content []byte) (n int, err error) {
	r.attempt.startTimer(r.attempt.config.IdleTimeout, &errIdle)
	n, err = r.body.Read(content)
	if err != nil && !errors.Is(err, io.EOF) {
		err = cause(r.context, err)
	}
	return n, err
}

// Close ends the attempt and closes the connection if the answer was not read to its end.
func (r *answerReader) Close() error {
	err := r.body.Close()
	r.attempt.end()
	return err
}

// buffer reads up to limit bytes; more reports whether the answer is longer. length is the Content-Length of the answer, or negative if
// it is unknown.
func (r *answerReader) buffer(limit, length int64) (body []byte, more bool, err error) {
	switch {
	case length == 0 || limit == 0:
		return nil, false, nil
	case length > limit:
		return nil, true, nil
	case length > 0:
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, false, err
	}
	var buffer bytes.Buffer
	read, err := io.Copy(&buffer, io.LimitReader(r, limit+1))
	return buffer.Bytes(), read > limit, err
}
