package slot_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/slot"
)

// staticMembership is a membership that never changes.
type staticMembership struct{ peers []acaciatally.Peer }

func (m staticMembership) Live() []acaciatally.Peer                         { return m.peers }
func (m staticMembership) MayChange() bool                                  { return true }
func (m staticMembership) MayServe() bool                                   { return true }
func (m staticMembership) Acknowledged(acaciatally.InstanceID, uint64) bool { return true }
func (m staticMembership) LeavingInstances() []acaciatally.InstanceID       { return nil }

func benchState(pools, workers int) *fleet.State {
	state := &fleet.State{Pools: map[acaciatally.PoolName]fleet.Pool{}, Instances: map[acaciatally.InstanceID]fleet.Instance{}}
	for p := range pools {
		name := acaciatally.PoolName(fmt.Sprintf("pool-%d", p))
		state.Pools[name] = fleet.Pool{Name: name}
		for w := range workers {
			id := acaciatally.InstanceID(fmt.Sprintf("%s-%d", name, w))
			state.Instances[id] = fleet.Instance{ID: id, Pool: name, Slots: 8, Phase: fleet.Serving}
		}
	}
	return state
}

// startPair starts two entries on loopback and returns the first one's service. With remote, all its slot homes are in the second entry.
func startPair(b *testing.B, state *fleet.State, remote bool) *slot.Service {
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	var services []*slot.Service
	var nodes []*peer.Node
	var addresses []peer.Address
	for _, id := range []acaciatally.EntryID{"entry-0", "entry-1"} {
		members := staticMembership{}
		if remote && id == "entry-0" {
			members.peers = []acaciatally.Peer{{ID: "entry-1"}}
		}
		service := slot.New(slot.Config{Self: id, Membership: members, State: func() *fleet.State { return state }})
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		require.NoError(b, err)
		node, err := peer.New(peer.Config{
			Deployment: "bench", Entry: id, Incarnation: "first", Key: []byte("a key of the tests, long enough"),
			Listener: listener, Handlers: service.Handlers(),
		})
		require.NoError(b, err)
		go func() { _ = node.Run(ctx) }()
		go func() { _ = service.Run(ctx, node) }()
		addresses = append(addresses, peer.Address{Entry: id, Address: listener.Addr().(*net.TCPAddr).AddrPort(), KeepConnected: true})
		services, nodes = append(services, service), append(nodes, node)
	}
	nodes[0].SetPeers(addresses)
	if remote {
		services[0].ReleaseHomes() // so that all slot homes are in the other entry
	}
	require.Eventually(b, func() bool { return len(nodes[0].ConnectedEntries()) == 1 }, 5*time.Second, time.Millisecond)
	return services[0]
}

func benchmarkGrant(b *testing.B, pools, workers int, remote bool) {
	service := startPair(b, benchState(pools, workers), remote)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		grant, err := service.Acquire(b.Context(), acaciatally.Request{
			Pool: acaciatally.PoolName(fmt.Sprintf("pool-%d", i%pools)), Urgency: acaciatally.Normal, Deadline: time.Now().Add(time.Minute),
		})
		if err != nil {
			b.Fatal(err)
		}
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
	}
}

// BenchmarkRemoteGrant measures a grant and its release at a slot home in another entry, as a function of the numbers of workers and pools.
func BenchmarkRemoteGrant(b *testing.B) {
	for _, size := range []struct{ pools, workers int }{{1, 9}, {1, 41}, {1, 400}, {8, 41}, {61, 41}} {
		b.Run(fmt.Sprintf("pools=%d/workers=%d", size.pools, size.workers), func(b *testing.B) {
			benchmarkGrant(b, size.pools, size.workers, true)
		})
	}
}

// BenchmarkWaiting measures the memory per request that waits at a slot home in another entry, in both entries together.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("requests=%d", waiting), func(b *testing.B) {
			service := startPair(b, benchState(1, 1), true)
			ctx, cancel := context.WithCancel(b.Context())
			var callers sync.WaitGroup
			var refusals atomic.Int64
			request := acaciatally.Request{Pool: "pool-0", Urgency: acaciatally.Background, Deadline: time.Now().Add(10 * time.Minute)}
			before := memoryInUse()
			for i := range waiting {
				request.Urgency = acaciatally.Urgency(i % acaciatally.UrgencyClasses)
				request.Team = acaciatally.TeamName(fmt.Sprintf("team-%d", i%50))
				callers.Go(func() {
					if _, err := service.Acquire(ctx, request); err != nil && ctx.Err() == nil {
						refusals.Add(1)
					}
				})
			}
			time.Sleep(time.Second)
			b.ReportMetric(float64(memoryInUse()-before)/float64(waiting), "B/request")
			b.ReportMetric(float64(refusals.Load()), "refusals")
			cancel()
			callers.Wait()
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkLocalGrant measures a grant and its release at a slot home in the same entry.
func BenchmarkLocalGrant(b *testing.B) {
	for _, workers := range []int{9, 41, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkGrant(b, 1, workers, false) })
	}
}
