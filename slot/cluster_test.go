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

// runInBubble runs a test in a synctest bubble. The two garbage collections empty yamux's sync.Pool of timers, because a timer must not be
// used in another bubble than its own.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// table is a table service that can be made unavailable.
type table struct {
	*standin.Table
	unavailable atomic.Bool
}

func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if t.unavailable.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *table) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if t.unavailable.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	return t.Table.Commit(ctx, transaction)
}

// testView is an entry's control state, which is polled every second.
type testView struct {
	cluster *cluster
	entry   *testEntry
	state   atomic.Pointer[fleet.State]
}

func (v *testView) Version() uint64 { return v.state.Load().Version }

func (v *testView) Poll(context.Context) error {
	if v.cluster.table.unavailable.Load() || v.entry.tableUnavailable.Load() {
		return acaciatally.ErrUnavailable
	}
	v.state.Store(v.cluster.state.Load())
	return nil
}

func (v *testView) Export(uint64) (*peerpb.View, error) { return &peerpb.View{}, nil }
func (v *testView) Import(*peerpb.View) error           { return nil }

// testEntry is one simulated entry.
type testEntry struct {
	id               acaciatally.EntryID
	address          netip.AddrPort
	tableUnavailable atomic.Bool // this entry cannot reach the table service
	tracker          *membership.Tracker
	slots            *slot.Service
	view             *testView
	metrics          *metrics.Set
	stop             func()
}

// entryTable is one entry's access to the shared table service.
type entryTable struct {
	*table
	entry *testEntry
}

func (t entryTable) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if t.entry.tableUnavailable.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	return t.table.Scan(ctx, prefix, after, limit)
}

func (t entryTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if t.entry.tableUnavailable.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	return t.table.Commit(ctx, transaction)
}

// cluster is a group of simulated entries with one pool of workers.
type cluster struct {
	t       testing.TB
	network *standin.Network
	table   *table
	state   atomic.Pointer[fleet.State]
	entries []*testEntry
	callers sync.WaitGroup

	mu          sync.Mutex
	leavingURLs map[string]bool // health URLs that return status 503
	busy        map[acaciatally.InstanceID]int
	peakBusy    map[acaciatally.InstanceID]int
	lastStart   map[acaciatally.InstanceID]time.Time // start of the last request on a worker
	completed   int
	failures    []error
}

func newCluster(t testing.TB, entries, workers int) *cluster {
	c := &cluster{
		t: t, network: standin.NewNetwork(), table: &table{Table: standin.NewTable()}, leavingURLs: map[string]bool{},
		busy: map[acaciatally.InstanceID]int{}, peakBusy: map[acaciatally.InstanceID]int{}, lastStart: map[acaciatally.InstanceID]time.Time{},
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

// setWorkers publishes a control state with count workers, of which those with an index in leaving are draining. Entries apply it at their
// next poll.
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
	e := &testEntry{
		id: acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)), metrics: metrics.NewSet(),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300),
	}
	e.view = &testView{cluster: c, entry: e}
	e.view.state.Store(c.state.Load())
	self := membership.Entry{ID: e.id, Incarnation: "first", Address: e.address}
	e.tracker = membership.New(membership.Config{Self: self, Table: entryTable{c.table, e}, ViewStore: e.view, Busy: func() []acaciatally.InstanceID {
		if e.slots == nil {
			return nil
		}
		return e.slots.Busy()
	}})
	e.slots = slot.New(slot.Config{
		Self: e.id, Membership: e.tracker, State: e.view.state.Load, OnLeaving: e.tracker.AddLeavingHint, Probe: c.probe, Metrics: e.metrics,
		Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	handlers := e.tracker.Handlers()
	maps.Copy(handlers, e.slots.Handlers())
	node, err := peer.New(peer.Config{
		Deployment: "test", Entry: e.id, Incarnation: "first", Key: []byte("a key of the tests, long enough"),
		Listener: c.network.Listen(e.address), Dial: c.network.Dial(e.address), Handlers: handlers, Random: func() float64 { return 0.5 },
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	running.Go(func() { _ = e.tracker.Run(ctx, node) })
	running.Go(func() { _ = e.slots.Run(ctx, node) })
	running.Go(func() { e.poll(ctx) })
	e.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	c.entries = append(c.entries, e)
}

func (e *testEntry) poll(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		at := time.Now()
		if e.view.Poll(ctx) == nil {
			e.tracker.RecordHeadRead(at)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe returns the status of a worker's health path.
func (c *cluster) probe(_ context.Context, url string) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leavingURLs[url] {
		return 503, nil
	}
	return 200, nil
}

func (c *cluster) home() *testEntry {
	for _, e := range c.entries {
		if e.id == c.entries[0].slots.Home(pool) {
			return e
		}
	}
	return nil
}

// others returns the entries that are not the pool's slot home.
func (c *cluster) others() (others []*testEntry) {
	home := c.home()
	for _, e := range c.entries {
		if e != home {
			others = append(others, e)
		}
	}
	return others
}

// startRequest starts one request through the entry, which occupies a slot for the duration.
func (c *cluster) startRequest(ctx context.Context, e *testEntry, duration time.Duration) {
	c.callers.Go(func() {
		deadline := time.Now().Add(time.Minute)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		grant, err := e.slots.Acquire(ctx, acaciatally.Request{ID: "r", Pool: pool, Team: "t", Urgency: acaciatally.Normal, Deadline: deadline})
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failures = append(c.failures, err)
			return
		}
		c.recordStart(grant.Worker)
		time.Sleep(duration)
		c.mu.Lock()
		c.busy[grant.Worker]--
		c.completed++
		c.mu.Unlock()
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: duration})
	})
}

func (c *cluster) recordStart(worker acaciatally.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[worker]++
	c.peakBusy[worker] = max(c.peakBusy[worker], c.busy[worker])
	c.lastStart[worker] = time.Now()
}

// startRequests starts count requests through each of the entries.
func (c *cluster) startRequests(entries []*testEntry, count int, duration time.Duration) {
	for _, e := range entries {
		for range count {
			c.startRequest(context.Background(), e, duration)
		}
	}
}

// requireAllCompleted waits for all requests, requires that done of them completed and none failed, and then calls requireNoSlots.
func (c *cluster) requireAllCompleted(done int) {
	c.callers.Wait()
	require.Empty(c.t, c.failures)
	require.Equal(c.t, done, c.completed, "every request gets a slot exactly once")
	c.requireNoSlots()
}

// requireNoSlots waits until lostHolderGrace has ended for moved slots, and requires that no slot is held and no request waits in any
// entry.
func (c *cluster) requireNoSlots() {
	time.Sleep(4 * time.Second)
	for _, e := range c.entries {
		require.Zero(c.t, e.slots.Held(), "slots held by %s", e.id)
		require.Zero(c.t, e.slots.Tickets(), "tickets at %s", e.id)
		require.Empty(c.t, e.slots.Busy())
	}
}

func (c *cluster) highestPeak() (highest int) {
	for _, count := range c.peakBusy {
		highest = max(highest, count)
	}
	return highest
}

func (c *cluster) close() {
	for _, e := range c.entries {
		e.stop()
	}
}

func (e *testEntry) counter(name string) (value int) {
	var text strings.Builder
	e.metrics.WritePrometheus(&text)
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
