package standin

import (
	"net"
	"sync"
)

// LimitConnections returns a listener that holds at most limit connections open and lets further ones wait.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *limitedListener) Accept() (connection net.Conn, err error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err = l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConnection{Conn: connection, listener: l}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

func (c *limitedConnection) Close() error {
	c.once.Do(func() { <-c.listener.places })
	return c.Conn.Close()
}
