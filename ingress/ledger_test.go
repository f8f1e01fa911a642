package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testLimits are small limits, so that a few requests use them up.
func testLimits() Limits {
	return Limits{Bytes: 1000, Connections: 16, SmallRequest: 50, PressureRate: 100}.WithDefaults(0, 0)
}

var start = time.Unix(1000, 0)

// open admits a connection whose request has reached a phase and holds some bytes.
func open(t *testing.T, l *ledger, p phase, bytes int64, now time.Time) *account {
	t.Helper()
	a, _ := l.admit(now)
	require.NotNil(t, a)
	l.enter(a, p, now)
	_, ok := l.reserve(a, bytes, now)
	require.True(t, ok)
	return a
}

// stalled reports whether the client of a connection has taken nothing of its response for longer than allowed under pressure.
func stalled(l *ledger, a *account, now time.Time) bool {
	return !a.writingSince.IsZero() && now.Sub(a.writingSince) >= l.limits.PressureStall
}

// TestLedgerProperties guards against more bytes or connections than the limits, bytes that are lost or returned twice, and the loss of a request
// that has arrived, over random sequences of operations.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{limits: testLimits()}
		now := start
		open := map[*account]bool{}
		// onConnection is an action on one of the connections; without one it does nothing.
		onConnection := func(action func(t *rapid.T, a *account)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(l.accounts) > 0 {
					action(t, rapid.SampledFrom(l.accounts).Draw(t, "account"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				a, victim := l.admit(now)
				if victim != nil && victim.phase == processing && !stalled(l, victim, now) {
					t.Fatalf("a request that is being answered was evicted")
				}
				if a != nil {
					open[a] = true
				} else if len(l.accounts) < l.limits.Connections {
					t.Fatalf("refused with %d connections", len(l.accounts))
				}
			},
			"enter": onConnection(func(t *rapid.T, a *account) {
				l.enter(a, rapid.SampledFrom([]phase{opened, idle, header, body, processing, refused}).Draw(t, "phase"), now)
			}),
			"receive": onConnection(func(t *rapid.T, a *account) { l.receive(a, rapid.Int64Range(0, 100).Draw(t, "bytes"), now) }),
			"reserve": onConnection(func(t *rapid.T, a *account) {
				bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
				before, had, evicted := l.bytes, a.bytes, a.evicted
				victims, ok := l.reserve(a, bytes, now)
				for _, victim := range victims {
					if victim == a || victim.phase == processing && !stalled(l, victim, now) || victim.phase == idle || victim.phase == opened {
						t.Fatalf("evicted an account in phase %d", victim.phase)
					}
				}
				if !ok && (l.bytes != before || len(victims) > 0) {
					t.Fatalf("a refusal changed the ledger")
				}
				if ok && a.bytes > l.limits.SmallRequest && bytes > 0 && l.bytes > l.limits.Bytes-l.limits.reserved() {
					t.Fatalf("a large request uses the part of small ones")
				}
				if !ok && !evicted && had+bytes <= l.limits.SmallRequest && before+bytes <= l.limits.Bytes {
					t.Fatalf("a small request was refused though there is room")
				}
			}),
			"write": onConnection(func(t *rapid.T, a *account) {
				a.writingSince = rapid.SampledFrom([]time.Time{{}, now}).Draw(t, "since")
			}),
			"release": onConnection(func(_ *rapid.T, a *account) { l.release(a) }),
			"remove": onConnection(func(_ *rapid.T, a *account) {
				l.remove(a)
				l.remove(a)
				delete(open, a)
			}),
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				total, bodies := int64(0), 0
				for i, a := range l.accounts {
					total += a.bytes
					if a.phase == body {
						bodies++
					}
					if a.index != i || !open[a] || (a.evicted && a.bytes != 0) {
						t.Fatalf("account %d is not valid", i)
					}
				}
				if total != l.bytes || l.bytes < 0 || l.bytes > l.limits.Bytes {
					t.Fatalf("%d bytes reserved, accounts hold %d, limit %d", l.bytes, total, l.limits.Bytes)
				}
				if bodies != l.bodies {
					t.Fatalf("%d bodies counted, not %d", l.bodies, bodies)
				}
				if len(l.accounts) != len(open) || len(l.accounts) > l.limits.maxOpen() {
					t.Fatalf("%d connections", len(l.accounts))
				}
			},
		})
		for len(l.accounts) > 0 {
			l.remove(l.accounts[0])
		}
		if l.bytes != 0 {
			t.Fatalf("%d bytes remain reserved", l.bytes)
		}
	})
}

