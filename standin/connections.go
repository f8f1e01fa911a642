package standin

import (
	"net"
	"sync"
)

// LimitConnections wraps a listener so that at most limit accepted connections are open at a time; Accept blocks until one closes.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: listener, semaphore: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	semaphore chan struct{}
	closed    chan struct{}
	once      sync.Once
}

func (l *limitedListener) Accept() (connection net.Conn, err error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err = l.Listener.Accept()
	if err != nil {
		<-l.semaphore
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
	c.once.Do(func() { <-c.listener.semaphore })
	return c.Conn.Close()
}
