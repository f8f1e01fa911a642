package hosting

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// ClientMetrics counts the calls of a client. The platform limits the number of reads and writes per second.
type ClientMetrics struct {
	Reads         *metrics.Counter // read calls sent
	Writes        *metrics.Counter // write calls sent
	BytesSent     *metrics.Counter
	BytesReceived *metrics.Counter
	Failures      *metrics.Counter // sent calls without a complete response with status 200
}

// writePaths are the paths of calls that change state on the platform.
var writePaths = map[string]bool{
	CommitPath: true, PutPath: true, DrainPath: true, RebootPath: true, UndrainPath: true,
	StartPath: true, RenewPath: true, CheckpointPath: true, ThrottlePath: true, StopPath: true,
}

func newClientMetrics(set *metrics.Set) *ClientMetrics {
	newCounter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("acaciatally_platform_%s_total", name))
	}
	return &ClientMetrics{
		Reads: newCounter("reads"), Writes: newCounter("writes"), Failures: newCounter("failures"),
		BytesSent: newCounter("sent_bytes"), BytesReceived: newCounter("received_bytes"),
	}
}

func (m *ClientMetrics) countRequest(path string, bytes int) {
	m.BytesSent.Add(bytes)
	if writePaths[path] {
		m.Writes.Inc()
		return
	}
	m.Reads.Inc()
}

func (m *ClientMetrics) countResponse(bytes int) {
	m.BytesReceived.Add(bytes)
}

func (m *ClientMetrics) countFailure() {
	m.Failures.Inc()
}
