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
	acceptBacklog  = 1024            // streams opened and not yet answered; a burst of slot requests must not block
	firstByteLimit = 5 * time.Second // time in which an opened stream must tell its kind
	closeLimit     = 5 * time.Second // time after which a half-closed stream is dropped
)

// session is one yamux session with another entry.
type session struct {
	*yamux.Session
	who     identity
	dialled bool
}

// The header of a yamux frame: version, type, flags, stream and length.
const (
	frameHeader     = 12
	frameTypeAt     = 1
	frameLengthAt   = 8
	frameTypeOfData = 0
)

// sessionConn ends writes that take longer than limit, so that a peer that stops reading cannot block the session for ever, and
// writes the header of a data frame together with its body, which yamux writes apart: one system call and packet instead of two.
type sessionConn struct {
	net.Conn
	limit  time.Duration
	header []byte // held back until the body comes; only yamux's one sending goroutine writes
}

// Write sends p, or holds it back when it is the header of a data frame.
func (c *sessionConn) Write(p []byte) (n int, err error) {
	if len(c.header) == 0 && headsData(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if err = c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	c.header = append(c.header, p...)
	_, err = c.Conn.Write(c.header)
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func headsData(p []byte) bool {
	return len(p) == frameHeader && p[frameTypeAt] == frameTypeOfData && binary.BigEndian.Uint32(p[frameLengthAt:]) > 0
}

func (n *Node) newSession(conn net.Conn, who identity, dialled bool) (*session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = n.config.KeepAlive
	config.ConnectionWriteTimeout = n.config.WriteTimeout
	config.StreamOpenTimeout = 2 * n.config.WriteTimeout
	config.StreamCloseTimeout = closeLimit
	config.LogOutput = io.Discard
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	multiplexed, err := open(&sessionConn{Conn: conn, limit: n.config.WriteTimeout}, config)
	if err != nil {
		return nil, err
	}
	return &session{Session: multiplexed, who: who, dialled: dialled}, nil
}

// serveSession serves the streams of a session until it ends.
func (n *Node) serveSession(ctx context.Context, s *session) {
	places := make(chan struct{}, n.config.MaxStreams)
	for {
		conn, err := s.AcceptStream()
		if err != nil {
			n.drop(s)
			return
		}
		select {
		case places <- struct{}{}:
		default:
			n.counts.rejected("TooManyStreams")
			_ = conn.Close()
			continue
		}
		n.running.Go(func() {
			defer func() { <-places }()
			n.serveStream(ctx, s, conn)
		})
	}
}

func (n *Node) serveStream(ctx context.Context, s *session, conn *yamux.Stream) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(firstByteLimit))
	kind, err := byteReader{conn}.ReadByte()
	if err != nil {
		if errors.Is(err, yamux.ErrTimeout) {
			n.counts.rejected("SlowStream")
		}
		return
	}
	handler, found := n.config.Handlers[Kind(kind)]
	if !found {
		n.counts.rejected("UnknownKind")
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	counts := n.counts.kinds[Kind(kind)]
	counts.streams.Inc()
	handler(ctx, s.who.entry, newStream(conn, Kind(kind), counts, nil))
}
