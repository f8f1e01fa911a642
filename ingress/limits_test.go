package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const documentedBody = 262144

// TestDefaults guards against defaults that clients within the documented limits reach, on the smallest and the largest machines.
func TestDefaults(t *testing.T) {
	for _, memory := range []int64{184 << 20, 536 << 20} {
		for _, descriptors := range []int{4100, 8192} {
			l := Limits{}.WithDefaults(memory, descriptors)
			require.GreaterOrEqual(t, l.Connections, 700, "hundreds of callers")
			require.LessOrEqual(t, l.maxOpen()+fileDescriptors, descriptors-1400, "350 workers, and the store")
			require.GreaterOrEqual(t, l.Bytes-l.reserved(), int64(16*5*documentedBody), "sixteen of the largest bodies at once, decoded")
			require.Greater(t, l.reserved(), int64(700*5*500), "seven hundred requests of some hundred bytes beside them")
			require.Greater(t, l.HeaderBytes, 16384)
			require.Equal(t, 3*time.Second, l.HeaderTimeout)
		}
	}
}

// TestDefaultsFitMemory guards against defaults that together exceed the memory of the process, or its descriptors.
func TestDefaultsFitMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(64<<20, 4<<30).Draw(t, "memory")
		descriptors := rapid.IntRange(300, 20000).Draw(t, "descriptors")
		l := Limits{}.WithDefaults(memory, descriptors)
		open := l.maxOpen()
		if used := l.Bytes + int64(open)*connectionBytes; used > memory/2 {
			t.Fatalf("%d bytes of %d for requests and connections", used, memory)
		}
		if open+fileDescriptors > descriptors {
			t.Fatalf("%d connections of %d descriptors", open, descriptors)
		}
	})
}

// TestValidate guards against negative limits, which would refuse everything.
func TestValidate(t *testing.T) {
	require.NoError(t, Limits{}.Validate())
	require.NoError(t, Limits{}.WithDefaults(0, 0).Validate())
	require.ErrorContains(t, Limits{Connections: -1}.Validate(), "connections must not be negative")
	require.Error(t, Limits{BodyStall: -1}.Validate())
}

// TestBodyDeadline guards against a wrong time limit of bodies.
func TestBodyDeadline(t *testing.T) {
	l := Limits{}.WithDefaults(0, 0)
	tests := map[string]struct {
		lastByte time.Duration
		received int64
		want     time.Duration
	}{
		"nothing":        {want: l.BodyStall},
		"stalled":        {lastByte: time.Second, received: documentedBody, want: time.Second + l.BodyStall},
		"slow":           {lastByte: 11 * time.Second, received: 8 << 10, want: time.Second + l.BodyStall},
		"lasts too long": {lastByte: 59 * time.Second, received: 100 * documentedBody, want: l.BodyTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, l.bodyDeadline(start, start.Add(test.lastByte), test.received).Sub(start))
		})
	}
}
