package slot_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/membership"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/slot"
	"github.com/acaciatally/acaciatally/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	pool        = acaciatally.PoolName("coating")
	workerSlots = 4
)

// bubble runs a test in virtual time. Collecting twice empties yamux's pool of timers, which must not pass from one bubble to another.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// table is a table service that can be down.
type table struct {
	*standin.Table
	down atomic.Bool
}

func (g *table) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if g.down.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	return g.Table.Scan(ctx, prefix, after, limit)
}

func (g *table) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if g.down.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	return g.Table.Commit(ctx, transaction)
}

// view is an entry's control state, polled each second.
type view struct {
	cluster *cluster
	host    *host
	state   atomic.Pointer[fleet.State]
}

func (v *view) Version() uint64 { return v.state.Load().Version }

func (v *view) Poll(context.Context) error {
	if v.cluster.table.down.Load() || v.host.offline.Load() {
		return acaciatally.ErrUnavailable
	}
	v.state.Store(v.cluster.state.Load())
	return nil
}

func (v *view) Export(uint64) (*peerpb.View, error) { return &peerpb.View{}, nil }
func (v *view) Import(*peerpb.View) error           { return nil }

// host is one simulated entry.
type host struct {
	id      acaciatally.EntryID
	address netip.AddrPort
	offline atomic.Bool // without the table service
	keeper  *membership.Keeper
	slots   *slot.Service
	view    *view
	set     *metrics.Set
	kill    func()
}

// Scan and Commit put the host's own access to the table service in between.
type access struct {
	*table
	host *host
}

func (a access) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if a.host.offline.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	return a.table.Scan(ctx, prefix, after, limit)
}

func (a access) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if a.host.offline.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	return a.table.Commit(ctx, transaction)
}

// cluster is a group of entries with one pool of workers.
type cluster struct {
	t       testing.TB
	network *standin.Network
	table   *table
	state   atomic.Pointer[fleet.State]
	hosts   []*host
	callers sync.WaitGroup

	mu       sync.Mutex
	leaving  map[string]bool // workers whose health path answers 503
	busy     map[acaciatally.InstanceID]int
	most     map[acaciatally.InstanceID]int
	started  map[acaciatally.InstanceID]time.Time // last start of a request
	done     int
	failures []error
}

func newCluster(t testing.TB, entries, workers int) *cluster {
	c := &cluster{
		t: t, network: standin.NewNetwork(), table: &table{Table: standin.NewTable()}, leaving: map[string]bool{},
		busy: map[acaciatally.InstanceID]int{}, most: map[acaciatally.InstanceID]int{}, started: map[acaciatally.InstanceID]time.Time{},
	}
	c.setWorkers(workers)
	for i := range entries {
		c.join(i)
	}
	t.Cleanup(c.close)
	time.Sleep(5 * time.Second)
	return c
}

func worker(i int) acaciatally.InstanceID { return acaciatally.InstanceID(fmt.Sprintf("worker-%d", i)) }

// setWorkers puts a state with so many serving workers in force at the next polls.
func (c *cluster) setWorkers(count int, leaving ...int) {
	next := &fleet.State{Pools: map[acaciatally.PoolName]fleet.Pool{}, Instances: map[acaciatally.InstanceID]fleet.Instance{}}
	if old := c.state.Load(); old != nil {
		next.Version = old.Version
	}
	next.Version++
	next.Pools[pool] = fleet.Pool{Name: pool, HealthPath: "/health"}
	for i := range count {
		member := fleet.Instance{
			ID: worker(i), Pool: pool, Slots: workerSlots, Phase: fleet.Serving,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		}
		for _, other := range leaving {
			if i == other {
				member.Phase = fleet.Draining
			}
		}
		next.Instances[member.ID] = member
	}
	c.state.Store(next)
}

