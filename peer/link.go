package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// higherDelay is how long the entry with the higher id lets the other one dial first, so that pairs rarely dial each other at once.
const higherDelay = 300 * time.Millisecond

// link dials one other entry.
type link struct {
	address Address
	wanted  chan struct{} // holds a token when a stream waits for a session
	cancel  context.CancelFunc
}

func (l *link) demand() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// SetPeers replaces the entries that this node dials; sessions that exist stay open.
func (n *Node) SetPeers(peers []Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := map[acaciatally.EntryID]bool{}
	for _, address := range peers {
		if address.Entry == n.config.Entry {
			continue
		}
		wanted[address.Entry] = true
		old := n.links[address.Entry]
		if old != nil && old.address == address {
			continue
		}
		if old != nil && old.cancel != nil {
			old.cancel()
		}
		fresh := &link{address: address, wanted: make(chan struct{}, 1)}
		n.links[address.Entry] = fresh
		n.startLink(fresh)
	}
	for entry, l := range n.links {
		if wanted[entry] {
			continue
		}
		if l.cancel != nil {
			l.cancel()
		}
		delete(n.links, entry)
	}
}

// startLink runs the link when the node runs; the caller holds mu.
func (n *Node) startLink(l *link) {
	if n.ctx == nil || n.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	l.cancel = cancel
	n.running.Go(func() {
		defer cancel()
		n.connect(ctx, l)
	})
}

// connect keeps a session to the link's entry, with full jitter between attempts.
func (n *Node) connect(ctx context.Context, l *link) {
	attempt := 0
	if n.config.Entry > l.address.Entry && !pause(ctx, higherDelay) {
		return
	}
	for ctx.Err() == nil {
		if s := n.current(l.address.Entry); s != nil {
			attempt = 0
			select {
			case <-ctx.Done():
				return
			case <-s.CloseChan():
			}
			if !pause(ctx, n.backoff(0)) {
				return
			}
			continue
		}
		if !l.address.Keep {
			select {
			case <-ctx.Done():
				return
			case <-l.wanted:
			}
		}
		if n.current(l.address.Entry) != nil {
			continue
		}
		if err := n.dial(ctx, l.address); err != nil {
			n.counts.rejected("Dial")
			if !pause(ctx, n.backoff(attempt)) {
				return
			}
			attempt++
		}
	}
}

func (n *Node) current(entry acaciatally.EntryID) *session {
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
	bounded, cancel := context.WithTimeout(ctx, n.config.HandshakeTimeout)
	defer cancel()
	conn, err := n.config.Dial(bounded, address.Address)
	if err != nil {
		return err
	}
	who, err := n.handshake(conn, true)
	if err == nil && who.entry != address.Entry {
		err = fmt.Errorf("%w: entry %s answers at the address of %s", errGreeting, who.entry, address.Entry)
	}
	if err != nil {
		_ = conn.Close()
		return err
	}
	n.adopt(n.nodeContext(), conn, who, true)
	return nil
}

func (n *Node) nodeContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ctx
}

func pause(ctx context.Context, wait time.Duration) (finished bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
