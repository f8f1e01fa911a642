package soak

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkState is how a proxy treats the connections through it.
type linkState struct {
	delay         time.Duration // delay of the data of each read
	holdToServer  bool          // data from the client is held back
	holdToClient  bool          // data from the server is held back
	closeNew      bool          // new connections are closed immediately
	stallExisting bool          // existing connections stay open but hold all data back; new ones work
}

// proxy forwards TCP connections and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	link     linkState
	conns    map[net.Conn]bool
	stalled  map[net.Conn]bool
	changed  chan struct{}
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	p := &proxy{
		listener: listener, target: target, conns: map[net.Conn]bool{}, stalled: map[net.Conn]bool{}, changed: make(chan struct{}),
	}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setLink(linkState{})
	p.resetConnections()
}

// setLink changes the state of the link.
func (p *proxy) setLink(l linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = l
	clear(p.stalled)
	if l.stallExisting {
		for conn := range p.conns {
			p.stalled[conn] = true
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
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
	closeNew := p.link.closeNew
	p.mutex.Unlock()
	server, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
	if err != nil || closeNew {
		_ = client.Close()
		return
	}
	p.mutex.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, func(l linkState) bool { return l.holdToServer }) })
	directions.Go(func() { p.forward(client, server, func(l linkState) bool { return l.holdToClient }) })
	directions.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// forward copies one direction; data that is held back is delivered when the fault has ended.
func (p *proxy) forward(to, from net.Conn, isHeld func(l linkState) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitRelease(from, isHeld)
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

// awaitRelease waits until the link no longer holds back the connection's data, and then for the delay of the link.
func (p *proxy) awaitRelease(conn net.Conn, isHeld func(l linkState) bool) {
	for {
		p.mutex.Lock()
		l, changed := p.link, p.changed
		held := isHeld(l) || p.stalled[conn]
		p.mutex.Unlock()
		if !held {
			time.Sleep(l.delay)
			return
		}
		<-changed
	}
}
