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

// ErrUnreachable reports that no listener accepts connections at the dialled address.
var ErrUnreachable = errors.New("address is unreachable")

// Network connects simulated processes over net.Pipe, so that a group of them can run in the virtual time of a synctest bubble.
type Network struct {
	mu         sync.Mutex
	listeners  map[netip.AddrPort]*PipeListener
	conns      map[*pipeConn]struct{}
	frozen     map[netip.AddrPort]chan struct{} // the channel is closed when the address is unfrozen
	partitions map[netip.AddrPort]int           // partition of each address; addresses in different partitions cannot communicate
	links      map[netip.Addr]*hostLinks        // hosts with a limited link
}

// NewNetwork returns a network without listeners or faults.
func NewNetwork() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*PipeListener{}, conns: map[*pipeConn]struct{}{},
		frozen: map[netip.AddrPort]chan struct{}{}, partitions: map[netip.AddrPort]int{}, links: map[netip.Addr]*hostLinks{},
	}
}

// Listen returns a listener at the address; it replaces an earlier listener there.
func (n *Network) Listen(address netip.AddrPort) *PipeListener {
	listener := &PipeListener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

// Dial returns a dial function for the process at the address from.
func (n *Network) Dial(from netip.AddrPort) func(ctx context.Context, to netip.AddrPort) (conn net.Conn, err error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		listener, partitioned := n.listeners[to], n.partitions[from] != n.partitions[to]
		n.mu.Unlock()
		if partitioned {
			<-ctx.Done() // packets are dropped, so the connection is not refused but times out
			return nil, ctx.Err()
		}
		if listener == nil {
			return nil, ErrUnreachable
		}
		a, b := net.Pipe()
		local, remote := newPipeConn(n, a, from, to), newPipeConn(n, b, to, from)
		select {
		case listener.incoming <- remote:
			n.register(local, remote)
			return local, nil
		case <-listener.closed:
			return nil, ErrUnreachable
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *Network) register(conns ...*pipeConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		n.conns[conn] = struct{}{}
	}
}

// Freeze blocks writes on all connections of the address, without closing them, until the returned function is called.
func (n *Network) Freeze(address netip.AddrPort) (unfreeze func()) {
	unfrozen := make(chan struct{})
	n.mu.Lock()
	n.frozen[address] = unfrozen
	n.mu.Unlock()
	return sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.frozen, address)
		n.mu.Unlock()
		close(unfrozen)
	})
}

// Partition moves the addresses to a partition; dials and writes between partitions block. All addresses start in partition 0.
func (n *Network) Partition(partition int, addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.partitions[address] = partition
	}
}

// CloseConnections closes all connections of the address, as when its process crashes.
func (n *Network) CloseConnections(address netip.AddrPort) {
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

// linkState returns a channel that is closed when a freeze of the connection ends (nil if it is not frozen), and whether its ends are
// in different partitions.
func (n *Network) linkState(conn *pipeConn) (frozen chan struct{}, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen = n.frozen[conn.from]; frozen == nil {
		frozen = n.frozen[conn.to]
	}
	return frozen, n.partitions[conn.from] != n.partitions[conn.to]
}

// pipeConn is one end of a connection in a Network.
type pipeConn struct {
	net.Conn
	network  *Network
	from, to netip.AddrPort
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	deadline time.Time // for writes
}

func newPipeConn(network *Network, conn net.Conn, from, to netip.AddrPort) *pipeConn {
	return &pipeConn{Conn: conn, network: network, from: from, to: to, closed: make(chan struct{})}
}

// partitionPollInterval is how often a write between partitions checks whether it can proceed or has to fail.
const partitionPollInterval = 50 * time.Millisecond

// Write blocks while an end is frozen or the ends are in different partitions. As on a real connection, a write deadline ends the wait.
func (c *pipeConn) Write(p []byte) (written int, err error) {
	c.transmit(len(p))
	for {
		frozen, partitioned := c.network.linkState(c)
		if frozen == nil && !partitioned {
			return c.Conn.Write(p)
		}
		timer := time.NewTimer(partitionPollInterval)
		select {
		case <-frozen: // nil if the connection is partitioned but not frozen
		case <-c.closed:
		case <-timer.C:
		}
		timer.Stop()
		if err = c.checkWritable(); err != nil {
			return 0, err
		}
	}
}

func (c *pipeConn) checkWritable() error {
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

// SetWriteDeadline sets the deadline for current and future writes.
func (c *pipeConn) SetWriteDeadline(deadline time.Time) (err error) {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline sets the deadline for current and future reads and writes.
func (c *pipeConn) SetDeadline(deadline time.Time) (err error) {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	return c.Conn.SetDeadline(deadline)
}

// Close closes the connection; the other end gets an error on its next read or write.
func (c *pipeConn) Close() (err error) {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// PipeListener is a listener of a Network.
type PipeListener struct {
	network  *Network
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection; it fails with net.ErrClosed once the listener is closed.
func (l *PipeListener) Accept() (conn net.Conn, err error) {
	select {
	case conn = <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close removes the listener from the network; accepted connections stay open.
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
