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
	grantCount   = 20000
	grantWarmUp  = 500
	helloWarmUp  = 4 * time.Second
	helloSpan    = 5 * time.Second
	groupStart   = 15 * time.Second // bound of the time until all entries of a group hear each other
	grantWorkers = 9
	experimentID = "experiment-key-on-loopback"
	helloBytes   = `acaciatally_peer_bytes_total{kind="Hello",direction="Sent"}`
	// helloMessages counts the Hello messages that helloBytes measures.
	helloMessages = `acaciatally_peer_messages_total{kind="Hello",direction="Sent"}`
)

// SlotGrant measures the time that a grant from a slot home in another entry takes on loopback, and the bytes of Hello messages.
type SlotGrant struct{}

// String returns the experiment's name.
func (SlotGrant) String() string { return "SlotGrant" }

// Run measures on loopback; the seed changes only the ids of the group.
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

// member is one entry of a group on loopback.
type member struct {
	keeper *membership.Keeper
	slots  *slot.Service
	set    *metrics.Set
}

// group is some entries of one process that talk over loopback.
type group struct {
	members []*member
	state   *fleet.State
	table   *countingTable
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// views is a control state that never changes.
type views struct{ state *fleet.State }

func (v views) Version() uint64                     { return v.state.Version }
func (v views) Poll(context.Context) error          { return nil }
func (v views) Export(uint64) (*peerpb.View, error) { return &peerpb.View{}, nil }
func (v views) Import(*peerpb.View) error           { return nil }

func startGroup(ctx context.Context, seed uint64, entries, workers int) (g *group, err error) {
	ctx, cancel := context.WithCancel(ctx)
	g = &group{state: grantState(workers), table: newCountingTable(), cancel: cancel}
	for i := range entries {
		if err = g.start(ctx, fmt.Sprintf("entry-%d-%02d", seed, i)); err != nil {
			g.stop()
			return nil, err
		}
	}
	return g, g.await(ctx)
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

func (g *group) start(ctx context.Context, name string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id, address := acaciatally.EntryID(name), listener.Addr().(*net.TCPAddr).AddrPort()
	m := &member{set: metrics.NewSet()}
	m.keeper = membership.New(membership.Config{
		Self:  membership.Entry{ID: id, Incarnation: name, Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port())},
		Table: g.table, Views: views{g.state},
	})
	m.slots = slot.New(slot.Config{Self: id, Membership: m.keeper, State: func() *fleet.State { return g.state }, Metrics: m.set})
	handlers := m.keeper.Handlers()
	maps.Copy(handlers, m.slots.Handlers())
	node, err := peer.New(peer.Config{
		Deployment: "experiment", Entry: id, Incarnation: name, Key: []byte(experimentID), Listener: listener, Handlers: handlers, Metrics: m.set,
	})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	g.members = append(g.members, m)
	g.running.Go(func() { _ = node.Run(ctx) })
	g.running.Go(func() { _ = m.keeper.Run(ctx, node) })
	g.running.Go(func() { _ = m.slots.Run(ctx, node) })
	return nil
}

// await waits until all entries hear all others.
func (g *group) await(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, groupStart)
	defer cancel()
	for {
		complete := true
		for _, m := range g.members {
			m.keeper.HeadRead(time.Now())
			complete = complete && len(m.keeper.Live()) == len(g.members)-1
		}
		if complete {
			return nil
		}
		if !wait(bounded, 50*time.Millisecond) {
			g.stop()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("entries do not hear each other within %s", groupStart)
		}
	}
}

func (g *group) stop() {
	g.cancel()
	g.running.Wait()
}

func wait(ctx context.Context, span time.Duration) (finished bool) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func measureGrants(ctx context.Context, seed uint64) (figures []Figure, err error) {
	g, err := startGroup(ctx, seed, 3, grantWorkers)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	holder, pool, err := g.awaitRemote(ctx)
	if err != nil {
		return nil, err
	}
	latencies := hdrhistogram.New(1, int64(time.Second), 3)
	for i := range grantWarmUp + grantCount {
		for _, m := range g.members {
			m.keeper.HeadRead(time.Now())
		}
		began := time.Now()
		grant, err := holder.slots.Acquire(ctx, acaciatally.Request{
			ID: "grant", Pool: pool, Team: "team", Urgency: acaciatally.Normal, Deadline: began.Add(time.Second),
		})
		if err != nil {
			return nil, err
		}
		if i >= grantWarmUp {
			if err = latencies.RecordValue(time.Since(began).Nanoseconds()); err != nil {
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

// awaitRemote waits for remote, since the slot homes follow the membership with a delay.
func (g *group) awaitRemote(ctx context.Context) (holder *member, pool acaciatally.PoolName, err error) {
	ctx, cancel := context.WithTimeout(ctx, groupStart)
	defer cancel()
	for {
		for _, m := range g.members {
			m.keeper.HeadRead(time.Now())
		}
		holder, pool, found := g.remote()
		if found {
			return holder, pool, nil
		}
		if !wait(ctx, 50*time.Millisecond) {
			return nil, "", fmt.Errorf("each slot home is in the asking entry: %w", ctx.Err())
		}
	}
}

// remote returns an entry and a pool whose slot home is in another entry.
func (g *group) remote() (holder *member, pool acaciatally.PoolName, found bool) {
	holder = g.members[0]
	for _, name := range []acaciatally.PoolName{"intake", "coating", "booking", "chamber"} {
		home := holder.slots.Home(name)
		for _, m := range g.members[1:] {
			if m.slots.Self() == home {
				return holder, name, true
			}
		}
	}
	return nil, "", false
}

// measureHello returns the bytes of Hello messages that an entry sends in a second, without the headers of yamux and TCP.
func measureHello(ctx context.Context, seed uint64, entries int) (bytes float64, err error) {
	g, err := startGroup(ctx, seed, entries, grantWorkers)
	if err != nil {
		return 0, err
	}
	defer g.stop()
	if !wait(ctx, helloWarmUp) {
		return 0, ctx.Err()
	}
	before, began := g.sent(helloBytes), time.Now()
	if !wait(ctx, helloSpan) {
		return 0, ctx.Err()
	}
	return float64(g.sent(helloBytes)-before) / time.Since(began).Seconds() / float64(entries), nil
}

// sent returns the sum of a counter over all entries.
func (g *group) sent(counter string) (sum uint64) {
	for _, m := range g.members {
		sum += m.set.GetOrCreateCounter(counter).Get()
	}
	return sum
}
