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

// TestBadInput guards against input on the peer port that opens a session without the key, holds memory, or stops the entry.
func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		send   []byte
		reason string
	}{
		"nothing":         {reason: "SlowHandshake"},
		"half a greeting": {send: []byte{0x40, 0x0a}, reason: "SlowHandshake"},
		"garbage":         {send: []byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\nmore and more and more and more and more and more and more"), reason: "InvalidHandshake"},
		"oversized frame": {send: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}, reason: "InvalidHandshake"},
		"endless varint":  {send: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, reason: "InvalidHandshake"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				node := start(t, config(network, 0))
				conn, err := network.Dial(addressOf(9))(t.Context(), addressOf(0))
				require.NoError(t, err)
				go func() { _, _ = conn.Write(test.send) }()
				time.Sleep(5 * time.Second)
				_, err = io.Copy(io.Discard, conn)
				require.NoError(t, err, "the connection is closed")
				require.Equal(t, 1, node.count(`acaciatally_peer_rejected_total{reason="`+test.reason+`"}`))
				node.stop()
			})
		})
	}
}

// TestWrongKey guards against a session with an entry that lacks the key or belongs to another deployment.
func TestWrongKey(t *testing.T) {
	tests := map[string]func(config *peer.Config){
		"WrongKey":        func(config *peer.Config) { config.Key = []byte("another key, also long enough") },
		"WrongDeployment": func(config *peer.Config) { config.Deployment = "other" },
	}
	for reason, change := range tests {
		t.Run(reason, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				network := standin.NewNetwork()
				foreign := config(network, 1)
				change(&foreign)
				node, other := start(t, config(network, 0)), start(t, foreign)
				other.SetPeers(mesh(2))
				time.Sleep(5 * time.Second)
				require.Empty(t, node.Connected())
				require.Empty(t, other.Connected())
				require.Positive(t, node.count(`acaciatally_peer_rejected_total{reason="`+reason+`"}`))
				node.stop()
				other.stop()
			})
		})
	}
}

// TestManyHandshakes guards against unbounded memory for connections that never prove the key.
func TestManyHandshakes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		limited := config(network, 0)
		limited.MaxHandshakes = 4
		node := start(t, limited)
		for range 10 {
			_, err := network.Dial(addressOf(9))(t.Context(), addressOf(0))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.Equal(t, 6, node.count(`acaciatally_peer_rejected_total{reason="TooManyHandshakes"}`))
		node.stop()
	})
}

// TestBadStreams guards against streams that are served although their kind is unknown, late or their frames are invalid, and
// against one bad stream that ends its session.
func TestBadStreams(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		node, other := start(t, config(network, 0)), start(t, config(network, 1))
		other.SetPeers(mesh(2))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		stream, err := other.Open(ctx, entryID(0), peer.Held) // no handler for it
		require.NoError(t, err)
		require.NoError(t, stream.Send(&peerpb.SlotCall{}))
		require.ErrorIs(t, stream.Receive(&peerpb.SlotReply{}), io.EOF)
		require.Equal(t, 1, node.count(`acaciatally_peer_rejected_total{reason="UnknownKind"}`))
		require.Error(t, stream.Send(&peerpb.SlotCall{Call: &peerpb.SlotCall_Request{Request: &peerpb.SlotRequest{Id: string(make([]byte, 1<<20))}}}))
		require.NoError(t, exchange(t, other, entryID(0)), "the session goes on")
		node.stop()
		other.stop()
	})
}

// TestStreamLimits guards against streams that hold memory because they never tell their kind or because there are too many.
func TestStreamLimits(t *testing.T) {
	bubble(t, func(t *testing.T) {
		network := standin.NewNetwork()
		limited := config(network, 0)
		limited.MaxStreams = 2
		node, other := start(t, limited), start(t, config(network, 1))
		other.SetPeers(mesh(2))
		time.Sleep(time.Second)
		for range 3 {
			stream, err := other.Open(t.Context(), entryID(0), peer.Hello) // sends nothing
			require.NoError(t, err)
			defer stream.Close()
		}
		time.Sleep(6 * time.Second)
		require.Equal(t, 1, node.count(`acaciatally_peer_rejected_total{reason="TooManyStreams"}`))
		require.Equal(t, 2, node.count(`acaciatally_peer_rejected_total{reason="SlowStream"}`))
		require.NoError(t, exchange(t, other, entryID(0)))
		node.stop()
		other.stop()
	})
}
