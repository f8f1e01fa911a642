package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/membership"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/standin"
)

// runInBubble runs a test in a synctest bubble. The two garbage collections empty yamux's sync.Pool of timers, because a timer must not be
// used in another bubble than its own.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// table is a table service that counts calls, can be unavailable, and can lose the replies to commits.
type table struct {
	*standin.Table
	unavailable, loseCommitReplies atomic.Bool
	scans, writes, rowsRead        atomic.Int64
}

func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if t.unavailable.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	t.scans.Add(1)
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.rowsRead.Add(int64(len(rows)))
	return rows, err
}

func (t *table) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if t.unavailable.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	t.writes.Add(1)
	version, err := t.Table.Commit(ctx, transaction)
	if t.loseCommitReplies.Load() && err == nil {
		return 0, acaciatally.ErrUnknownCommit
	}
	return version, err
}

// testView is a control state that consists of its version only.
type testView struct {
	version      atomic.Uint64
	tableVersion *atomic.Uint64 // newest version in the table service
	table        *table
}

func (v *testView) Version() uint64 { return v.version.Load() }

func (v *testView) Poll(context.Context) error {
	if v.table.unavailable.Load() {
		return acaciatally.ErrUnavailable
	}
	v.version.Store(v.tableVersion.Load())
	return nil
}

func (v *testView) Export(uint64) (*peerpb.View, error) {
	return &peerpb.View{Version: v.version.Load()}, nil
}

func (v *testView) Import(fetched *peerpb.View) error {
	v.version.Store(max(v.version.Load(), fetched.Version))
	return nil
}

// testEntry is one simulated entry.
type testEntry struct {
	tracker *membership.Tracker
	node    *peer.Node
	view    *testView
	busy    sync.Map
	address netip.AddrPort
	stop    func()
}

type cluster struct {
	t            *testing.T
	network      *standin.Network
	table        *table
	tableVersion atomic.Uint64
	entries      []*testEntry
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, network: standin.NewNetwork(), table: &table{Table: standin.NewTable()}}
	for i := range n {
		c.entries = append(c.entries, c.start(i, "first"))
	}
	time.Sleep(5 * time.Second)
	return c
}

func entryID(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

func (c *cluster) start(i int, incarnation string) *testEntry {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
	e := &testEntry{address: address, view: &testView{tableVersion: &c.tableVersion, table: c.table}}
	e.tracker = membership.New(membership.Config{
		Self:  membership.Entry{ID: entryID(i), Incarnation: incarnation, Address: address},
		Table: c.table, ViewStore: e.view, Busy: e.busyInstances,
	})
	node, err := peer.New(peer.Config{
		Deployment: "test", Entry: entryID(i), Incarnation: incarnation, Key: []byte("a key of the tests, long enough"),
		Listener: c.network.Listen(address), Dial: c.network.Dial(address), Handlers: e.tracker.Handlers(),
	})
	require.NoError(c.t, err)
	e.node = node
	ctx, cancel := context.WithCancel(c.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	running.Go(func() { _ = e.tracker.Run(ctx, node) })
	running.Go(func() { e.poll(ctx) })
	e.stop = func() {
		cancel()
		running.Wait()
	}
	return e
}

func (e *testEntry) poll(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		if e.view.Poll(ctx) == nil {
			e.tracker.RecordHeadRead(at)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (e *testEntry) busyInstances() (busy []acaciatally.InstanceID) {
	e.busy.Range(func(key, _ any) bool {
		busy = append(busy, key.(acaciatally.InstanceID))
		return true
	})
	return busy
}

func (c *cluster) stop() {
	for _, e := range c.entries {
		e.stop()
	}
}

// TestTableServiceLoad guards against more calls to the table service than the package documentation states.
func TestTableServiceLoad(t *testing.T) {
	tests := map[string]struct{ entries, writes, scans, rows int64 }{
		"9 entries":  {entries: 9, writes: 45, scans: 45, rows: 405},
		"60 entries": {entries: 60, writes: 300, scans: 60, rows: 3600},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, int(test.entries))
				time.Sleep(10 * time.Second)
				c.table.scans.Store(0)
				c.table.writes.Store(0)
				c.table.rowsRead.Store(0)
				time.Sleep(10 * time.Second)
				require.Equal(t, test.writes, c.table.writes.Load())
				require.Equal(t, test.scans, c.table.scans.Load())
				require.Equal(t, test.rows, c.table.rowsRead.Load())
				for _, e := range c.entries {
					require.True(t, e.tracker.MayServe())
					require.Len(t, e.tracker.Live(), int(test.entries)-1)
				}
				c.stop()
			})
		})
	}
}

