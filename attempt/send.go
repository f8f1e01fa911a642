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

// sending is one attempt on one worker.
type sending struct {
	config  *Config
	request acaciatally.Request
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	reason  atomic.Pointer[error] // for which the timer would cancel the attempt

	mu         sync.Mutex
	connection *connection // the newest connection that the transport took
	wrote      bool        // an earlier connection of this attempt took bytes
}

// send returns the answer, or why there is none; the answer's Rest must be closed.
func (f *Filter) send(ctx context.Context, exchange *acaciatally.Exchange, grant *acaciatally.Grant) (*acaciatally.Answer, *failure) {
	attempt := &sending{config: &f.config, request: exchange.Request}
	ctx, attempt.cancel = context.WithCancelCause(ctx)
	outgoing, err := attempt.outgoing(ctx, exchange, grant)
	if err != nil {
		attempt.cancel(nil)
		return nil, classify(false, err)
	}
	attempt.startTimer(f.config.FirstByteTimeout, &errFirstByte)
	response, err := f.transport.RoundTrip(outgoing) //nolint:bodyclose // closed by read or by the reader of Rest
	if err != nil {
		err = cause(ctx, err)
		attempt.end()
		return nil, classify(attempt.mayHaveLeft(), err)
	}
	return attempt.read(ctx, response)
}

// startTimer cancels the attempt after the timeout, in place of the timeout before.
func (s *sending) startTimer(timeout time.Duration, reason *error) {
	if timeout <= 0 {
		return
	}
	s.reason.Store(reason)
	if s.timer == nil {
		s.timer = time.AfterFunc(timeout, func() { s.cancel(*s.reason.Load()) })
		return
	}
	s.timer.Reset(timeout)
}

func (s *sending) end() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(nil)
}

// cause prefers the reason for which an attempt was cancelled over the error that the cancellation gave.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

func (s *sending) outgoing(ctx context.Context, exchange *acaciatally.Exchange, grant *acaciatally.Grant) (*http.Request, error) {
	request := s.request
	trace := &httptrace.ClientTrace{GotConn: s.gotConnection}
	ctx = httptrace.WithClientTrace(ctx, trace)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+grant.Address.String()+request.Path, s.body())
	if err != nil {
		return nil, err
	}
	outgoing.Header = answer.EndToEnd(request.Header)
	outgoing.Host = exchange.HTTP.Host
	outgoing.Header.Set(acaciatally.RequestIDHeader, request.ID)
	outgoing.Header.Set(acaciatally.TeamHeader, string(request.Team))
	outgoing.Header.Set(acaciatally.UrgencyHeader, request.Urgency.String())
	outgoing.Header.Set(acaciatally.DeadlineHeader, request.Deadline.Sub(s.config.Clock.Now()).String())
	if outgoing.Header.Get("User-Agent") == "" {
		outgoing.Header.Set("User-Agent", "") // else net/http sends its own
	}
	if !request.Idempotent {
		hideReplayMarks(outgoing.Header)
	}
	return outgoing, nil
}

// body returns the body to send. A request without a body that must not be sent twice gets an empty reader in place of
// http.NoBody: net/http repeats GET, HEAD and OPTIONS by itself on a reused connection that breaks, unless they have a body
// that it cannot get again.
func (s *sending) body() io.Reader {
	if len(s.request.Body) > 0 {
		return bytes.NewReader(s.request.Body)
	}
	switch s.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if !s.request.Idempotent {
			return io.MultiReader()
		}
	}
	return http.NoBody
}

// hideReplayMarks respells the header names for which net/http repeats a request of any method by itself; names in HTTP/1.1
// are the same in either case.
func hideReplayMarks(header http.Header) {
	for name, hidden := range replayMarks {
		if values, found := header[name]; found {
			delete(header, name)
			header[hidden] = values
		}
	}
}

var replayMarks = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func (s *sending) gotConnection(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection != nil {
		s.wrote = s.wrote || s.connection.wrote.Load()
	}
	s.connection = recorded(info.Conn)
	s.connection.begin()
}

func recorded(plain net.Conn) *connection {
	known, found := plain.(*connection)
	if !found {
		panic("a connection that was not dialled here")
	}
	return known
}

// mayHaveLeft reports whether a byte of the request may have reached the network.
func (s *sending) mayHaveLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote || (s.connection != nil && s.connection.wrote.Load())
}

func (s *sending) answersThis() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connection != nil && s.connection.answersThis()
}

// read buffers the answer up to the bound and checks that it is whole and belongs to the request.
func (s *sending) read(ctx context.Context, response *http.Response) (*acaciatally.Answer, *failure) {
	if err := s.check(response); err != nil {
		s.cancel(err) // closes the connection, which may carry more that belongs to no request
		s.end()
		_ = response.Body.Close()
		return nil, &failure{outcome: acaciatally.Unknown, status: response.StatusCode, err: err}
	}
	rest := &rest{sending: s, context: ctx, body: response.Body}
	body, more, err := rest.buffer(s.bufferLimit(response), response.ContentLength)
	if provesNotRun(response.StatusCode, s.config.ProvesNotRun(s.request.Pool)) {
		_ = rest.Close()
		return nil, &failure{outcome: acaciatally.NotRun, status: response.StatusCode, err: errProvedNotRun}
	}
	if err != nil {
		_ = rest.Close()
		return nil, &failure{outcome: acaciatally.Unknown, status: response.StatusCode, err: err}
	}
	whole := &acaciatally.Answer{
		Status: response.StatusCode, Header: ownHeadersRemoved(response.Header), Body: body,
		Outcome: outcomeOfStatus(response.StatusCode),
	}
	if more {
		whole.Rest = rest
		return whole, nil
	}
	_ = rest.Close()
	return whole, nil
}

// bufferLimit is 0 for answers that have no body, whatever length they state.
func (s *sending) bufferLimit(response *http.Response) int64 {
	if !bodyAllowed(s.request.Method, response.StatusCode) {
		return 0
	}
	return s.config.MaxAnswer
}

// ownHeadersRemoved removes the fields of one connection and those that only this system may state.
func ownHeadersRemoved(header http.Header) http.Header {
	answer.RemoveHopByHop(header)
	delete(header, acaciatally.OutcomeHeader)
	delete(header, acaciatally.AnswerHeader)
	return header
}

func (s *sending) check(response *http.Response) error {
	id := response.Header.Get(acaciatally.RequestIDHeader)
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errUpgrade
	case !s.answersThis() || (id != "" && id != s.request.ID):
		return errForeign
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && bodyAllowed(s.request.Method, response.StatusCode):
		return errNoLength
	}
	return nil
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// rest is the part of an answer that is still on its way.
type rest struct {
	sending *sending
	context context.Context
	body    io.ReadCloser
}

// Read reads on; a pause longer than the idle timeout breaks the answer off.
func (r *rest) Read(content []byte) (n int, err error) {
	r.sending.startTimer(r.sending.config.IdleTimeout, &errIdle)
	n, err = r.body.Read(content)
	if err != nil && !errors.Is(err, io.EOF) {
		err = cause(r.context, err)
	}
	return n, err
}

// Close ends the attempt; a connection with an answer that is not read to its end is closed.
func (r *rest) Close() error {
	err := r.body.Close()
	r.sending.end()
	return err
}

// buffer reads up to limit bytes; more reports that the answer is longer.
func (r *rest) buffer(limit, length int64) (body []byte, more bool, err error) {
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
