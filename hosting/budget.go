package hosting

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Budget counts what a client asks of the platform, whose reads and writes a second are limited.
type Budget struct {
	Reads         *metrics.Counter // calls that read
	Writes        *metrics.Counter // calls that write
	BytesSent     *metrics.Counter
	BytesReceived *metrics.Counter
	Failures      *metrics.Counter // calls without a whole answer
}

// writePaths are the calls that change something.
var writePaths = map[string]bool{
	CommitPath: true, PutPath: true, DrainPath: true, RebootPath: true, UndrainPath: true,
	StartPath: true, RenewPath: true, CheckpointPath: true, ThrottlePath: true, StopPath: true,
}

func newBudget(set *metrics.Set) *Budget {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("acaciatally_platform_%s_total", name))
	}
	return &Budget{
		Reads: counter("reads"), Writes: counter("writes"), Failures: counter("failures"),
		BytesSent: counter("sent_bytes"), BytesReceived: counter("received_bytes"),
	}
}

func (b *Budget) sent(path string, bytes int) {
	b.BytesSent.Add(bytes)
	if writePaths[path] {
		b.Writes.Inc()
		return
	}
	b.Reads.Inc()
}

func (b *Budget) received(bytes int) {
	b.BytesReceived.Add(bytes)
}

func (b *Budget) failed() {
	b.Failures.Inc()
}
