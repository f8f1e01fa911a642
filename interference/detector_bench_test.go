package interference

import (
	"testing"
	"time"
)

// BenchmarkObserve measures one observation of a kind that was seen beside all others, with 16 of them beside the run.
func BenchmarkObserve(b *testing.B) {
	d := NewDetector()
	var beside []Presence
	for i := range MaxKinds {
		beside = append(beside, Presence{d.Acquire(Kind{Queue: "q", Step: i}), 0.5})
	}
	d.Observe(Observation{Kind: 0, Worker: "m-1", Time: time.Second, Beside: beside}, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += 10 * time.Millisecond
		d.Observe(Observation{Kind: 0, Worker: "m-1", Time: time.Second + now%7, Beside: beside[:16]}, now)
	}
}
