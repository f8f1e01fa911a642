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

// bubble runs a test in virtual time. Collecting twice empties yamux's pool of timers, which must not pass from one bubble to another.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// table counts calls and can be down or lose answers.
type table struct {
	*standin.Table
	down, lose            atomic.Bool
	reads, writes, rowsIn atomic.Int64
}

func (g *table) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if g.down.Load() {
		return nil, acaciatally.ErrUnavailable
	}
	g.reads.Add(1)
	rows, err := g.Table.Scan(ctx, prefix, after, limit)
	g.rowsIn.Add(int64(len(rows)))
	return rows, err
}

func (g *table) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if g.down.Load() {
		return 0, acaciatally.ErrUnavailable
	}
	g.writes.Add(1)
	version, err := g.Table.Commit(ctx, transaction)
	if g.lose.Load() && err == nil {
		return 0, acaciatally.ErrUnknownCommit
	}
	return version, err
}

// view is a control state that consists of its version.
type view struct {
	version atomic.Uint64
	shared  *atomic.Uint64 // what the table service has
	table   *table
}

func (v *view) Version() uint64 { return v.version.Load() }

func (v *view) Poll(context.Context) error {
	if v.table.down.Load() {
		return acaciatally.ErrUnavailable
	}
	v.version.Store(v.shared.Load())
	return nil
}

func (v *view) Export(uint64) (*peerpb.View, error) {
	return &peerpb.View{Version: v.version.Load()}, nil
}

func (v *view) Import(fetched *peerpb.View) error {
	v.version.Store(max(v.version.Load(), fetched.Version))
	return nil
}

// host is one simulated entry.
type host struct {
	keeper  *membership.Keeper
	node    *peer.Node
	view    *view
	busy    sync.Map
	address netip.AddrPort
	stop    func()
}

type cluster struct {
	t       *testing.T
	network *standin.Network
	table   *table
	shared  atomic.Uint64
	hosts   []*host
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, network: standin.NewNetwork(), table: &table{Table: standin.NewTable()}}
	for i := range n {
		c.hosts = append(c.hosts, c.start(i, "first"))
	}
	time.Sleep(5 * time.Second)
	return c
}

func entry(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

func (c *cluster) start(i int, incarnation string) *host {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
	h := &host{address: address, view: &view{shared: &c.shared, table: c.table}}
	h.keeper = membership.New(membership.Config{
		Self:  membership.Entry{ID: entry(i), Incarnation: incarnation, Address: address},
		Table: c.table, Views: h.view, Busy: h.busyList,
	})
	node, err := peer.New(peer.Config{
		Deployment: "test", Entry: entry(i), Incarnation: incarnation, Key: []byte("a key of the tests, long enough"),
		Listener: c.network.Listen(address), Dial: c.network.Dial(address), Handlers: h.keeper.Handlers(),
	})
	require.NoError(c.t, err)
	h.node = node
	ctx, cancel := context.WithCancel(c.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	running.Go(func() { _ = h.keeper.Run(ctx, node) })
	running.Go(func() { h.poll(ctx) })
	h.stop = func() {
		cancel()
		running.Wait()
	}
	return h
}

func (h *host) poll(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		if h.view.Poll(ctx) == nil {
			h.keeper.HeadRead(at)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (h *host) busyList() (busy []acaciatally.InstanceID) {
	h.busy.Range(func(key, _ any) bool {
		busy = append(busy, key.(acaciatally.InstanceID))
		return true
	})
	return busy
}

func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.stop()
	}
}

// TestCost guards against a load on the table service beyond the budget of doc.go.
func TestCost(t *testing.T) {
	tests := map[string]struct{ entries, writes, scans, rows int64 }{
		"9 entries":  {entries: 9, writes: 45, scans: 45, rows: 405},
		"60 entries": {entries: 60, writes: 300, scans: 60, rows: 3600},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newCluster(t, int(test.entries))
				time.Sleep(10 * time.Second)
				c.table.reads.Store(0)
				c.table.writes.Store(0)
				c.table.rowsIn.Store(0)
				time.Sleep(10 * time.Second)
				require.Equal(t, test.writes, c.table.writes.Load())
				require.Equal(t, test.scans, c.table.reads.Load())
				require.Equal(t, test.rows, c.table.rowsIn.Load())
				for _, h := range c.hosts {
					require.True(t, h.keeper.MayServe())
					require.Len(t, h.keeper.Live(), int(test.entries)-1)
				}
				c.stop()
			})
		})
	}
}

// TestViewReachesAll guards against entries that learn a new version only by their own poll, or not at all in an outage (P8).
func TestViewReachesAll(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("down=%t", down), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newCluster(t, 9)
				time.Sleep(300 * time.Millisecond) // between two Hellos
				c.shared.Store(7)
				c.hosts[2].view.version.Store(7)
				c.table.down.Store(down)
				c.hosts[2].keeper.Changed()
				time.Sleep(100 * time.Millisecond)
				for _, h := range c.hosts {
					require.Equal(t, uint64(7), h.view.Version())
				}
				c.stop()
			})
		})
	}
}

// TestOutage guards against a group that stops serving in an outage of the platform, and an entry that serves alone in it (P6).
func TestOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCluster(t, 9)
		c.table.down.Store(true)
		c.network.Partition(1, c.hosts[0].address)
		time.Sleep(2600 * time.Millisecond)
		for range 100 {
			for i, h := range c.hosts {
				require.Equal(t, i != 0, h.keeper.MayServe(), "entry %d", i)
			}
			time.Sleep(300 * time.Millisecond)
		}
		c.network.Partition(0, c.hosts[0].address)
		time.Sleep(6 * time.Second)
		require.True(t, c.hosts[0].keeper.MayServe())
		c.stop()
	})
}

// TestRowTaken guards against two processes of one entry that both serve, and heartbeats that fail for ever after a lost answer.
func TestRowTaken(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.table.lose.Store(true)
		time.Sleep(10 * time.Second)
		c.table.lose.Store(false)
		time.Sleep(5 * time.Second)
		require.True(t, c.hosts[1].keeper.MayServe())
		wake := c.network.Freeze(c.hosts[1].address)
		successor := c.start(1, "second")
		time.Sleep(5 * time.Second)
		wake()
		time.Sleep(5 * time.Second)
		require.False(t, c.hosts[1].keeper.MayServe(), "the old process is replaced")
		require.True(t, successor.keeper.MayServe())
		successor.stop()
		c.stop()
	})
}

// TestLeave guards against entries that wait for one that has shut down properly.
func TestLeave(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.hosts[2].keeper.Stop()
		time.Sleep(100 * time.Millisecond)
		require.Len(t, c.hosts[0].keeper.Live(), 1, "no slot home any more")
		c.hosts[2].stop()
		c.shared.Store(9)
		time.Sleep(5 * time.Second)
		require.True(t, c.hosts[0].keeper.Acknowledged("coating-1", 9))
		c.hosts = c.hosts[:2]
		c.stop()
	})
}

// TestBusy guards against a stop while another entry has a request in progress on the instance (P7).
func TestBusy(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.shared.Store(4)
		c.hosts[1].busy.Store(acaciatally.InstanceID("coating-1"), true)
		time.Sleep(5 * time.Second)
		require.False(t, c.hosts[0].keeper.Acknowledged("coating-1", 4))
		require.True(t, c.hosts[0].keeper.Acknowledged("coating-2", 4))
		c.hosts[1].busy.Delete(acaciatally.InstanceID("coating-1"))
		time.Sleep(5 * time.Second)
		require.True(t, c.hosts[0].keeper.Acknowledged("coating-1", 4))
		c.stop()
	})
}
