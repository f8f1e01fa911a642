package peer

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally/peer/peerpb"
)

// FuzzReadDelimited checks that no input makes the decoder panic or allocate beyond the limit, and that each decoded message stays the
// same when it is encoded and decoded again.
func FuzzReadDelimited(f *testing.F) {
	valid, err := encodeFrame(nil, &peerpb.Hello{Entry: "entry-1", View: 3, Known: []uint32{1, 2}, KnownAge: []uint32{3, 4}})
	require.NoError(f, err)
	for _, seed := range [][]byte{valid, valid[:len(valid)-1], {}, {0xff, 0xff, 0xff, 0xff, 0x0f}, {0x01, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, limit := range []int64{maxGreeting, maxSlot} {
			var hello peerpb.Hello
			if readDelimited(bufio.NewReaderSize(bytes.NewReader(frame), streamBufferSize), &hello, limit) != nil {
				continue
			}
			reencoded, err := encodeFrame(nil, &hello)
			require.NoError(t, err)
			var roundTripped peerpb.Hello
			require.NoError(t, readDelimited(bufio.NewReader(bytes.NewReader(reencoded)), &roundTripped, 2*limit))
			require.True(t, proto.Equal(&hello, &roundTripped))
		}
	})
}
