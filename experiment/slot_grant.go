package experiment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/membership"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/slot"
)

const (
	grantCount        = 20000
	grantWarmUp       = 500
	helloWarmUp       = 4 * time.Second
	helloMeasureTime  = 5 * time.Second
	groupStartTimeout = 15 * time.Second // limit on the time until all entries of a group have received Hello messages from each other
	workersPerPool    = 9
	peerKey           = "experiment-key-on-loopback"
	helloBytes        = `acaciatally_peer_bytes_total{kind="Hello",direction="Sent"}`
	// helloMessages counts the messages whose bytes helloBytes counts.
	helloMessages = `acaciatally_peer_messages_total{kind="Hello",direction="Sent"}`
)

// SlotGrant measures, on loopback, the time of a slot grant from a slot home in another entry, and the bytes of Hello messages.
type SlotGrant struct{}

// String returns the experiment's name.
func (SlotGrant) String() string { return "SlotGrant" }

// Run measures on loopback; the seed changes only the ids of the entries.
func (SlotGrant) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	if figures, err = measureGrants(ctx, seed); err != nil {
		return nil, err
	}
	for _, entries := range []int{9, 60} {
		bytes, err := measureHello(ctx, seed, entries)
		if err != nil {
			return nil, err
		}
		figures = append(figures, Figure{
			Measure: "HelloBytesPerEntry", Deployment: fmt.Sprintf("Entries%d", entries), Policy: "Acaciatally", Value: bytes, Unit: "B/s", Seed: seed,
		})
	}
	return figures, nil
}

// groupEntry is one entry of a group, with its membership and its slot service.
type groupEntry struct {
	membership *membership.Tracker
	slots      *slot.Service
	metrics    *metrics.Set
}

// group is a set of entries in one process that are connected over loopback.
type group struct {
	members []*groupEntry
	state   *fleet.State
	table   *countingTable
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// staticViews provides a control state that never changes.
type staticViews struct{ state *fleet.State }

func (v staticViews) Version() uint64                     { return v.state.Version }
func (v staticViews) Poll(context.Context) error          { return nil }
func (v staticViews) Export(uint64) (*peerpb.View, error) { return &peerpb.View{}, nil }
func (v staticViews) Import(*peerpb.View) error           { return nil }

func startGroup(ctx context.Context, seed uint64, entries, workers int) (g *group, err error) {
	ctx, cancel := context.WithCancel(ctx)
	g = &group{state: grantState(workers), table: newCountingTable(), cancel: cancel}
	for i := range entries {
		if err = g.startEntry(ctx, fmt.Sprintf("entry-%d-%02d", seed, i)); err != nil {
			g.stop()
			return nil, err
		}
	}
	return g, g.waitConnected(ctx)
}

func grantState(workers int) *fleet.State {
	state := &fleet.State{
		Version: 1, Pools: map[acaciatally.PoolName]fleet.Pool{}, Instances: map[acaciatally.InstanceID]fleet.Instance{},
	}
	for _, pool := range []acaciatally.PoolName{"intake", "coating", "booking", "chamber"} {
		state.Pools[pool] = fleet.Pool{Name: pool}
		for i := range workers {
			id := acaciatally.InstanceID(fmt.Sprintf("%s-%d", pool, i))
			state.Instances[id] = fleet.Instance{ID: id, Pool: pool, Slots: 8, Phase: fleet.Serving}
		}
	}
	return state
}

func (g *group) startEntry(ctx context.Context, name string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id, address := acaciatally.EntryID(name), listener.Addr().(*net.TCPAddr).AddrPort()
	m := &groupEntry{metrics: metrics.NewSet()}
	m.membership = membership.New(membership.Config{
		Self:  membership.Entry{ID: id, Incarnation: name, Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port())},
		Table: g.table, ViewStore: staticViews{g.state},
	})
	m.slots = slot.New(slot.Config{Self: id, Membership: m.membership, State: func() *fleet.State { return g.state }, Metrics: m.metrics})
	handlers := m.membership.Handlers()
	maps.Copy(handlers, m.slots.Handlers())
	node, err := peer.New(peer.Config{
		Deployment: "experiment", Entry: id, Incarnation: name, Key: []byte(peerKey), Listener: listener, Handlers: handlers, Metrics: m.metrics,
	})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	g.members = append(g.members, m)
	g.running.Go(func() { _ = node.Run(ctx) })
	g.running.Go(func() { _ = m.membership.Run(ctx, node) })
	g.running.Go(func() { _ = m.slots.Run(ctx, node) })
	return nil
}

