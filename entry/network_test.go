package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

// The first summary with a given window starts a goroutine in the metrics package that never ends. synctest would wait for it if it were
// started in a test's bubble.
var _ = metrics.NewSet().NewSummary("first")

// runInBubble runs a test in a synctest bubble, in virtual time. yamux keeps timers in a sync.Pool, and a timer must not be used in
// another bubble; two garbage collections empty the pool.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// network connects hosts in memory by net.Pipe.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	blocked   map[route]int // number of active faults that block the route
}

// route is a host's connection path to an address.
type route struct {
	host    *host
	address string
}

type listener struct {
	network *network
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accept:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// host is the network access of one process. When it is killed, its connections break.
type host struct {
	*network
	mu          sync.Mutex
	dead        bool
	resumed     chan struct{} // closed by resume; nil while the host is not frozen
	connections []*hostConnection
}

// hostConnection blocks reads and writes while its host is frozen. Sessions between entries do not block, because their senders
// would wait for locks, which stops virtual time. A test instead blocks the routes of these sessions while the host is frozen.
type hostConnection struct {
	net.Conn
	host    *host
	to      string // address that the host dialled; empty for an accepted connection
	session bool   // whether it is a session between entries
	closed  chan struct{}
	once    sync.Once
}

// Close also ends calls that block because the host is frozen.
func (c *hostConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *hostConnection) waitWhileFrozen() {
	c.host.mu.Lock()
	resumed := c.host.resumed
	c.host.mu.Unlock()
	if resumed == nil || c.session {
		return
	}
	select {
	case <-resumed:
	case <-c.closed:
	}
}

func (c *hostConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.waitWhileFrozen()
	return n, err
}

func (c *hostConnection) Write(content []byte) (int, error) {
	c.waitWhileFrozen()
	return c.Conn.Write(content)
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

// track registers the host's end of a connection and returns it, or closes it and returns nil if the host is dead.
func (h *host) track(connection net.Conn, to string, port uint16) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		_ = connection.Close()
		return nil
	}
	tracked := &hostConnection{Conn: connection, host: h, to: to, session: port >= peerPorts, closed: make(chan struct{})}
	h.connections = append(h.connections, tracked)
	return tracked
}

// addBlock adds delta to the number of faults that block the route to the address. While there are any, new connections are refused;
// a positive delta also closes the connections that the host dialled to the address.
func (h *host) addBlock(address string, delta int) {
	h.network.mu.Lock()
	h.blocked[route{host: h, address: address}] += delta
	h.network.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, connection := range h.connections {
		if connection.to == address && delta > 0 {
			_ = connection.Close()
		}
	}
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
	for _, connection := range h.connections {
		_ = connection.Close()
	}
}

func (h *host) Listen(_ context.Context, _, address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{network: h.network, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	h.listeners[address] = l
	return &hostListener{listener: l, host: h}, nil
}

type hostListener struct {
	*listener
	host *host
}

func (l *hostListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.host.track(connection, "", netip.MustParseAddrPort(l.address).Port()); tracked != nil {
			return tracked, nil
		}
	}
}

