package peer

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally/peer/peerpb"
)

// FuzzFrame guards against frames that crash the decoder, make it allocate beyond the limit, or change on the way.
func FuzzFrame(f *testing.F) {
	whole, err := encode(nil, &peerpb.Hello{Entry: "entry-1", View: 3, Known: []uint32{1, 2}, KnownAge: []uint32{3, 4}})
	require.NoError(f, err)
	for _, seed := range [][]byte{whole, whole[:len(whole)-1], {}, {0xff, 0xff, 0xff, 0xff, 0x0f}, {0x01, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, limit := range []int64{maxGreeting, maxSlot} {
			var hello peerpb.Hello
			if readDelimited(bufio.NewReaderSize(bytes.NewReader(frame), streamBuffer), &hello, limit) != nil {
				continue
			}
			again, err := encode(nil, &hello)
			require.NoError(t, err)
			var copied peerpb.Hello
			require.NoError(t, readDelimited(bufio.NewReader(bytes.NewReader(again)), &copied, 2*limit))
			require.True(t, proto.Equal(&hello, &copied))
		}
	})
}
