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

// Address says where another entry listens.
type Address struct {
	Entry   acaciatally.EntryID
	Address netip.AddrPort
	// Keep asks for a lasting session; otherwise a session is dialled when a stream is opened.
	Keep bool
}

// Node holds this entry's sessions; it is safe for concurrent use.
type Node struct {
	config  Config
	counts  *counts
	running sync.WaitGroup
	pending chan struct{} // one place per connection without proof

	mu       sync.Mutex
	ctx      context.Context // ends with Run; nil before
	sessions map[acaciatally.EntryID]*session
	links    map[acaciatally.EntryID]*link
	changed  chan struct{} // closed and replaced when a session is added
}

// New returns a node that is not yet running; it fails on an invalid configuration.
func New(config Config) (node *Node, err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "create node") }()
	config.Default()
	if err = config.check(); err != nil {
		return nil, err
	}
	node = &Node{
		config: config, counts: newCounts(config.Metrics), pending: make(chan struct{}, config.MaxHandshakes),
		sessions: map[acaciatally.EntryID]*session{}, links: map[acaciatally.EntryID]*link{}, changed: make(chan struct{}),
	}
	config.Metrics.GetOrCreateGauge("acaciatally_peer_sessions", func() float64 { return float64(len(node.Connected())) })
	return node, nil
}

// Run accepts and dials sessions until ctx ends, then closes them and waits for their streams.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "serve peers") }()
	ctx, cancel := context.WithCancel(ctx)
	defer n.running.Wait()
	defer n.closeAll()
	defer cancel()
	n.start(ctx)
	context.AfterFunc(ctx, func() { _ = n.config.Listener.Close() })
	for {
		conn, err := n.config.Listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.counts.rejected("Accept")
			if !pause(ctx, n.config.ReconnectBase) { // such as too many open files
				return nil
			}
			continue
		}
		n.admit(ctx, conn)
	}
}

func (n *Node) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ctx = ctx
	for _, l := range n.links {
		n.startLink(l)
	}
}

func (n *Node) admit(ctx context.Context, conn net.Conn) {
	select {
	case n.pending <- struct{}{}:
	default:
		n.counts.rejected("TooManyHandshakes")
		_ = conn.Close()
		return
	}
	n.running.Go(func() {
		who, err := n.handshake(conn, false)
		<-n.pending
		if err != nil {
			n.counts.rejected(handshakeReason(err))
			_ = conn.Close()
			return
		}
		n.adopt(ctx, conn, who, false)
	})
}

func handshakeReason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errProof):
		return "WrongKey"
	case errors.Is(err, errDeployment):
		return "WrongDeployment"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "SlowHandshake"
	default:
		return "InvalidHandshake"
	}
}

// adopt makes a proven connection the session with its entry, or closes it when a better session exists.
func (n *Node) adopt(ctx context.Context, conn net.Conn, who identity, dialled bool) {
	fresh, err := n.newSession(conn, who, dialled)
	if err != nil {
		_ = conn.Close()
		return
	}
	n.mu.Lock()
	old := n.sessions[who.entry]
	if ctx.Err() != nil || (old != nil && !old.IsClosed() && !n.replaces(fresh, old)) {
		n.mu.Unlock()
		_ = fresh.Close()
		return
	}
	n.sessions[who.entry] = fresh
	close(n.changed)
	n.changed = make(chan struct{})
	n.running.Go(func() { n.serveSession(ctx, fresh) })
	n.mu.Unlock()
	n.counts.connected()
	n.config.Logger.Info().Str("peer", string(who.entry)).Msg("session opened")
	if old != nil {
		_ = old.Close()
	}
}

// replaces decides between two sessions with one entry in the same way on both sides: a new incarnation or a repeated dial wins,
// else the session dialled by the entry with the lower id.
func (n *Node) replaces(fresh, old *session) bool {
	if fresh.who.incarnation != old.who.incarnation || fresh.dialled == old.dialled {
		return true
	}
	return fresh.dialled == (n.config.Entry < fresh.who.entry)
}

func (n *Node) drop(s *session) {
	_ = s.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.who.entry] == s {
		delete(n.sessions, s.who.entry)
		n.config.Logger.Info().Str("peer", string(s.who.entry)).Msg("session closed")
	}
}

func (n *Node) closeAll() {
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

// Connected returns the entries with a session, in order of id.
func (n *Node) Connected() (entries []acaciatally.EntryID) {
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

// Open opens a stream to an entry and waits for a session until ctx ends; it fails with ErrNotConnected.
func (n *Node) Open(ctx context.Context, to acaciatally.EntryID, kind Kind) (stream *Stream, err error) {
	s, err := n.session(ctx, to)
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
	return newStream(conn, kind, n.counts.kinds[kind], []byte{byte(kind)}), nil
}

func (n *Node) session(ctx context.Context, to acaciatally.EntryID) (*session, error) {
	for {
		n.mu.Lock()
		s, l, changed := n.sessions[to], n.links[to], n.changed
		n.mu.Unlock()
		if s != nil && !s.IsClosed() {
			return s, nil
		}
		if l == nil {
			return nil, ErrNotConnected
		}
		l.demand()
		select {
		case <-ctx.Done():
			return nil, ErrNotConnected
		case <-changed:
		}
	}
}