// waitConnected waits until each entry has all others in its live membership.
func (g *group) waitConnected(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, groupStartTimeout)
	defer cancel()
	for {
		complete := true
		for _, m := range g.members {
			m.membership.RecordHeadRead(time.Now())
			complete = complete && len(m.membership.Live()) == len(g.members)-1
		}
		if complete {
			return nil
		}
		if !acaciatally.Sleep(limited, 50*time.Millisecond) {
			g.stop()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("entries did not connect within %s", groupStartTimeout)
		}
	}
}

func (g *group) stop() {
	g.cancel()
	g.running.Wait()
}

func measureGrants(ctx context.Context, seed uint64) (figures []Figure, err error) {
	g, err := startGroup(ctx, seed, 3, workersPerPool)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	requester, pool, err := g.waitForRemoteHome(ctx)
	if err != nil {
		return nil, err
	}
	latencies := hdrhistogram.New(1, int64(time.Second), 3)
	for i := range grantWarmUp + grantCount {
		for _, m := range g.members {
			m.membership.RecordHeadRead(time.Now())
		}
		start := time.Now()
		grant, err := requester.slots.Acquire(ctx, acaciatally.Request{
			ID: "grant", Pool: pool, Team: "team", Urgency: acaciatally.Normal, Deadline: start.Add(time.Second),
		})
		if err != nil {
			return nil, err
		}
		if i >= grantWarmUp {
			if err = latencies.RecordValue(time.Since(start).Nanoseconds()); err != nil {
				return nil, err
			}
		}
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
	}
	for _, quantile := range []float64{50, 99} {
		micros := float64(latencies.ValueAtQuantile(quantile)) / float64(time.Microsecond)
		figures = append(figures, Figure{
			Measure: fmt.Sprintf("RemoteGrantP%g", quantile), Deployment: "Loopback", Policy: "Acaciatally", Value: micros, Unit: "us", Seed: seed,
		})
	}
	return figures, nil
}

// waitForRemoteHome repeats findRemoteHome until it succeeds or times out, because slot homes follow the membership with a delay.
func (g *group) waitForRemoteHome(ctx context.Context) (requester *groupEntry, pool acaciatally.PoolName, err error) {
	ctx, cancel := context.WithTimeout(ctx, groupStartTimeout)
	defer cancel()
	for {
		for _, m := range g.members {
			m.membership.RecordHeadRead(time.Now())
		}
		requester, pool, found := g.findRemoteHome()
		if found {
			return requester, pool, nil
		}
		if !acaciatally.Sleep(ctx, 50*time.Millisecond) {
			return nil, "", fmt.Errorf("no pool has its slot home in another entry: %w", ctx.Err())
		}
	}
}

// findRemoteHome returns an entry and a pool whose slot home is in another entry.
func (g *group) findRemoteHome() (requester *groupEntry, pool acaciatally.PoolName, found bool) {
	requester = g.members[0]
	for _, name := range []acaciatally.PoolName{"intake", "coating", "booking", "chamber"} {
		home := requester.slots.Home(name)
		for _, m := range g.members[1:] {
			if m.slots.Self() == home {
				return requester, name, true
			}
		}
	}
	return nil, "", false
}

// measureHello returns the mean bytes per second of the Hello messages that an entry sends, without yamux and TCP headers.
func measureHello(ctx context.Context, seed uint64, entries int) (bytes float64, err error) {
	g, err := startGroup(ctx, seed, entries, workersPerPool)
	if err != nil {
		return 0, err
	}
	defer g.stop()
	if !acaciatally.Sleep(ctx, helloWarmUp) {
		return 0, ctx.Err()
	}
	before, start := g.counterSum(helloBytes), time.Now()
	if !acaciatally.Sleep(ctx, helloMeasureTime) {
		return 0, ctx.Err()
	}
	return float64(g.counterSum(helloBytes)-before) / time.Since(start).Seconds() / float64(entries), nil
}

// counterSum returns the sum of a counter over all entries.
func (g *group) counterSum(counter string) (sum uint64) {
	for _, m := range g.members {
		sum += m.metrics.GetOrCreateCounter(counter).Get()
	}
	return sum
}
