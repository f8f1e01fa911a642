package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	acceptBacklog      = 1024            // streams opened but not yet accepted; a burst of slot requests must not block
	kindTimeout        = 5 * time.Second // time limit for the kind byte of a new stream
	streamCloseTimeout = 5 * time.Second // time limit for a half-closed stream
)

// session is a yamux session with another entry.
type session struct {
	*yamux.Session
	remote  remoteIdentity
	dialled bool
}

// Layout of a yamux frame header: version, type, flags, stream ID and length.
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// sessionConn sets a deadline on each write, so that a peer that stops reading cannot block the session forever. It also writes the
// header and the body of a data frame in one call, which saves a system call and a packet; yamux writes them separately.
type sessionConn struct {
	net.Conn
	writeTimeout  time.Duration
	pendingHeader []byte // data frame header to be written with its body; not locked, since only yamux's send goroutine writes
}

// Write writes p, or buffers it until the next call if it is the header of a data frame.
func (c *sessionConn) Write(p []byte) (n int, err error) {
	if len(c.pendingHeader) == 0 && isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if err = c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	c.pendingHeader = append(c.pendingHeader, p...)
	_, err = c.Conn.Write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderSize && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}

func (n *Node) newSession(conn net.Conn, remote remoteIdentity, dialled bool) (*session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = n.config.KeepAlive
	config.ConnectionWriteTimeout = n.config.WriteTimeout
	config.StreamOpenTimeout = 2 * n.config.WriteTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	yamuxSession, err := open(&sessionConn{Conn: conn, writeTimeout: n.config.WriteTimeout}, config)
	if err != nil {
		return nil, err
	}
	return &session{Session: yamuxSession, remote: remote, dialled: dialled}, nil
}

// serveSession accepts and serves the streams of a session until the session is closed.
func (n *Node) serveSession(ctx context.Context, s *session) {
	active := make(chan struct{}, n.config.MaxStreams)
	for {
		conn, err := s.AcceptStream()
		if err != nil {
			n.removeSession(s)
			return
		}
		select {
		case active <- struct{}{}:
		default:
			n.counters.countRejection("TooManyStreams")
			_ = conn.Close()
			continue
		}
		n.goroutines.Go(func() {
			defer func() { <-active }()
			n.serveStream(ctx, s, conn)
		})
	}
}

func (n *Node) serveStream(ctx context.Context, s *session, conn *yamux.Stream) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(kindTimeout))
	kind, err := byteReader{conn}.ReadByte()
	if err != nil {
		if errors.Is(err, yamux.ErrTimeout) {
			n.counters.countRejection("SlowStream")
		}
		return
	}
	handler, found := n.config.Handlers[StreamKind(kind)]
	if !found {
		n.counters.countRejection("UnknownKind")
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	counters := n.counters.kinds[StreamKind(kind)]
	counters.streams.Inc()
	handler(ctx, s.remote.entry, newStream(conn, StreamKind(kind), counters, nil))
}
