package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxSkippedBody is the size up to which a body that the handler does not want is read, so that the connection stays usable.
	maxSkippedBody = 4 << 10
	// skipTimeout is how long the response waits for the end of such a body; it has usually arrived with the header.
	skipTimeout = 100 * time.Millisecond
)

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Extend reserves bytes for the rest of the request's handling, beside its body. It fails with *acaciatally.NotAcceptedError. It has no effect
// outside a server of a Gate.
func Extend(ctx context.Context, bytes int64) error {
	if c := connOf(ctx); c != nil {
		return c.gate.reserve(c, bytes)
	}
	return nil
}

// ReadBody reads the whole body of a request. It fails with *http.MaxBytesError if it is larger than limit, before it is read where its length is
// announced, and as the body itself does.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) (content []byte, err error) {
	switch {
	case request.ContentLength > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case request.ContentLength > 0:
		content = make([]byte, request.ContentLength)
		err = awaitBody(request.Body) // without memory for a request that is refused
		if err == nil {
			_, err = io.ReadFull(request.Body, content)
		}
	case request.ContentLength < 0:
		content, err = io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	}
	if err != nil {
		return nil, err
	}
	return content, nil
}

// handler counts the requests that inner handles.
func (g *Gate) handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c := connOf(request.Context())
		if c == nil || c.gate != g {
			inner.ServeHTTP(writer, request)
			return
		}
		hasBody := request.ContentLength != 0
		if !c.begin(hasBody) {
			c.end(true)
			panic(http.ErrAbortHandler) // the connection is being closed
		}
		if !hasBody {
			defer c.end(false)
			inner.ServeHTTP(writer, request)
			return
		}
		counted := newCountedBody(c, request)
		response := &responseWriter{ResponseWriter: writer, body: counted}
		defer func() { c.end(response.leavesRest()) }()
		copied := request.WithContext(request.Context()) // the server goes on using the request with the original body
		copied.Body = counted
		inner.ServeHTTP(response, copied)
	})
}

// countedBody is a body whose memory is reserved before it is read, and whose client has to keep to the limits of time.
type countedBody struct {
	io.ReadCloser
	conn      *conn
	length    int64 // announced; -1 if the body is chunked
	received  int64
	reserved  int64
	framing   int64 // bytes of the framing of chunks for which the body has paused
	startedAt time.Time
	deadline  time.Time
	done      bool  // the whole body was read
	expected  bool  // the client waits with the body until the server reads it
	err       error // ends all further reads
}

func newCountedBody(c *conn, request *http.Request) *countedBody {
	b := &countedBody{ReadCloser: request.Body, conn: c, length: request.ContentLength, startedAt: time.Now()}
	b.expected = request.Header.Get("Expect") != ""
	b.extendDeadline(b.startedAt)
	return b
}

func (b *countedBody) extendDeadline(now time.Time) {
	if deadline := b.conn.gate.config.Limits.bodyDeadline(b.startedAt, now, b.received); deadline.Sub(b.deadline) >= deadlineStep {
		b.deadline = deadline
		b.conn.setLimit(deadline)
	}
}

// Read reserves memory and then reads. It fails with *acaciatally.NotAcceptedError if there is not enough, or if the connection is closed to make
// room, and also with os.ErrDeadlineExceeded if the body comes too slowly.
func (b *countedBody) Read(buffer []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.done || len(buffer) == 0 {
		return b.ReadCloser.Read(buffer)
	}
	if b.err = b.reserve(); b.err != nil {
		return 0, b.err
	}
	if b.length < 0 {
		buffer = buffer[:min(int64(len(buffer)), b.reserved/chunkedFactor-b.received)]
	}
	n, err = b.ReadCloser.Read(buffer)
	b.count(int64(n), err)
	if b.err != nil {
		return n, b.err
	}
	return n, err
}

const (
	// chunkedFactor is how many bytes a byte of a body takes whose length is not known, since its buffer grows by copying.
	chunkedFactor = 2
	// firstChunkedBytes is the size of a body without a length for which memory is reserved first; it grows by a quarter.
	firstChunkedBytes = 1 << 10
)

// reserve reserves memory for the next read.
func (b *countedBody) reserve() error {
	needed := b.length
	if b.length > receiveBufferBytes {
		needed += bodyBufferBytes
	}
	missing := needed - b.reserved
	if b.length < 0 {
		missing = 0
		if chunkedFactor*(b.received+1) > b.reserved {
			missing = max(chunkedFactor*firstChunkedBytes, b.reserved/4)
		}
	}
	if missing == 0 {
		return nil
	}
	if err := b.conn.gate.reserve(b.conn, missing); err != nil {
		return err
	}
	b.reserved += missing
	if b.length > receiveBufferBytes {
		widenBuffer(b.conn.Conn)
	}
	return nil
}

// count takes in the result of a read.
func (b *countedBody) count(n int64, err error) {
	b.received += n
	b.done = err == io.EOF || (b.length >= 0 && b.received >= b.length) //nolint:errorlint // a reader returns io.EOF itself
	now := time.Now()
	pause := time.Duration(0)
	usable := b.conn.gate.update(b.conn, func(l *ledger, a *account, _ time.Time) {
		l.receive(a, n, now)
		if b.done {
			l.enter(a, processing, now)
		} else {
			pause = l.framingPause()
		}
	})
	switch {
	case !usable:
		b.err = &acaciatally.NotAcceptedError{Reason: "closed to make room for other requests", RetryAfter: retryAfter}
	case b.done:
		b.conn.setLimit(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.gate.count(func(counts *Report) { counts.Slow++ })
		b.err = fmt.Errorf("%w (%w)", &acaciatally.NotAcceptedError{Reason: "the body came too slowly", RetryAfter: retryAfter}, os.ErrDeadlineExceeded)
	case err == nil:
		b.pause(pause)
		b.extendDeadline(now)
	}
}

// pause sleeps once for each framingStep of the framing of chunks, since reading very small chunks takes more processor time than the
// bytes of the body.
func (b *countedBody) pause(duration time.Duration) {
	if b.length >= 0 {
		return
	}
	for framing := b.conn.bodyBytes.Load() - b.received; framing-b.framing >= framingStep; b.framing += framingStep {
		time.Sleep(duration)
	}
}

// skip reads a small body that the handler has not read. The server would read it after the handler's end, without a limit of time.
func (b *countedBody) skip() {
	if b.done || b.err != nil || b.expected || b.length < 0 || b.length > maxSkippedBody {
		return
	}
	b.conn.setLimit(time.Now().Add(skipTimeout))
	if _, err := io.Copy(io.Discard, b.ReadCloser); err != nil {
		return
	}
	b.count(b.length-b.received, io.EOF)
}

// awaitBody reserves the memory of a body whose length is known.
func awaitBody(reader io.Reader) error {
	if b, ok := reader.(*countedBody); ok && b.err == nil {
		b.err = b.reserve()
		return b.err
	}
	return nil
}

// responseWriter closes the connection after the response if a part of the body is unread, so that the server does not read it.
type responseWriter struct {
	http.ResponseWriter
	body  *countedBody
	wrote bool // the final header is written
	close bool
}

// WriteHeader writes the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		w.body.skip()
		if w.close = !w.body.done; w.close {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response's body.
func (w *responseWriter) Write(content []byte) (n int, err error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(content)
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// leavesRest reports, once the handler has returned, whether the connection is closed with a part of the body unread.
func (w *responseWriter) leavesRest() bool {
	if w.wrote {
		return w.close
	}
	if w.body.done {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}
