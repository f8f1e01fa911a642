package attempt

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (connection net.Conn, err error)

// connection records what passed over it since an exchange took it. HTTP/1.1 gives it to one exchange at a time.
type connection struct {
	net.Conn
	wrote atomic.Bool // a byte of the request may have left
	early atomic.Bool // bytes came before the request's first byte left, so they answer another request
	read  atomic.Bool // bytes came after the request's first byte left
}

// begin starts the record of a new exchange.
func (c *connection) begin() {
	c.wrote.Store(false)
	c.early.Store(false)
	c.read.Store(false)
}

// Write marks the exchange before it writes, so an unmarked exchange has written nothing; a first write that fails without a
// byte takes the mark back.
func (c *connection) Write(content []byte) (n int, err error) {
	before := c.wrote.Swap(true)
	n, err = c.Conn.Write(content)
	if n == 0 && err != nil && !before {
		c.wrote.Store(false)
	}
	return n, err
}

// Read tells bytes that may answer the request from those that cannot.
func (c *connection) Read(content []byte) (n int, err error) {
	n, err = c.Conn.Read(content)
	if n > 0 {
		c.record()
	}
	return n, err
}

func (c *connection) record() {
	if c.wrote.Load() {
		c.read.Store(true)
		return
	}
	c.early.Store(true)
}

// answersThis reports whether bytes that the transport took as the answer came after the request and nothing came before it.
func (c *connection) answersThis() bool {
	return c.read.Load() && !c.early.Load()
}

func recordingDial(dial Dial, timeout time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: plain}, nil
	}
}
