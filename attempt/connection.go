package attempt

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Dial opens a network connection to an address.
type Dial func(ctx context.Context, network, address string) (connection net.Conn, err error)

// connection records which bytes passed over it during the current exchange. HTTP/1.1 uses a connection for one exchange at a time.
type connection struct {
	net.Conn
	wrote      atomic.Bool // a byte of the request may have been sent
	readEarly  atomic.Bool // bytes arrived before the first byte of the request was sent, so they belong to another request
	readAnswer atomic.Bool // bytes arrived after the first byte of the request was sent
}

// reset clears the record at the start of an exchange.
func (c *connection) reset() {
	c.wrote.Store(false)
	c.readEarly.Store(false)
	c.readAnswer.Store(false)
}

// Write marks the request as sent before it writes, so that an unmarked exchange has certainly sent nothing. It removes the mark if
// the first write fails without sending a byte.
func (c *connection) Write(content []byte) (n int, err error) {
	alreadyWrote := c.wrote.Swap(true)
	n, err = c.Conn.Write(content)
	if n == 0 && err != nil && !alreadyWrote {
		c.wrote.Store(false)
	}
	return n, err
}

// Read records whether the received bytes can belong to the answer of the current request.
func (c *connection) Read(content []byte) (n int, err error) {
	n, err = c.Conn.Read(content)
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

func (c *connection) recordRead() {
	if c.wrote.Load() {
		c.readAnswer.Store(true)
		return
	}
	c.readEarly.Store(true)
}

// readOnlyAnswer reports whether bytes arrived after the request was sent and none before.
func (c *connection) readOnlyAnswer() bool {
	return c.readAnswer.Load() && !c.readEarly.Load()
}

// recordingDial returns a dial function that limits dialing to the timeout and whose connections are of type *connection.
func recordingDial(dial Dial, timeout time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: dialed}, nil
	}
}
