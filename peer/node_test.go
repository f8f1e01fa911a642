package peer_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/standin"
)

var testKey = []byte("a key of the tests, long enough")

// runInBubble runs a test in a synctest bubble. Two garbage collections clear yamux's pool of timers, since a timer must not be reused
// in another bubble.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
}

func entryID(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

type testNode struct {
	*peer.Node
	set  *metrics.Set
	stop func()
}

func newConfig(network *standin.Network, i int) peer.Config {
	return peer.Config{
		Deployment: "test", Entry: entryID(i), Incarnation: fmt.Sprintf("first-%d", i), Key: testKey,
		Listener: network.Listen(peerAddress(i)), Dial: network.Dial(peerAddress(i)), Metrics: metrics.NewSet(),
		Random:   func() float64 { return 0.5 },
		Handlers: map[peer.StreamKind]peer.Handler{peer.StreamHello: echoHellos},
	}
}

// echoHellos sends each received Hello back.
func echoHellos(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	for {
		var hello peerpb.Hello
		if stream.Receive(&hello) != nil || stream.Send(&hello) != nil {
			return
		}
	}
}

func startNode(t *testing.T, config peer.Config) testNode {
	t.Helper()
	node, err := peer.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- node.Run(ctx) }()
	return testNode{Node: node, set: config.Metrics, stop: func() {
		cancel()
		require.NoError(t, <-runErr)
	}}
}

func peerAddresses(n int) (all []peer.Address) {
	for i := range n {
		all = append(all, peer.Address{Entry: entryID(i), Address: peerAddress(i), KeepConnected: true})
	}
	return all
}

func echoHello(t *testing.T, from testNode, to acaciatally.EntryID) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	stream, err := from.Open(ctx, to, peer.StreamHello)
	if err != nil {
		return err
	}
	defer stream.Close()
	_ = stream.SetReceiveDeadline(time.Now().Add(time.Second))
	if err = stream.Send(&peerpb.Hello{Entry: "x", View: 7}); err != nil {
		return err
	}
	var reply peerpb.Hello
	if err = stream.Receive(&reply); err != nil {
		return err
	}
	require.True(t, proto.Equal(&peerpb.Hello{Entry: "x", View: 7}, &reply))
	return nil
}

func (n testNode) counterValue(name string) int {
	var exposition strings.Builder
	n.set.WritePrometheus(&exposition)
	for line := range strings.Lines(exposition.String()) {
		var value int
		if found, _ := fmt.Sscanf(strings.TrimPrefix(line, name+" "), "%d", &value); found == 1 && strings.HasPrefix(line, name+" ") {
			return value
		}
	}
	return 0
}

// TestFullMesh checks that each pair of entries opens exactly one session and that streams work between all of them.
func TestFullMesh(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		const n = 9
		var nodes []testNode
		for i := range n {
			nodes = append(nodes, startNode(t, newConfig(network, i)))
		}
		for _, node := range nodes {
			node.SetPeers(peerAddresses(n))
		}
		time.Sleep(3 * time.Second)
		for i, node := range nodes {
			require.Len(t, node.ConnectedEntries(), n-1)
			require.Equal(t, n-1, node.counterValue("acaciatally_peer_sessions_opened_total"), "sessions opened, one per peer")
			for j := range n {
				if i != j {
					require.NoError(t, echoHello(t, node, entryID(j)))
				}
			}
		}
		for _, node := range nodes {
			node.stop()
		}
	})
}

// TestReconnect checks that two entries reconnect after broken connections, a frozen process and a network partition.
func TestReconnect(t *testing.T) {
	tests := map[string]func(network *standin.Network) (restore func()){
		"connections broken": func(network *standin.Network) func() {
			network.CloseConnections(peerAddress(1))
			return func() {}
		},
		"process frozen": func(network *standin.Network) func() { return network.Freeze(peerAddress(1)) },
		"network partitioned": func(network *standin.Network) func() {
			network.Partition(1, peerAddress(1))
			return func() { network.Partition(0, peerAddress(1)) }
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				a, b := startNode(t, newConfig(network, 0)), startNode(t, newConfig(network, 1))
				a.SetPeers(peerAddresses(2))
				b.SetPeers(peerAddresses(2))
				time.Sleep(time.Second)
				require.NoError(t, echoHello(t, a, entryID(1)))
				restore := fault(network)
				time.Sleep(10 * time.Second)
				restore()
				time.Sleep(5 * time.Second)
				require.NoError(t, echoHello(t, a, entryID(1)))
				require.NoError(t, echoHello(t, b, entryID(0)))
				a.stop()
				b.stop()
			})
		})
	}
}

// TestUnresponsivePeer checks that a session is closed when the peer stops responding.
func TestUnresponsivePeer(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		a, b := startNode(t, newConfig(network, 0)), startNode(t, newConfig(network, 1))
		a.SetPeers(peerAddresses(2))
		time.Sleep(time.Second)
		unfreeze := network.Freeze(peerAddress(1))
		time.Sleep(6 * time.Second)
		require.Empty(t, a.ConnectedEntries())
		unfreeze()
		a.stop()
		b.stop()
	})
}

// TestNewIncarnation checks that streams go to the new process of an entry after it has replaced an earlier one.
func TestNewIncarnation(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		a, first := startNode(t, newConfig(network, 0)), startNode(t, newConfig(network, 1))
		a.SetPeers(peerAddresses(2))
		time.Sleep(time.Second)
		unfreeze := network.Freeze(peerAddress(1))
		secondConfig := newConfig(network, 1)
		secondConfig.Incarnation = "second"
		unfreeze()
		second := startNode(t, secondConfig)
		second.SetPeers(peerAddresses(2))
		time.Sleep(5 * time.Second)
		require.NoError(t, echoHello(t, a, entryID(1)))
		require.NoError(t, echoHello(t, second, entryID(0)))
		require.Empty(t, first.ConnectedEntries())
		for _, node := range []testNode{a, first, second} {
			node.stop()
		}
	})
}
