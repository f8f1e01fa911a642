package standin

import (
	"net/netip"
	"time"
)

// link is one direction of a host's network link.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time // when all bytes written so far have been sent
}

// reserve returns how long it takes until the bytes are sent, behind those written before.
func (l *link) reserve(bytes int, now time.Time) time.Duration {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}

// hostLinks holds both directions of a host's link.
type hostLinks struct{ out, in link }

// LimitLink limits what the host sends and receives to a rate in bits per second each; all of its connections share it.
func (n *Network) LimitLink(host netip.Addr, bitsPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = &hostLinks{out: link{bytesPerSecond: bitsPerSecond / 8}, in: link{bytesPerSecond: bitsPerSecond / 8}}
}

// transmit waits until the bytes have passed the links of both ends, or the connection is closed.
func (c *pipeConn) transmit(bytes int) {
	c.network.mu.Lock()
	now, delay := time.Now(), time.Duration(0)
	if links := c.network.links[c.from.Addr()]; links != nil {
		delay = links.out.reserve(bytes, now)
	}
	if links := c.network.links[c.to.Addr()]; links != nil {
		delay = max(delay, links.in.reserve(bytes, now))
	}
	c.network.mu.Unlock()
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-c.closed:
	case <-timer.C:
	}
}
