package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type kindCounts struct {
	sent, received           *metrics.Counter
	sentBytes, receivedBytes *metrics.Counter
	streams                  *metrics.Counter
}

type counts struct {
	set   *metrics.Set
	kinds map[Kind]*kindCounts
}

func newCounts(set *metrics.Set) *counts {
	c := &counts{set: set, kinds: map[Kind]*kindCounts{}}
	for kind := range kindNames {
		c.kinds[kind] = &kindCounts{
			sent:          counter(set, "acaciatally_peer_messages_total", kind, "Sent"),
			received:      counter(set, "acaciatally_peer_messages_total", kind, "Received"),
			sentBytes:     counter(set, "acaciatally_peer_bytes_total", kind, "Sent"),
			receivedBytes: counter(set, "acaciatally_peer_bytes_total", kind, "Received"),
			streams:       counter(set, "acaciatally_peer_streams_total", kind, "Received"),
		}
	}
	return c
}

func counter(set *metrics.Set, name string, kind Kind, direction string) *metrics.Counter {
	return set.GetOrCreateCounter(fmt.Sprintf(`%s{kind="%s",direction="%s"}`, name, kind, direction))
}

// rejected counts connections and streams that were closed for bad input.
func (c *counts) rejected(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`acaciatally_peer_rejected_total{reason="%s"}`, reason)).Inc()
}

func (c *counts) connected() {
	c.set.GetOrCreateCounter("acaciatally_peer_sessions_opened_total").Inc()
}
