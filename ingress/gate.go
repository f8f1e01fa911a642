package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/sys/unix"

	"github.com/acaciatally/acaciatally"
)

const (
	// retryAfter gives the requests in progress time to end.
	retryAfter = time.Second
	// admitTimeout is how long a new connection waits for room, and the ones behind it in the listen queue. Within it each connection that
	// has no finished request becomes old enough to be closed.
	admitTimeout  = 250 * time.Millisecond
	admitInterval = 5 * time.Millisecond
	// maxHeaderTimeout is the longest time for a header that a configuration may allow.
	maxHeaderTimeout = 30 * time.Second
	// reportInterval is the shortest time between two reports.
	reportInterval = time.Second
	// writeTimeout bounds each write, so that a client that does not read its response does not hold its connection.
	writeTimeout = 30 * time.Second
)

// Config configures a Gate.
type Config struct {
	Limits     Limits  // with defaults
	Processors float64 // cores that the process may use, also a fraction; 0 is 1
	// HeaderTimeout returns the configured time limit of headers; nil, or a result of 0, is that of Limits.
	HeaderTimeout func() time.Duration
	// Report is called after requests were refused or connections closed, at most once a second. It may be nil.
	Report func(report Report)
	// Metrics is the set to which the gate's metrics are added. It may be nil.
	Metrics *metrics.Set
}

// Report is what a gate holds, and what it has refused and closed since its start.
type Report struct {
	Bytes              int64 // reserved for requests
	Connections        int   // open
	RefusedConnections int   // closed at once, because there were too many
	RefusedRequests    int   // refused because of their memory
	ClosedIdle         int   // idle connections closed to make room
	ClosedUnfinished   int   // connections with unfinished requests closed to make room
	ClosedUnread       int   // connections closed to make room whose clients did not read their responses
	Slow               int   // requests whose body came too slowly
}

// countEviction counts a connection that is closed to make room, by the phase that it has reached.
func (r *Report) countEviction(reached phase) {
	switch reached {
	case opened, idle:
		r.ClosedIdle++
	case header, body:
		r.ClosedUnfinished++
	case processing:
		r.ClosedUnread++
	}
}

// Gate bounds the memory and connections of the requests on their way in to all servers of a process. It is safe for concurrent use.
type Gate struct {
	config     Config
	mutex      sync.Mutex
	ledger     ledger
	counts     Report
	reportedAt time.Time
}

// New returns a gate.
func New(config Config) *Gate {
	if config.Processors <= 0 {
		config.Processors = 1
	}
	g := &Gate{config: config, ledger: ledger{limits: config.Limits, processors: config.Processors}}
	if config.Metrics != nil {
		g.register(config.Metrics)
	}
	return g
}

func (g *Gate) register(set *metrics.Set) {
	gauge := func(name string, value func(Report) int64) {
		set.GetOrCreateGauge(name, func() float64 { return float64(value(g.State())) })
	}
	gauge("acaciatally_ingress_bytes", func(r Report) int64 { return r.Bytes })
	gauge("acaciatally_ingress_connections", func(r Report) int64 { return int64(r.Connections) })
	gauge(`acaciatally_ingress_refused_total{reason="connections"}`, func(r Report) int64 { return int64(r.RefusedConnections) })
	gauge(`acaciatally_ingress_refused_total{reason="memory"}`, func(r Report) int64 { return int64(r.RefusedRequests) })
	gauge(`acaciatally_ingress_closed_total{reason="idle"}`, func(r Report) int64 { return int64(r.ClosedIdle) })
	gauge(`acaciatally_ingress_closed_total{reason="unfinished"}`, func(r Report) int64 { return int64(r.ClosedUnfinished) })
	gauge(`acaciatally_ingress_closed_total{reason="unread"}`, func(r Report) int64 { return int64(r.ClosedUnread) })
	gauge(`acaciatally_ingress_closed_total{reason="slow"}`, func(r Report) int64 { return int64(r.Slow) })
}

// State returns what the gate holds, and what it has refused and closed.
func (g *Gate) State() (state Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state()
}

func (g *Gate) state() (state Report) {
	state = g.counts
	state.Bytes, state.Connections = g.ledger.bytes, len(g.ledger.accounts)
	return state
}

// count changes the counters and reports them if the last report is long enough ago.
func (g *Gate) count(change func(counts *Report)) {
	g.mutex.Lock()
	change(&g.counts)
	state, now := g.state(), time.Now()
	due := g.config.Report != nil && now.Sub(g.reportedAt) >= reportInterval
	if due {
		g.reportedAt = now
	}
	g.mutex.Unlock()
	if due {
		g.config.Report(state)
	}
}