func (c *cluster) join(i int) {
	h := &host{
		id: acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)), set: metrics.NewSet(),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300),
	}
	h.view = &view{cluster: c, host: h}
	h.view.state.Store(c.state.Load())
	self := membership.Entry{ID: h.id, Incarnation: "first", Address: h.address}
	h.keeper = membership.New(membership.Config{Self: self, Table: access{c.table, h}, Views: h.view, Busy: func() []acaciatally.InstanceID {
		if h.slots == nil {
			return nil
		}
		return h.slots.Busy()
	}})
	h.slots = slot.New(slot.Config{
		Self: h.id, Membership: h.keeper, State: h.view.state.Load, Hint: h.keeper.Hint, Probe: c.probe, Metrics: h.set,
		Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	handlers := h.keeper.Handlers()
	maps.Copy(handlers, h.slots.Handlers())
	node, err := peer.New(peer.Config{
		Deployment: "test", Entry: h.id, Incarnation: "first", Key: []byte("a key of the tests, long enough"),
		Listener: c.network.Listen(h.address), Dial: c.network.Dial(h.address), Handlers: handlers, Random: func() float64 { return 0.5 },
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	running.Go(func() { _ = h.keeper.Run(ctx, node) })
	running.Go(func() { _ = h.slots.Run(ctx, node) })
	running.Go(func() { h.poll(ctx) })
	h.kill = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	c.hosts = append(c.hosts, h)
}

func (h *host) poll(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		at := time.Now()
		if h.view.Poll(ctx) == nil {
			h.keeper.HeadRead(at)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe answers for the workers' health paths.
func (c *cluster) probe(_ context.Context, url string) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving[url] {
		return 503, nil
	}
	return 200, nil
}

func (c *cluster) home() *host {
	for _, h := range c.hosts {
		if h.id == c.hosts[0].slots.Home(pool) {
			return h
		}
	}
	return nil
}

// others returns the entries that are not the slot home.
func (c *cluster) others() (others []*host) {
	home := c.home()
	for _, h := range c.hosts {
		if h != home {
			others = append(others, h)
		}
	}
	return others
}

// call sends one request through the entry, which takes the time at its worker.
func (c *cluster) call(ctx context.Context, h *host, span time.Duration) {
	c.callers.Go(func() {
		deadline := time.Now().Add(time.Minute)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		grant, err := h.slots.Acquire(ctx, acaciatally.Request{ID: "r", Pool: pool, Team: "t", Urgency: acaciatally.Normal, Deadline: deadline})
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failures = append(c.failures, err)
			return
		}
		c.begin(grant.Worker)
		time.Sleep(span)
		c.mu.Lock()
		c.busy[grant.Worker]--
		c.done++
		c.mu.Unlock()
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: span})
	})
}

func (c *cluster) begin(worker acaciatally.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[worker]++
	c.most[worker] = max(c.most[worker], c.busy[worker])
	c.started[worker] = time.Now()
}

// load sends count requests through each of the entries.
func (c *cluster) load(hosts []*host, count int, span time.Duration) {
	for _, h := range hosts {
		for range count {
			c.call(context.Background(), h, span)
		}
	}
}

// settle waits for all requests and requires that no slot is held and nobody waits in any entry.
func (c *cluster) settle(done int) {
	c.callers.Wait()
	require.Empty(c.t, c.failures)
	require.Equal(c.t, done, c.done, "every request got its slot once")
	c.empty()
}

// empty waits for the time in which a slot home may still count a slot that another one has taken over.
func (c *cluster) empty() {
	time.Sleep(4 * time.Second)
	for _, h := range c.hosts {
		require.Zero(c.t, h.slots.Held(), "slots held by %s", h.id)
		require.Zero(c.t, h.slots.Tickets(), "tickets at %s", h.id)
		require.Empty(c.t, h.slots.Busy())
	}
}

func (c *cluster) highest() (most int) {
	for _, count := range c.most {
		most = max(most, count)
	}
	return most
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
}

func (h *host) count(name string) (value int) {
	var text strings.Builder
	h.set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, name+" ") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, name+" "), "%d", &value)
		}
	}
	return value
}

func refused(err error) bool {
	var refusal *acaciatally.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == acaciatally.NotRun
}
