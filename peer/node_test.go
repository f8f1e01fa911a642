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

// bubble runs a test in virtual time. Collecting twice empties yamux's pool of timers, which must not pass from one bubble to another.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
}

func entryID(i int) acaciatally.EntryID { return acaciatally.EntryID(fmt.Sprintf("entry-%02d", i)) }

type running struct {
	*peer.Node
	set  *metrics.Set
	stop func()
}

func config(network *standin.Network, i int) peer.Config {
	return peer.Config{
		Deployment: "test", Entry: entryID(i), Incarnation: fmt.Sprintf("first-%d", i), Key: testKey,
		Listener: network.Listen(addressOf(i)), Dial: network.Dial(addressOf(i)), Metrics: metrics.NewSet(),
		Random:   func() float64 { return 0.5 },
		Handlers: map[peer.Kind]peer.Handler{peer.Hello: echo},
	}
}

// echo sends each Hello back.
func echo(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	for {
		var hello peerpb.Hello
		if stream.Receive(&hello) != nil || stream.Send(&hello) != nil {
			return
		}
	}
}

func start(t *testing.T, config peer.Config) running {
	t.Helper()
	node, err := peer.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	return running{Node: node, set: config.Metrics, stop: func() {
		cancel()
		require.NoError(t, <-ended)
	}}
}

func mesh(n int) (all []peer.Address) {
	for i := range n {
		all = append(all, peer.Address{Entry: entryID(i), Address: addressOf(i), Keep: true})
	}
	return all
}

func exchange(t *testing.T, from running, to acaciatally.EntryID) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	stream, err := from.Open(ctx, to, peer.Hello)
	if err != nil {
		return err
	}
	defer stream.Close()
	_ = stream.SetReceiveDeadline(time.Now().Add(time.Second))
	if err = stream.Send(&peerpb.Hello{Entry: "x", View: 7}); err != nil {
		return err
	}
	var back peerpb.Hello
	if err = stream.Receive(&back); err != nil {
		return err
	}
	require.True(t, proto.Equal(&peerpb.Hello{Entry: "x", View: 7}, &back))
	return nil
}

func (r running) count(name string) int {
	var text strings.Builder
	r.set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		var value int
		if found, _ := fmt.Sscanf(strings.TrimPrefix(line, name+" "), "%d", &value); found == 1 && strings.HasPrefix(line, name+" ") {
			return value
		}
	}
	return 0
}

// TestMesh guards against pairs without a session, pairs with two, and streams that reach the wrong entry.
func TestMesh(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		const n = 9
		var nodes []running
		for i := range n {
			nodes = append(nodes, start(t, config(network, i)))
		}
		for _, node := range nodes {
			node.SetPeers(mesh(n))
		}
		time.Sleep(3 * time.Second)
		for i, node := range nodes {
			require.Len(t, node.Connected(), n-1)
			require.Equal(t, n-1, node.count("acaciatally_peer_sessions_opened_total"), "one session per pair")
			for j := range n {
				if i != j {
					require.NoError(t, exchange(t, node, entryID(j)))
				}
			}
		}
		for _, node := range nodes {
			node.stop()
		}
	})
}

// TestReconnect guards against a pair that stays apart after a cut, a freeze or the end of a process.
func TestReconnect(t *testing.T) {
	tests := map[string]func(network *standin.Network) (restore func()){
		"connections break": func(network *standin.Network) func() {
			network.Break(addressOf(1))
			return func() {}
		},
		"process hangs": func(network *standin.Network) func() { return network.Freeze(addressOf(1)) },
		"network is cut": func(network *standin.Network) func() {
			network.Partition(1, addressOf(1))
			return func() { network.Partition(0, addressOf(1)) }
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				a, b := start(t, config(network, 0)), start(t, config(network, 1))
				a.SetPeers(mesh(2))
				b.SetPeers(mesh(2))
				time.Sleep(time.Second)
				require.NoError(t, exchange(t, a, entryID(1)))
				restore := fault(network)
				time.Sleep(10 * time.Second)
				restore()
				time.Sleep(5 * time.Second)
				require.NoError(t, exchange(t, a, entryID(1)))
				require.NoError(t, exchange(t, b, entryID(0)))
				a.stop()
				b.stop()
			})
		})
	}
}

// TestHangingPeer guards against a session that stays open although the other side does not answer any more.
func TestHangingPeer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		a, b := start(t, config(network, 0)), start(t, config(network, 1))
		a.SetPeers(mesh(2))
		time.Sleep(time.Second)
		wake := network.Freeze(addressOf(1))
		time.Sleep(6 * time.Second)
		require.Empty(t, a.Connected())
		wake()
		a.stop()
		b.stop()
	})
}

// TestNewIncarnation guards against streams that go to a dead process after its entry has been replaced.
func TestNewIncarnation(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		a, old := start(t, config(network, 0)), start(t, config(network, 1))
		a.SetPeers(mesh(2))
		time.Sleep(time.Second)
		wake := network.Freeze(addressOf(1))
		fresh := config(network, 1)
		fresh.Incarnation = "second"
		wake()
		second := start(t, fresh)
		second.SetPeers(mesh(2))
		time.Sleep(5 * time.Second)
		require.NoError(t, exchange(t, a, entryID(1)))
		require.NoError(t, exchange(t, second, entryID(0)))
		require.Empty(t, old.Connected())
		for _, node := range []running{a, old, second} {
			node.stop()
		}
	})
}
