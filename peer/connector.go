package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// higherIDDialDelay delays the first dial of the entry with the higher ID, so that two entries rarely dial each other at the same time.
const higherIDDialDelay = 300 * time.Millisecond

// connector dials one other entry, either to keep a session open or on demand.
type connector struct {
	address   Address
	requested chan struct{} // buffered; holds an element while a stream is waiting for a session
	cancel    context.CancelFunc
}

func (c *connector) requestSession() {
	select {
	case c.requested <- struct{}{}:
	default:
	}
}

// SetPeers replaces the set of entries that this node dials. Existing sessions stay open.
func (n *Node) SetPeers(peers []Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	configured := map[acaciatally.EntryID]bool{}
	for _, address := range peers {
		if address.Entry == n.config.Entry {
			continue
		}
		configured[address.Entry] = true
		existing := n.connectors[address.Entry]
		if existing != nil && existing.address == address {
			continue
		}
		if existing != nil && existing.cancel != nil {
			existing.cancel()
		}
		added := &connector{address: address, requested: make(chan struct{}, 1)}
		n.connectors[address.Entry] = added
		n.startConnector(added)
	}
	for entry, c := range n.connectors {
		if configured[entry] {
			continue
		}
		if c.cancel != nil {
			c.cancel()
		}
		delete(n.connectors, entry)
	}
}

// startConnector starts the connector if the node is running. The caller must hold mu.
func (n *Node) startConnector(c *connector) {
	if n.ctx == nil || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	c.cancel = cancel
	n.goroutines.Go(func() {
		defer cancel()
		n.maintainSession(ctx, c)
	})
}

// maintainSession dials the entry whenever a session is needed and none is open, with exponential backoff and full jitter.
func (n *Node) maintainSession(ctx context.Context, c *connector) {
	attempt := 0
	if n.config.Entry > c.address.Entry && !acaciatally.Sleep(ctx, higherIDDialDelay) {
		return
	}
	for ctx.Err() == nil {
		if s := n.liveSession(c.address.Entry); s != nil {
			attempt = 0
			select {
			case <-ctx.Done():
				return
			case <-s.CloseChan():
			}
			if !acaciatally.Sleep(ctx, n.backoff(0)) {
				return
			}
			continue
		}
		if !c.address.KeepConnected {
			select {
			case <-ctx.Done():
				return
			case <-c.requested:
			}
		}
		if n.liveSession(c.address.Entry) != nil {
			continue
		}
		if err := n.dial(ctx, c.address); err != nil {
			n.counters.countRejection("Dial")
			if !acaciatally.Sleep(ctx, n.backoff(attempt)) {
				return
			}
			attempt++
		}
	}
}

func (n *Node) liveSession(entry acaciatally.EntryID) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.sessions[entry]; s != nil && !s.IsClosed() {
		return s
	}
	return nil
}

func (n *Node) backoff(attempt int) time.Duration {
	limit := min(n.config.ReconnectBase<<min(attempt, 16), n.config.ReconnectMax)
	return time.Duration(n.config.Random() * float64(limit))
}

func (n *Node) dial(ctx context.Context, address Address) error {
	dialCtx, cancel := context.WithTimeout(ctx, n.config.HandshakeTimeout)
	defer cancel()
	conn, err := n.config.Dial(dialCtx, address.Address)
	if err != nil {
		return err
	}
	remote, err := n.handshake(conn, true)
	if err == nil && remote.entry != address.Entry {
		err = fmt.Errorf("%w: entry %s responded at the address of %s", errInvalidGreeting, remote.entry, address.Entry)
	}
	if err != nil {
		_ = conn.Close()
		return err
	}
	n.addSession(n.runContext(), conn, remote, true)
	return nil
}

func (n *Node) runContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ctx
}
