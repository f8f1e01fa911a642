package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusalTimeout bounds the write of a refusal; the send buffer of a connection without a response takes it at once.
	refusalTimeout = 50 * time.Millisecond
	// lingerTime is how long a connection with an unread body stays open after its response, since closing it with unread bytes resets it,
	// and the client may lose the response.
	lingerTime = 500 * time.Millisecond
	// readBufferBytes is the size of the server's buffer; the header's part of it is counted with the connection.
	readBufferBytes = 4 << 10
	// headerFactor is how much memory a byte of a header takes: it is in a line, in the header's fields and in a copy that a handler may make.
	headerFactor = 3
	// writePartBytes is the size of the parts in which a response is written.
	writePartBytes = 16 << 10
	// deadlineStep is the shortest time by which the deadline of a body is extended, so that not every read sets it.
	deadlineStep = 100 * time.Millisecond
)

var errClosed = errors.New("the request was refused")

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// conn is a connection whose requests are counted.
type conn struct {
	net.Conn
	gate    *Gate
	account *account // guarded by the gate

	inRequest   atomic.Bool  // a request's header is complete and its handler runs
	evicted     atomic.Bool  // the connection is closed to make room
	stopped     atomic.Bool  // reads fail, because the rest of a request is not wanted
	headerBytes atomic.Int64 // received since the end of the last request
	reserved    atomic.Int64 // memory reserved for headerBytes

	bodyBytes atomic.Int64 // received within the current request after its header, with the framing of chunks

	writeLimitSetAt time.Time // belongs to the writer

	mutex     sync.Mutex
	requested time.Time // read deadline that the server has set
	limit     time.Time // read deadline by the limits
	applied   time.Time
	closeOnce sync.Once
	closeErr  error
}

// Read reads from the connection, after it has counted the memory that a longer header takes.
func (c *conn) Read(buffer []byte) (n int, err error) {
	if c.stopped.Load() {
		return 0, errClosed
	}
	if c.inRequest.Load() {
		c.applyLimit()
		n, err = c.Conn.Read(buffer)
		c.bodyBytes.Add(int64(n))
		return n, err
	}
	if received := c.headerBytes.Load(); received >= readBufferBytes && headerFactor*received > c.reserved.Load() {
		if err = c.gate.reserve(c, headerFactor*readBufferBytes); err != nil {
			c.stopped.Store(true)
			refuseConnection(c.Conn)
			return 0, err
		}
		c.reserved.Add(headerFactor * readBufferBytes)
	}
	c.applyLimit()
	n, err = c.Conn.Read(buffer)
	if n > 0 && !c.inRequest.Load() {
		c.receivedHeader(int64(n))
	}
	return n, err
}

func (c *conn) receivedHeader(n int64) {
	now := time.Now()
	if c.headerBytes.Add(n) == n {
		c.startLimit(now.Add(c.gate.headerTimeout()))
	}
	c.gate.update(c, func(l *ledger, a *account, _ time.Time) {
		if a.phase == opened || a.phase == idle {
			l.enter(a, header, now)
		}
		l.receive(a, n, now)
	})
}

// Write writes to the connection in parts, so that it is known when the client last took one.
func (c *conn) Write(content []byte) (n int, err error) {
	defer c.setWriting(time.Time{})
	for {
		c.setWriting(time.Now())
		part := content[n:min(len(content), n+writePartBytes)]
		written, err := c.writePart(part)
		n += written
		if err != nil || n == len(content) {
			return n, err
		}
	}
}

// setWriting records since when the client has not taken a part of the response; zero if nothing is being written.
func (c *conn) setWriting(since time.Time) {
	c.gate.update(c, func(_ *ledger, a *account, _ time.Time) { a.writingSince = since })
}

// writePart writes for a limited time, which is short if the request is evicted.
func (c *conn) writePart(content []byte) (n int, err error) {
	if c.evicted.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // the write reports a connection that is closed
	} else if now := time.Now(); now.Sub(c.writeLimitSetAt) > writeTimeout/8 {
		c.writeLimitSetAt = now
		_ = c.SetWriteDeadline(now.Add(writeTimeout))
	}
	return c.Conn.Write(content)
}

// SetReadDeadline sets the server's deadline; the earlier one of it and the limits applies.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requested = deadline
	return c.apply()
}

// setLimit sets the deadline by the limits, from the next read on; zero is none.
func (c *conn) setLimit(limit time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.limit.Equal(longAgo) { // else the request is evicted
		c.limit = limit
	}
}

// startLimit sets the deadline by the limits if there is none. The header of a connection's first request has its limit from the beginning of
// the connection.
func (c *conn) startLimit(limit time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limit.IsZero() {
		c.limit = limit
	}
}

// endReads ends the read in progress and all later ones.
func (c *conn) endReads() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limit = longAgo
	_ = c.apply() // fails only if the connection is closed
}

// applyLimit makes the limit the deadline of the next read. Most requests have arrived with the first one, and need no deadline of their own.
func (c *conn) applyLimit() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.apply() // the read reports a connection that is closed
}

func (c *conn) apply() error {
	deadline := earliest(c.requested, c.limit)
	if deadline.Equal(c.applied) {
		return nil
	}
	c.applied = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// evict ends the connection: an unfinished body's read fails, so that its handler refuses it, and any other connection is closed.
func (c *conn) evict() {
	c.gate.mutex.Lock()
	reached := c.account.phase
	if reached == processing && c.account.writingSince.IsZero() {
		reached = body // its last byte has come after the decision; the handler learns of it and refuses the request
	}
	c.gate.mutex.Unlock()
	c.gate.count(func(counts *Report) { counts.countEviction(reached) })
	if reached == body {
		c.evicted.Store(true)
		c.endReads()
		return
	}
	switch reached {
	case header:
		refuseConnection(c.Conn)
	case processing:
		c.discardUnsent()
	}
	_ = c.finish()
}

// discardUnsent lets the system drop what the client has not taken when the connection is closed, instead of keeping it for minutes.
func (c *conn) discardUnsent() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// begin is called at the end of a request's header. It reports whether the request may be handled.
func (c *conn) begin(hasBody bool) (usable bool) {
	c.inRequest.Store(true)
	next := processing
	if hasBody {
		next = body
	}
	usable = c.gate.update(c, func(l *ledger, a *account, now time.Time) { l.enter(a, next, now) })
	if !hasBody {
		c.setLimit(time.Time{})
	}
	return usable
}

// end is called when the handler has returned, and returns what the request held. rest reports that a part of the request is not read and
// not wanted.
func (c *conn) end(rest bool) {
	c.gate.update(c, func(l *ledger, a *account, now time.Time) {
		l.release(a)
		next := idle
		if rest {
			next = refused
		}
		l.enter(a, next, now)
	})
	c.headerBytes.Store(0)
	c.reserved.Store(0)
	c.bodyBytes.Store(0)
	c.stopped.Store(rest)
	c.setLimit(time.Time{})
	c.inRequest.Store(false)
}

// CloseWrite ends the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection, after lingerTime if a part of a request is unread and there is room for other connections.
func (c *conn) Close() error {
	full := false
	c.gate.update(c, func(l *ledger, _ *account, _ time.Time) { full = l.full() })
	if full || !c.stopped.Load() {
		return c.finish()
	}
	err := c.CloseWrite()
	time.AfterFunc(lingerTime, func() { _ = c.finish() })
	return err
}

func (c *conn) finish() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.gate.update(c, func(l *ledger, a *account, _ time.Time) { l.remove(a) })
	})
	return c.closeErr
}
