package ingress

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnread guards against clients that do not read their responses and keep others out, and against the loss of a response that is read.
func TestUnread(t *testing.T) {
	stall := testLimits().PressureStall
	now := start.Add(time.Minute)
	tests := map[string]struct {
		phase        phase
		writingSince time.Time
		want         bool
	}{
		"not answered yet":               {phase: processing},
		"client reads":                   {phase: processing, writingSince: now.Add(1 - stall)},
		"client does not read":           {phase: processing, writingSince: now.Add(-stall), want: true},
		"between requests":               {phase: idle, writingSince: now.Add(-stall)},
		"answered before the body's end": {phase: body, writingSince: now.Add(-stall)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &ledger{limits: testLimits()}
			a := open(t, l, test.phase, 100, start)
			a.writingSince = test.writingSince
			require.Equal(t, test.want, l.unread(a, now))
			if test.phase == processing {
				require.Equal(t, test.want, l.tooSlow(a, now))
				require.Equal(t, test.want, l.longestUseless(now) == a)
			}
		})
	}
}

// TestUnreadMakesRoom guards against the same on connections: there is room only for two, and one client does not read. A client that reads
// slowly keeps its connection while it takes parts of its response.
func TestUnreadMakesRoom(t *testing.T) {
	runServer(t, Config{Limits: Limits{Connections: 2}}, func(t *testing.T, s *testServer) {
		stalled, slow := s.dial(), s.dial()
		stalled.send(post("/large", 2, "ab"))
		slow.send(post("/large", 2, "ab"))
		received := make(chan int)
		go func() { received <- readSlowly(slow) }()
		time.Sleep(testLimits().PressureStall + time.Millisecond)
		ordinary := s.dial()
		ordinary.send(post("/", 2, "ab"))
		status, _, _ := ordinary.response(t)
		require.Equal(t, 200, status)
		require.Greater(t, <-received, largeResponse, "a response with its header")
		require.Equal(t, 1, s.gate.State().ClosedUnread)
	})
}

// readSlowly reads a response in small parts and returns its size.
func readSlowly(c *client) (size int) {
	buffer := make([]byte, 4<<10)
	for size <= largeResponse {
		n, err := io.ReadAtLeast(c, buffer, 1)
		size += n
		if err != nil {
			return size
		}
		time.Sleep(100 * time.Millisecond)
	}
	return size
}

// largeResponse is the size of a response that no buffer holds.
const largeResponse = 200_000

var largeContent = strings.Repeat("x", largeResponse)
