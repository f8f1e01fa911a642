package peer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/standin"
)

// TestHandshakeRejectsInvalidInput checks that invalid or incomplete input on the peer port closes the connection. It must not open a
// session without the key, hold memory or stop the node.
func TestHandshakeRejectsInvalidInput(t *testing.T) {
	tests := map[string]struct {
		send   []byte
		reason string
	}{
		"no input":         {reason: "SlowHandshake"},
		"partial greeting": {send: []byte{0x40, 0x0a}, reason: "SlowHandshake"},
		"garbage":          {send: []byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\nmore and more and more and more and more and more and more"), reason: "InvalidHandshake"},
		"oversized frame":  {send: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}, reason: "InvalidHandshake"},
		"endless varint":   {send: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, reason: "InvalidHandshake"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				node := startNode(t, newConfig(network, 0))
				conn, err := network.Dial(peerAddress(9))(t.Context(), peerAddress(0))
				require.NoError(t, err)
				go func() { _, _ = conn.Write(test.send) }()
				time.Sleep(5 * time.Second)
				_, err = io.Copy(io.Discard, conn)
				require.NoError(t, err, "connection must be closed")
				require.Equal(t, 1, node.counterValue(`acaciatally_peer_rejected_total{reason="`+test.reason+`"}`))
				node.stop()
			})
		})
	}
}

// TestHandshakeRejectsUnauthorizedPeer checks that no session opens with an entry that has a different key or belongs to another
// deployment.
func TestHandshakeRejectsUnauthorizedPeer(t *testing.T) {
	tests := map[string]func(config *peer.Config){
		"WrongKey":        func(config *peer.Config) { config.Key = []byte("another key, also long enough") },
		"WrongDeployment": func(config *peer.Config) { config.Deployment = "other" },
	}
	for reason, modify := range tests {
		t.Run(reason, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				otherConfig := newConfig(network, 1)
				modify(&otherConfig)
				node, other := startNode(t, newConfig(network, 0)), startNode(t, otherConfig)
				other.SetPeers(peerAddresses(2))
				time.Sleep(5 * time.Second)
				require.Empty(t, node.ConnectedEntries())
				require.Empty(t, other.ConnectedEntries())
				require.Positive(t, node.counterValue(`acaciatally_peer_rejected_total{reason="`+reason+`"}`))
				node.stop()
				other.stop()
			})
		})
	}
}

// TestHandshakeLimit checks that the number of unauthenticated connections is limited, so that they cannot use unbounded memory.
func TestHandshakeLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		nodeConfig := newConfig(network, 0)
		nodeConfig.MaxHandshakes = 4
		node := startNode(t, nodeConfig)
		for range 10 {
			_, err := network.Dial(peerAddress(9))(t.Context(), peerAddress(0))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.Equal(t, 6, node.counterValue(`acaciatally_peer_rejected_total{reason="TooManyHandshakes"}`))
		node.stop()
	})
}

// TestInvalidStreams checks that a stream of a kind without a handler is closed, that an oversized message is not sent, and that
// neither closes the session.
func TestInvalidStreams(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		node, other := startNode(t, newConfig(network, 0)), startNode(t, newConfig(network, 1))
		other.SetPeers(peerAddresses(2))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		stream, err := other.Open(ctx, entryID(0), peer.StreamHeldSlot) // has no handler
		require.NoError(t, err)
		require.NoError(t, stream.Send(&peerpb.SlotCall{}))
		require.ErrorIs(t, stream.Receive(&peerpb.SlotReply{}), io.EOF)
		require.Equal(t, 1, node.counterValue(`acaciatally_peer_rejected_total{reason="UnknownKind"}`))
		require.Error(t, stream.Send(&peerpb.SlotCall{Call: &peerpb.SlotCall_Request{Request: &peerpb.SlotRequest{Id: string(make([]byte, 1<<20))}}}))
		require.NoError(t, echoHello(t, other, entryID(0)), "session must stay open")
		node.stop()
		other.stop()
	})
}

// TestStreamLimits checks that streams that never send their kind or exceed the maximum number are closed, since each holds memory.
func TestStreamLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		nodeConfig := newConfig(network, 0)
		nodeConfig.MaxStreams = 2
		node, other := startNode(t, nodeConfig), startNode(t, newConfig(network, 1))
		other.SetPeers(peerAddresses(2))
		time.Sleep(time.Second)
		for range 3 {
			stream, err := other.Open(t.Context(), entryID(0), peer.StreamHello) // sends nothing
			require.NoError(t, err)
			defer stream.Close()
		}
		time.Sleep(6 * time.Second)
		require.Equal(t, 1, node.counterValue(`acaciatally_peer_rejected_total{reason="TooManyStreams"}`))
		require.Equal(t, 2, node.counterValue(`acaciatally_peer_rejected_total{reason="SlowStream"}`))
		require.NoError(t, echoHello(t, other, entryID(0)))
		node.stop()
		other.stop()
	})
}