// TestReserveSmall guards against large requests that keep small ones from being served.
func TestReserveSmall(t *testing.T) {
	l := &ledger{limits: testLimits()}
	open(t, l, body, 700, start)
	a, _ := l.admit(start)
	l.enter(a, body, start)
	_, ok := l.reserve(a, 100, start)
	require.False(t, ok, "750 of 1000 bytes are for large requests")
	_, ok = l.reserve(a, 50, start)
	require.True(t, ok, "a small request")
}

// TestEvictSlowest guards against the loss of requests that arrive in time, and against evictions that make no room.
func TestEvictSlowest(t *testing.T) {
	l := &ledger{limits: testLimits()}
	now := start.Add(4 * time.Second)
	small := open(t, l, body, 100, start)
	answered := open(t, l, processing, 100, start)
	large := open(t, l, body, 300, start)
	steady := open(t, l, body, 200, start)
	l.receive(steady, 350, now) // faster than the rate under pressure
	fresh := open(t, l, body, 50, now)
	victims, ok := l.reserve(fresh, 401, now)
	require.False(t, ok, "the slow ones hold 400 bytes")
	require.Empty(t, victims)
	victims, ok = l.reserve(fresh, 260, now)
	require.True(t, ok)
	require.Equal(t, []*account{large}, victims, "the one that has held the most for longest")
	require.False(t, small.evicted || answered.evicted || steady.evicted)
	_, ok = l.reserve(large, 1, now)
	require.False(t, ok, "an evicted request gets nothing more")
}

// TestAdmitOrder guards against a wrong order in which connections are closed to make room.
func TestAdmitOrder(t *testing.T) {
	l := &ledger{limits: testLimits()}
	var inOrder []*account
	unfinished := open(t, l, body, 100, start)
	silent := open(t, l, opened, 0, start.Add(time.Second))
	little := open(t, l, header, 0, start)
	inOrder = append(inOrder, open(t, l, refused, 0, start.Add(time.Second)), open(t, l, idle, 0, start), open(t, l, idle, 0, start.Add(time.Second)))
	inOrder = append(inOrder, unfinished, little, silent)
	for len(l.accounts) < l.limits.Connections {
		open(t, l, processing, 0, start).writingSince = start.Add(3 * time.Second) // their clients read
	}
	unfinished.bytes, l.bytes = 100_000, 100_000 // so that it weighs more than its connection
	now := start.Add(3 * time.Second)
	for i, expected := range inOrder {
		a, victim := l.admit(now)
		require.NotNil(t, a, i)
		require.Same(t, expected, victim, i)
		l.remove(victim)
		l.enter(a, processing, now)
	}
	a, victim := l.admit(now)
	require.Nil(t, a, "no request that is being answered is closed")
	require.Nil(t, victim)
}

// TestAdmitGrace guards against a connection that is closed before its request can arrive.
func TestAdmitGrace(t *testing.T) {
	l := &ledger{limits: testLimits()}
	for len(l.accounts) < l.limits.Connections {
		open(t, l, idle, 0, start)
	}
	a, _ := l.admit(start.Add(minConnectionAge - 1))
	require.Nil(t, a)
	a, _ = l.admit(start.Add(minConnectionAge))
	require.NotNil(t, a)
}

// TestFramingPause guards against chunk framing that uses up the processors, and against a pause that ends a body
// although there is no other one.
func TestFramingPause(t *testing.T) {
	for _, processors := range []float64{0.192, 0.8, 1} {
		for _, bodies := range []int{1, 10, 150} {
			l := &ledger{limits: testLimits(), processors: processors, bodies: bodies}
			pause := l.framingPause()
			if pause < maxPause {
				require.InDelta(t, framingShare*processors, float64(bodies)*framingTime.Seconds()/pause.Seconds(), 0.01)
			}
			if bodies == 1 {
				require.Less(t, pause*5*documentedBody/framingStep, time.Second, "the largest body in chunks of one byte")
			}
		}
	}
}
