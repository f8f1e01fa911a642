package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type kindCounters struct {
	sent, received           *metrics.Counter
	sentBytes, receivedBytes *metrics.Counter
	streams                  *metrics.Counter
}

type counters struct {
	set   *metrics.Set
	kinds map[StreamKind]*kindCounters
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{set: set, kinds: map[StreamKind]*kindCounters{}}
	for kind := range kindNames {
		c.kinds[kind] = &kindCounters{
			sent:          directionCounter(set, "acaciatally_peer_messages_total", kind, "Sent"),
			received:      directionCounter(set, "acaciatally_peer_messages_total", kind, "Received"),
			sentBytes:     directionCounter(set, "acaciatally_peer_bytes_total", kind, "Sent"),
			receivedBytes: directionCounter(set, "acaciatally_peer_bytes_total", kind, "Received"),
			streams:       directionCounter(set, "acaciatally_peer_streams_total", kind, "Received"),
		}
	}
	return c
}

func directionCounter(set *metrics.Set, name string, kind StreamKind, direction string) *metrics.Counter {
	return set.GetOrCreateCounter(fmt.Sprintf(`%s{kind="%s",direction="%s"}`, name, kind, direction))
}

// countRejection counts a failed dial or accept, and a connection or stream that was closed because of invalid input or a limit.
func (c *counters) countRejection(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`acaciatally_peer_rejected_total{reason="%s"}`, reason)).Inc()
}

func (c *counters) countSession() {
	c.set.GetOrCreateCounter("acaciatally_peer_sessions_opened_total").Inc()
}
