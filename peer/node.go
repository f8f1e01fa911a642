package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// Address is the peer address of an entry.
type Address struct {
	Entry   acaciatally.EntryID
	Address netip.AddrPort
	// KeepConnected maintains the session at all times. Otherwise a session is dialled when a stream is opened.
	KeepConnected bool
}

// Node manages the sessions of this entry with its peers. It is safe for concurrent use.
type Node struct {
	config     Config
	counters   *counters
	goroutines sync.WaitGroup
	handshakes chan struct{} // semaphore of unauthenticated connections

	mu           sync.Mutex
	ctx          context.Context // cancelled when Run ends; nil before Run
	sessions     map[acaciatally.EntryID]*session
	connectors   map[acaciatally.EntryID]*connector
	sessionAdded chan struct{} // closed and replaced when a session is added
}

// New returns a node that has not been started. It fails if the configuration is invalid.
func New(config Config) (node *Node, err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "create node") }()
	config.SetDefaults()
	if err = config.validate(); err != nil {
		return nil, err
	}
	node = &Node{
		config: config, counters: newCounters(config.Metrics), handshakes: make(chan struct{}, config.MaxHandshakes),
		sessions: map[acaciatally.EntryID]*session{}, connectors: map[acaciatally.EntryID]*connector{}, sessionAdded: make(chan struct{}),
	}
	config.Metrics.GetOrCreateGauge("acaciatally_peer_sessions", func() float64 { return float64(len(node.ConnectedEntries())) })
	return node, nil
}

// Run accepts and dials sessions until ctx is done, then closes them and waits for their stream handlers to return.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "serve peers") }()
	ctx, cancel := context.WithCancel(ctx)
	defer n.goroutines.Wait()
	defer n.closeSessions()
	defer cancel()
	n.start(ctx)
	context.AfterFunc(ctx, func() { _ = n.config.Listener.Close() })
	for {
		conn, err := n.config.Listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.counters.countRejection("Accept")
			if !acaciatally.Sleep(ctx, n.config.ReconnectBase) { // the error may be temporary, such as too many open files
				return nil
			}
			continue
		}
		n.acceptConn(ctx, conn)
	}
}

func (n *Node) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ctx = ctx
	for _, c := range n.connectors {
		n.startConnector(c)
	}
}

func (n *Node) acceptConn(ctx context.Context, conn net.Conn) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		n.counters.countRejection("TooManyHandshakes")
		_ = conn.Close()
		return
	}
	n.goroutines.Go(func() {
		remote, err := n.handshake(conn, false)
		<-n.handshakes
		if err != nil {
			n.counters.countRejection(rejectionReason(err))
			_ = conn.Close()
			return
		}
		n.addSession(ctx, conn, remote, false)
	})
}

func rejectionReason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errWrongKey):
		return "WrongKey"
	case errors.Is(err, errWrongDeployment):
		return "WrongDeployment"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "SlowHandshake"
	default:
		return "InvalidHandshake"
	}
}

// addSession makes an authenticated connection the session with its entry, or closes it if the existing session takes precedence.
func (n *Node) addSession(ctx context.Context, conn net.Conn, remote remoteIdentity, dialled bool) {
	candidate, err := n.newSession(conn, remote, dialled)
	if err != nil {
		_ = conn.Close()
		return
	}
	n.mu.Lock()
	existing := n.sessions[remote.entry]
	if ctx.Err() != nil || (existing != nil && !existing.IsClosed() && !n.shouldReplace(candidate, existing)) {
		n.mu.Unlock()
		_ = candidate.Close()
		return
	}
	n.sessions[remote.entry] = candidate
	close(n.sessionAdded)
	n.sessionAdded = make(chan struct{})
	n.goroutines.Go(func() { n.serveSession(ctx, candidate) })
	n.mu.Unlock()
	n.counters.countSession()
	n.config.Logger.Info().Str("peer", string(remote.entry)).Msg("session opened")
	if existing != nil {
		_ = existing.Close()
	}
}

// shouldReplace reports whether candidate takes precedence over the existing session with the same entry. Both sides must decide alike:
// a session of a new incarnation or a repeated dial wins, otherwise the session dialled by the entry with the lower ID.
func (n *Node) shouldReplace(candidate, existing *session) bool {
	if candidate.remote.incarnation != existing.remote.incarnation || candidate.dialled == existing.dialled {
		return true
	}
	return candidate.dialled == (n.config.Entry < candidate.remote.entry)
}

func (n *Node) removeSession(s *session) {
	_ = s.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.remote.entry] == s {
		delete(n.sessions, s.remote.entry)
		n.config.Logger.Info().Str("peer", string(s.remote.entry)).Msg("session closed")
	}
}

func (n *Node) closeSessions() {
	n.mu.Lock()
	var open []*session
	for _, s := range n.sessions {
		open = append(open, s)
	}
	n.mu.Unlock()
	for _, s := range open {
		_ = s.Close()
	}
}

// ConnectedEntries returns the IDs of the entries with an open session, sorted.
func (n *Node) ConnectedEntries() (entries []acaciatally.EntryID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for entry, s := range n.sessions {
		if !s.IsClosed() {
			entries = append(entries, entry)
		}
	}
	slices.Sort(entries)
	return entries
}

// Open opens a stream to an entry and waits for a session if none is open. It fails with ErrNotConnected when ctx is done, or at once if
// the entry is not among the peers of the last call of SetPeers.
func (n *Node) Open(ctx context.Context, to acaciatally.EntryID, kind StreamKind) (stream *Stream, err error) {
	s, err := n.awaitSession(ctx, to)
	if err != nil {
		return nil, err
	}
	conn, err := s.OpenStream()
	if err != nil {
		return nil, errors.Join(ErrNotConnected, err)
	}
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil, ErrNotConnected
	}
	return newStream(conn, kind, n.counters.kinds[kind], []byte{byte(kind)}), nil
}

func (n *Node) awaitSession(ctx context.Context, to acaciatally.EntryID) (*session, error) {
	for {
		n.mu.Lock()
		s, c, sessionAdded := n.sessions[to], n.connectors[to], n.sessionAdded
		n.mu.Unlock()
		if s != nil && !s.IsClosed() {
			return s, nil
		}
		if c == nil {
			return nil, ErrNotConnected
		}
		c.requestSession()
		select {
		case <-ctx.Done():
			return nil, ErrNotConnected
		case <-sessionAdded:
		}
	}
}