// Listen opens a listener whose connections hold only little that is not read.
func Listen(ctx context.Context, network, address string) (listener net.Listener, err error) {
	defer func() { err = oops.In("ingress").With("address", address).Wrapf(err, "listen") }()
	setBuffer := func(descriptor uintptr) error {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)       // responses are bounded by time, too
		return unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // inherited by accepted connections
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return control(raw, setBuffer) }}
	config.SetMultipathTCP(false) // its sockets do not pass the size on
	listener, err = config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := listener.(*net.TCPListener); ok {
		raw, err := tcp.SyscallConn()
		if err == nil {
			err = control(raw, func(descriptor uintptr) error { return unix.Listen(int(descriptor), acceptBacklog) })
		}
		if err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	return listener, nil
}

// widenBuffer lets the system hold bodyBufferBytes for a connection. A connection for which that fails has less throughput.
func widenBuffer(inner net.Conn) {
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = control(raw, func(descriptor uintptr) error {
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bodyBufferBytes)
			return unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bodyBufferBytes)
		})
	}
}

// control calls f with the descriptor of a socket.
func control(raw syscall.RawConn, f func(descriptor uintptr) error) (err error) {
	if controlErr := raw.Control(func(descriptor uintptr) { err = f(descriptor) }); controlErr != nil {
		return controlErr
	}
	return err
}

// Serve makes a server count its requests: its handler, the time limit and size limit of its headers, and the connections of the
// listener. The result is the listener that the server has to use.
func (g *Gate) Serve(server *http.Server, inner net.Listener) (outer net.Listener) {
	server.Handler = g.handler(server.Handler)
	server.ReadHeaderTimeout = maxHeaderTimeout // connections have the earlier limit of the configuration
	server.DisableGeneralOptionsHandler = true  // which reads a body without counting it
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = g.config.Limits.HeaderBytes
	}
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connection)
	}
	return &listener{Listener: inner, gate: g}
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room, and closes those for which there is none.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the counted connection, or nil if there are too many for longer than admitTimeout, after it has closed this one.
func (g *Gate) admit(inner net.Conn) *conn {
	c := &conn{Conn: inner, gate: g}
	for waitUntil := time.Now().Add(admitTimeout); ; {
		now := time.Now()
		if g.tryAdmit(c, now) {
			c.startLimit(now.Add(g.headerTimeout()))
			return c
		}
		if !now.Before(waitUntil) {
			break
		}
		time.Sleep(admitInterval)
	}
	g.count(func(counts *Report) { counts.RefusedConnections++ })
	refuseConnection(inner)
	_ = inner.Close()
	return nil
}

func (g *Gate) tryAdmit(c *conn, now time.Time) (admitted bool) {
	g.mutex.Lock()
	a, victim := g.ledger.admit(now)
	if a != nil {
		a.conn, c.account = c, a
	}
	g.mutex.Unlock()
	if victim != nil {
		victim.conn.evict()
	}
	return a != nil
}

// reserve reserves bytes for the request of a connection; it fails with *acaciatally.NotAcceptedError.
func (g *Gate) reserve(c *conn, bytes int64) error {
	g.mutex.Lock()
	victims, ok := g.ledger.reserve(c.account, bytes, time.Now())
	g.mutex.Unlock()
	for _, victim := range victims {
		victim.conn.evict()
	}
	if !ok {
		g.count(func(counts *Report) { counts.RefusedRequests++ })
		return &acaciatally.NotAcceptedError{Reason: "too many bytes of requests in memory", RetryAfter: retryAfter}
	}
	return nil
}

// update changes the account of a connection and reports whether the connection is still of use.
func (g *Gate) update(c *conn, change func(l *ledger, a *account, now time.Time)) (usable bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.ledger, c.account, time.Now())
	return !c.account.evicted
}

func (g *Gate) headerTimeout() time.Duration {
	if g.config.HeaderTimeout != nil {
		if configured := g.config.HeaderTimeout(); configured > 0 {
			return min(configured, maxHeaderTimeout)
		}
	}
	return g.config.Limits.HeaderTimeout
}

// refusal is the response to a connection of which no whole request was read, in the format of both kinds of entries.
var refusal = func() []byte {
	const content = `{"Outcome":"NotRun","Reason":"too many connections","RetryAfter":"1s","error":"not accepted: too many connections"}`
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n%s: %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", acaciatally.OutcomeHeader, acaciatally.NotRun, len(content), content)
}()

// refuseConnection writes a refusal without waiting for the client.
func refuseConnection(inner net.Conn) {
	_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = inner.Write(refusal) // the connection is closed anyway
}