func (h *host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l, found := h.listeners[address]
	blocked := h.blocked[route{host: h, address: address}] > 0
	h.network.mu.Unlock()
	if !found || blocked {
		return nil, errors.New("connection refused")
	}
	dialled, accepted := net.Pipe()
	tracked := h.track(dialled, address, netip.MustParseAddrPort(address).Port())
	if tracked == nil {
		return nil, errors.New("host is dead")
	}
	select {
	case l.accept <- accepted:
		return tracked, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// faultyTable is an entry's access to the table service, with injected faults.
type faultyTable struct {
	acaciatally.TableService
	host   *host
	faults *tableFaults
}

type tableFaults struct{ down, loseAnswers atomic.Bool }

func (f *faultyTable) unreachable() bool {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	return f.host.dead || f.faults.down.Load()
}

func (f *faultyTable) Read(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	time.Sleep(2 * time.Millisecond)
	if f.unreachable() {
		return nil, acaciatally.ErrUnavailable
	}
	return f.TableService.Read(ctx, keys...)
}

func (f *faultyTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	time.Sleep(2 * time.Millisecond)
	if f.unreachable() {
		return 0, acaciatally.ErrUnavailable
	}
	version, err := f.TableService.Commit(ctx, transaction)
	if f.faults.loseAnswers.Load() || f.unreachable() {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	return version, err
}

// deployment runs entries and workers in one synctest bubble.
type deployment struct {
	t         *testing.T
	customize func(entry int, config *Config) // changes an entry's configuration before it starts; may be nil
	settings  *settings.Settings
	network   *network
	table     *standin.Table
	faults    tableFaults
	hosts     []*host // hosts of the entries
	processes []*Process
	workers   []*host
	closed    bool
	stop      []context.CancelFunc
	results   []chan error
}

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(kind+i))
}

const (
	callerPorts   = 100
	operatorPorts = 200
	workerPorts   = 300
	peerPorts     = 400
)

func newDeployment(t *testing.T, entries, workers int, endpoint http.Handler) *deployment {
	d := prepareDeployment(t, entries, workers, func(int) http.Handler { return endpoint })
	d.startEntries()
	return d
}

// prepareDeployment starts the workers. The caller may change the settings before startEntries starts the entries with them.
func prepareDeployment(t *testing.T, entries, workers int, endpoint func(worker int) http.Handler) *deployment {
	testNetwork := &network{listeners: map[string]*listener{}, blocked: map[route]int{}}
	d := &deployment{t: t, network: testNetwork, table: standin.NewTable(), settings: &settings.Settings{}}
	pool := settings.Pool{Name: "coating"}
	for i := range workers {
		pool.Instances = append(pool.Instances, settings.Instance{
			ID: acaciatally.InstanceID(rune('a' + i)), Address: address(workerPorts, i),
		})
		d.startWorker(i, endpoint(i))
	}
	d.settings.Pools = []settings.Pool{pool}
	for i := range entries {
		d.settings.Entries = append(d.settings.Entries, settings.Entry{
			ID: acaciatally.EntryID(rune('1' + i)), CallerAddress: address(callerPorts, i), OperatorAddress: address(operatorPorts, i),
			PeerAddress: address(peerPorts, i),
		})
	}
	d.settings.Deployment, d.settings.Peers.Key = "test", "0123456789abcdef"
	return d
}

func (d *deployment) startEntries() {
	d.settings.Default()
	d.commitSettings()
	for i := range d.settings.Entries {
		d.startEntry(i)
	}
	time.Sleep(100 * time.Millisecond)
	d.t.Cleanup(d.close)
}

func (d *deployment) commitSettings() {
	_, err := changelog.New(changelog.Config{Table: d.table}).Commit(d.t.Context(), changelog.Proposal{
		CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) { return d.settings.FleetChanges(), nil },
	})
	require.NoError(d.t, err)
}

func (d *deployment) startWorker(i int, endpoint http.Handler) {
	h := &host{network: d.network}
	l, err := h.Listen(d.t.Context(), "tcp", address(workerPorts, i).String())
	require.NoError(d.t, err)
	server := &http.Server{Handler: endpoint, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	d.workers = append(d.workers, h)
	d.stop = append(d.stop, func() { _ = server.Close() })
}

func (d *deployment) startEntry(i int) {
	h := &host{network: d.network}
	config := Config{
		Settings: d.settings, Entry: d.settings.Entries[i], Seed: 1, Dial: h.Dial, Listen: h.Listen,
		Table:  &faultyTable{TableService: d.table, host: h, faults: &d.faults},
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	if d.customize != nil {
		d.customize(i, &config)
	}
	process := New(config)
	d.processes = append(d.processes, process)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	d.hosts, d.stop, d.results = append(d.hosts, h), append(d.stop, cancel), append(d.results, ended)
}

// close stops the entries, waits until they have ended, and then closes the workers' servers.
func (d *deployment) close() {
	if d.closed {
		return
	}
	d.closed = true
	workers := len(d.workers)
	for i, ended := range d.results {
		d.stop[workers+i]()
		require.NoError(d.t, <-ended)
	}
	for _, stop := range d.stop[:workers] {
		stop()
	}
}

// client returns an HTTP client for a caller; the test must call CloseIdleConnections on it.
func (d *deployment) client() *http.Client {
	h := &host{network: d.network}
	return &http.Client{Transport: &http.Transport{DialContext: h.Dial}}
}
