package standin

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// ErrUnreachable reports that a simulated network has no way between two addresses.
var ErrUnreachable = errors.New("address is unreachable")

// Network connects simulated processes over net.Pipe, so that a whole group of them runs in virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*PipeListener
	conns     map[*pipeConn]struct{}
	frozen    map[netip.AddrPort]chan struct{} // closed when the process wakes
	side      map[netip.AddrPort]int           // part of a partitioned network
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*PipeListener{}, conns: map[*pipeConn]struct{}{},
		frozen: map[netip.AddrPort]chan struct{}{}, side: map[netip.AddrPort]int{},
	}
}

// Listen returns a listener at the address.
func (n *Network) Listen(address netip.AddrPort) *PipeListener {
	listener := &PipeListener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

// Dial returns a function that connects from the address to others.
func (n *Network) Dial(from netip.AddrPort) func(ctx context.Context, to netip.AddrPort) (conn net.Conn, err error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		listener, cut := n.listeners[to], n.side[from] != n.side[to]
		n.mu.Unlock()
		if cut {
			<-ctx.Done() // packets are lost, nothing refuses
			return nil, ctx.Err()
		}
		if listener == nil {
			return nil, ErrUnreachable
		}
		a, b := net.Pipe()
		near, far := newPipeConn(n, a, from, to), newPipeConn(n, b, to, from)
		select {
		case listener.incoming <- far:
			n.add(near, far)
			return near, nil
		case <-listener.closed:
			return nil, ErrUnreachable
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *Network) add(conns ...*pipeConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		n.conns[conn] = struct{}{}
	}
}

// Freeze stops all connections of the address without closing them, until the returned function is called.
func (n *Network) Freeze(address netip.AddrPort) (wake func()) {
	woken := make(chan struct{})
	n.mu.Lock()
	n.frozen[address] = woken
	n.mu.Unlock()
	return sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.frozen, address)
		n.mu.Unlock()
		close(woken)
	})
}

// Partition puts the addresses on one side of a cut; connections across it hang. A side of 0 heals.
func (n *Network) Partition(side int, addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.side[address] = side
	}
}

// Break closes all connections of the address, as when its process dies.
func (n *Network) Break(address netip.AddrPort) {
	n.mu.Lock()
	var broken []*pipeConn
	for conn := range n.conns {
		if conn.from == address || conn.to == address {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// state returns a channel that ends a freeze of the connection, and whether a cut separates its ends.
func (n *Network) state(conn *pipeConn) (frozen chan struct{}, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen = n.frozen[conn.from]; frozen == nil {
		frozen = n.frozen[conn.to]
	}
	return frozen, n.side[conn.from] != n.side[conn.to]
}

// pipeConn is one end of a connection in a Network.
type pipeConn struct {
	net.Conn
	network  *Network
	from, to netip.AddrPort
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	deadline time.Time // of writes
}

func newPipeConn(network *Network, conn net.Conn, from, to netip.AddrPort) *pipeConn {
	return &pipeConn{Conn: conn, network: network, from: from, to: to, closed: make(chan struct{})}
}

// cutPoll is how often a write across a cut looks whether the cut is healed.
const cutPoll = 50 * time.Millisecond

// Write passes the bytes on once neither end is frozen nor cut off; a write deadline ends the wait as it does on a real connection.
func (c *pipeConn) Write(p []byte) (written int, err error) {
	for {
		frozen, cut := c.network.state(c)
		if frozen == nil && !cut {
			return c.Conn.Write(p)
		}
		timer := time.NewTimer(cutPoll)
		select {
		case <-frozen: // nil when there is only a cut
		case <-c.closed:
		case <-timer.C:
		}
		timer.Stop()
		if err = c.usable(); err != nil {
			return 0, err
		}
	}
}

func (c *pipeConn) usable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
	}
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// SetWriteDeadline bounds the present and later writes.
func (c *pipeConn) SetWriteDeadline(deadline time.Time) (err error) {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline bounds the present and later reads and writes.
func (c *pipeConn) SetDeadline(deadline time.Time) (err error) {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetDeadline(deadline)
}

// Close closes both ends.
func (c *pipeConn) Close() (err error) {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// PipeListener accepts connections of a Network.
type PipeListener struct {
	network  *Network
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection; it fails with net.ErrClosed.
func (l *PipeListener) Accept() (conn net.Conn, err error) {
	select {
	case conn = <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *PipeListener) Close() (err error) {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *PipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