// TestNewViewReachesAllEntries guards against entries that learn of a new version only by their own poll, or not at all while the table
// service is unavailable.
func TestNewViewReachesAllEntries(t *testing.T) {
	for _, tableDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("tableDown=%t", tableDown), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, 9)
				time.Sleep(300 * time.Millisecond) // between two Hellos
				c.tableVersion.Store(7)
				c.entries[2].view.version.Store(7)
				c.table.unavailable.Store(tableDown)
				c.entries[2].tracker.ViewChanged()
				time.Sleep(100 * time.Millisecond)
				for _, e := range c.entries {
					require.Equal(t, uint64(7), e.view.Version())
				}
				c.stop()
			})
		})
	}
}

// TestTableServiceOutage guards against entries that stop serving while the table service is unavailable, and against an entry that keeps
// serving although it has lost contact with its peers too.
func TestTableServiceOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 9)
		c.table.unavailable.Store(true)
		c.network.Partition(1, c.entries[0].address)
		time.Sleep(2600 * time.Millisecond)
		for range 100 {
			for i, e := range c.entries {
				require.Equal(t, i != 0, e.tracker.MayServe(), "entry %d", i)
			}
			time.Sleep(300 * time.Millisecond)
		}
		c.network.Partition(0, c.entries[0].address)
		time.Sleep(6 * time.Second)
		require.True(t, c.entries[0].tracker.MayServe())
		c.stop()
	})
}

// TestRowTakenOver guards against two processes of one entry that both serve, and against heartbeats that fail forever after the reply to a
// commit was lost.
func TestRowTakenOver(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.table.loseCommitReplies.Store(true)
		time.Sleep(10 * time.Second)
		c.table.loseCommitReplies.Store(false)
		time.Sleep(5 * time.Second)
		require.True(t, c.entries[1].tracker.MayServe())
		wake := c.network.Freeze(c.entries[1].address)
		successor := c.start(1, "second")
		time.Sleep(5 * time.Second)
		wake()
		time.Sleep(5 * time.Second)
		require.False(t, c.entries[1].tracker.MayServe(), "the old process must not serve")
		require.True(t, successor.tracker.MayServe())
		successor.stop()
		c.stop()
	})
}

// TestShutdown guards against entries that wait for the acknowledgement of an entry that has shut down.
func TestShutdown(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.entries[2].tracker.AnnounceStop()
		time.Sleep(100 * time.Millisecond)
		require.Len(t, c.entries[0].tracker.Live(), 1, "a stopping entry must not be live")
		c.entries[2].stop()
		c.tableVersion.Store(9)
		time.Sleep(5 * time.Second)
		require.True(t, c.entries[0].tracker.Acknowledged("coating-1", 9))
		c.entries = c.entries[:2]
		c.stop()
	})
}

// TestBusyInstance guards against an instance that is stopped while another entry has a request in progress on it.
func TestBusyInstance(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.tableVersion.Store(4)
		c.entries[1].busy.Store(acaciatally.InstanceID("coating-1"), true)
		time.Sleep(5 * time.Second)
		require.False(t, c.entries[0].tracker.Acknowledged("coating-1", 4))
		require.True(t, c.entries[0].tracker.Acknowledged("coating-2", 4))
		c.entries[1].busy.Delete(acaciatally.InstanceID("coating-1"))
		time.Sleep(5 * time.Second)
		require.True(t, c.entries[0].tracker.Acknowledged("coating-1", 4))
		c.stop()
	})
}
