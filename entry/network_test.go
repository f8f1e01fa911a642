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

// The first summary of a window starts a goroutine that never ends, so it is started outside of the tests' bubbles.
var _ = metrics.NewSet().NewSummary("first")

// bubble runs a test in virtual time. Collecting twice empties yamux's pool of timers, which must not pass from one bubble to another.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// network connects processes by net.Pipe.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[cut]int // number of faults that cut the host off from the address
}

// cut separates a host from an address; the zero value separates nobody.
type cut struct {
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

// host is one process's access to the network; when it dies, its connections break.
type host struct {
	*network
	mu          sync.Mutex
	dead        bool
	frozen      chan struct{} // closed on waking; nil while the host runs
	connections []*hostConnection
}

// hostConnection hangs while its host is frozen, but for sessions between entries: their senders wait for locks, which would stop
// virtual time. A test cuts these off for as long as the host is frozen.
type hostConnection struct {
	net.Conn
	host    *host
	to      string // address that the host dialled; empty for an accepted connection
	session bool   // between entries
	closed  chan struct{}
	once    sync.Once
}

// Close also ends calls that hang.
func (c *hostConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *hostConnection) awake() {
	c.host.mu.Lock()
	frozen := c.host.frozen
	c.host.mu.Unlock()
	if frozen == nil || c.session {
		return
	}
	select {
	case <-frozen:
	case <-c.closed:
	}
}

func (c *hostConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.awake()
	return n, err
}

func (c *hostConnection) Write(content []byte) (int, error) {
	c.awake()
	return c.Conn.Write(content)
}

func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{})
	}
}

func (h *host) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
}

// keep returns the host's end of a connection, or nil when the host is dead.
func (h *host) keep(connection net.Conn, to string, port uint16) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		_ = connection.Close()
		return nil
	}
	kept := &hostConnection{Conn: connection, host: h, to: to, session: port >= peerPorts, closed: make(chan struct{})}
	h.connections = append(h.connections, kept)
	return kept
}

// cutOff breaks the connections that the host dialled to the address and refuses new ones until the cut is undone.
func (h *host) cutOff(address string, by int) {
	h.network.mu.Lock()
	h.cuts[cut{host: h, address: address}] += by
	h.network.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, connection := range h.connections {
		if connection.to == address && by > 0 {
			_ = connection.Close()
		}
	}
}

func (h *host) die() {
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
		if kept := l.host.keep(connection, "", netip.MustParseAddrPort(l.address).Port()); kept != nil {
			return kept, nil
		}
	}
}

func (h *host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l, found := h.listeners[address]
	separated := h.cuts[cut{host: h, address: address}] > 0
	h.network.mu.Unlock()
	if !found || separated {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	kept := h.keep(near, address, netip.MustParseAddrPort(address).Port())
	if kept == nil {
		return nil, errors.New("host is dead")
	}
	select {
	case l.accept <- far:
		return kept, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// faultyTable is an entry's access to the table service.
type faultyTable struct {
	acaciatally.TableService
	host   *host
	faults *tableFaults
}

type tableFaults struct{ down, losing atomic.Bool }

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
	if f.faults.losing.Load() || f.unreachable() {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	return version, err
}

// deployment is entries and workers in one bubble.
type deployment struct {
	t         *testing.T
	equip     func(entry int, config *Config) // changes an entry before it starts; may be nil
	settings  *settings.Settings
	network   *network
	table     *standin.Table
	faults    tableFaults
	hosts     []*host // of the entries
	processes []*Process
	workers   []*host
	closed    bool
	stop      []context.CancelFunc
	ended     []chan error
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
	d := composeDeployment(t, entries, workers, func(int) http.Handler { return endpoint })
	d.begin()
	return d
}

// composeDeployment starts the workers; begin starts the entries with the settings as they are then.
func composeDeployment(t *testing.T, entries, workers int, endpoint func(worker int) http.Handler) *deployment {
	wires := &network{listeners: map[string]*listener{}, cuts: map[cut]int{}}
	d := &deployment{t: t, network: wires, table: standin.NewTable(), settings: &settings.Settings{}}
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

func (d *deployment) begin() {
	d.settings.Default()
	d.load()
	for i := range d.settings.Entries {
		d.startEntry(i)
	}
	time.Sleep(100 * time.Millisecond)
	d.t.Cleanup(d.close)
}

func (d *deployment) load() {
	_, err := changelog.New(changelog.Config{Table: d.table}).Commit(d.t.Context(), changelog.Proposal{
		CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) { return d.settings.Changes(), nil },
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
	if d.equip != nil {
		d.equip(i, &config)
	}
	process := New(config)
	d.processes = append(d.processes, process)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	d.hosts, d.stop, d.ended = append(d.hosts, h), append(d.stop, cancel), append(d.ended, ended)
}

// close stops the entries and waits for them, then the workers.
func (d *deployment) close() {
	if d.closed {
		return
	}
	d.closed = true
	workers := len(d.workers)
	for i, ended := range d.ended {
		d.stop[workers+i]()
		require.NoError(d.t, <-ended)
	}
	for _, stop := range d.stop[:workers] {
		stop()
	}
}

// client returns a caller's client; it must be closed by CloseIdleConnections.
func (d *deployment) client() *http.Client {
	h := &host{network: d.network}
	return &http.Client{Transport: &http.Transport{DialContext: h.Dial}}
}
