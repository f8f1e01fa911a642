package interference

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// TestBounds guards against memory that grows with the number of kinds and workers that were ever seen.
func TestBounds(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := NewDetector()
	const kinds = 10_000
	for i := range kinds {
		id := d.Acquire(Kind{Queue: "q", Step: i})
		require.NotEqual(t, NoKind, id)
		o := Observation{Kind: id, Worker: fmt.Sprintf("m-%d", i), Time: time.Second}
		var held []KindID
		for other := max(0, i-MaxKinds+1); other < i; other++ {
			beside := d.Acquire(Kind{Queue: "q", Step: other})
			held = append(held, beside)
			o.Beside = append(o.Beside, Presence{beside, 0.5})
		}
		d.Observe(o, time.Duration(i)*time.Millisecond)
		for _, beside := range append(held, id) {
			d.Release(beside)
		}
	}
	stats := d.Stats()
	require.LessOrEqual(t, stats.Kinds, MaxKinds)
	require.LessOrEqual(t, stats.Pairs, MaxPairs)
	require.LessOrEqual(t, stats.Workers, MaxWorkers)
	require.Less(t, MaxPairs*unsafe.Sizeof(pair{}), uintptr(2<<20))
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(4<<20))
	runtime.KeepAlive(d)
}

// TestKindsInUse guards against an ID that is given to another kind while tasks of the first one are running.
func TestKindsInUse(t *testing.T) {
	d := NewDetector()
	for i := range MaxKinds {
		require.Equal(t, KindID(i), d.Acquire(Kind{Queue: "q", Step: i}))
	}
	require.Equal(t, NoKind, d.Acquire(Kind{Image: "new"}))
	d.Release(NoKind)
	d.Observe(Observation{Kind: NoKind, Worker: "m-1", Time: time.Second}, 0)
	d.Release(5)
	require.Equal(t, KindID(5), d.Acquire(Kind{Image: "new"}))
	require.Equal(t, NoKind, d.Find(Kind{Queue: "q", Step: 5}))
}

// TestReplacedKind guards against evidence of a replaced kind that counts for its successor under the same ID.
func TestReplacedKind(t *testing.T) {
	s := newSimulation(1, 6)
	s.slowdown = interferes(0, 3, 3)
	s.run(40*time.Second, 0.6)
	require.Len(t, s.found(), 1)
	pairs, aggressor := s.detector.Stats().Pairs, s.detector.Find(queueKind(3))
	for i := range 6 {
		if i != 3 {
			s.detector.Acquire(queueKind(i))
		}
	}
	for i := range MaxKinds - 6 {
		s.detector.Acquire(Kind{Image: fmt.Sprintf("i-%d", i)})
	}
	require.Equal(t, aggressor, s.detector.Acquire(Kind{Image: "new"}))
	require.Empty(t, s.found())
	require.Zero(t, s.detector.Verdicts())
	for id := range KindID(MaxKinds) {
		require.Empty(t, s.detector.Conflicts(id))
	}
	require.Equal(t, pairs-11, s.detector.Stats().Pairs, "6 pairs with it as the victim, 5 as the other kind")
}
