package soak

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link is what a proxy does to the connections through it.
type link struct {
	delay     time.Duration // of each read
	dropTo    bool          // what the client sends is held back
	dropFrom  bool          // what the server sends is held back
	refuse    bool          // new connections are closed at once
	keepsOpen bool          // connections of before are silent, new ones work
}

// proxy forwards TCP connections and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	link     link
	conns    map[net.Conn]bool
	silent   map[net.Conn]bool
	changed  chan struct{}
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	p := &proxy{
		listener: listener, target: target, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}, changed: make(chan struct{}),
	}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(link{})
	p.reset()
}

// set changes what happens to the connections.
func (p *proxy) set(l link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
	clear(p.silent)
	if l.keepsOpen {
		for conn := range p.conns {
			p.silent[conn] = true
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mutex.Lock()
	refuse := p.link.refuse
	p.mutex.Unlock()
	server, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
	if err != nil || refuse {
		_ = client.Close()
		return
	}
	p.mutex.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, client, func(l link) bool { return l.dropTo }) })
	both.Go(func() { p.pump(client, server, func(l link) bool { return l.dropFrom }) })
	both.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// pump copies one direction; what is held back arrives when the fault is over.
func (p *proxy) pump(to, from net.Conn, holds func(l link) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass(from, holds)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits as long as the link holds the connection's bytes back.
func (p *proxy) pass(conn net.Conn, holds func(l link) bool) {
	for {
		p.mutex.Lock()
		l, changed := p.link, p.changed
		held := holds(l) || p.silent[conn]
		p.mutex.Unlock()
		if !held {
			time.Sleep(l.delay)
			return
		}
		<-changed
	}
}
