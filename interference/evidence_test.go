package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMinimumEvidence guards against a verdict from a few runs, or from runs beside the other kind on a single worker, however clear they look. Each
// worker also runs tasks of a third kind, which show that the worker as such is not slow.
func TestMinimumEvidence(t *testing.T) {
	tests := map[string]struct {
		runs, workers int // beside the aggressor, and the workers on which they are
		slowOn        int // workers on which the aggressor slows the victim down
		found         bool
	}{
		"a few runs":                     {8, 8, 8, false},
		"enough runs":                    {60, 8, 8, true},
		"one worker":                     {60, 1, 1, false},
		"slow on three of eight workers": {240, 8, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDetector()
			victim, aggressor, other := d.Acquire(queueKind(0)), d.Acquire(queueKind(1)), d.Acquire(queueKind(2))
			now, random := time.Duration(0), rand.New(rand.NewPCG(1, 2))
			observe := func(kind KindID, worker int, factor float64, beside ...Presence) {
				now += 20 * time.Millisecond
				d.Observe(Observation{
					Kind: kind, Worker: fmt.Sprint(worker), Time: seconds(factor * math.Exp(0.05*random.NormFloat64())), Beside: beside,
				}, now)
			}
			for i := range 320 {
				observe(victim, i%8, 1)
				observe(other, i%8, 1)
			}
			for i := range test.runs {
				worker := i % test.workers
				factor := 1.0
				if worker < test.slowOn {
					factor = 20
				}
				observe(victim, worker, factor, Presence{aggressor, 1})
				for range 4 {
					observe(other, worker, 1)
					observe(victim, i%8, 1)
				}
			}
			d.Advance(now)
			require.Equal(t, test.found, d.Verdicts() == 1)
			require.Equal(t, test.found, len(d.TakeChanges()) > 0)
		})
	}
}

// TestHungRun guards against one run that hung for long and by itself changes an estimate, the usual run time or the speed of its worker.
func TestHungRun(t *testing.T) {
	s := newSimulation(1, 6)
	s.run(10*time.Second, 0.6)
	id, other := s.detector.Find(queueKind(0)), s.detector.Find(queueKind(3))
	effect := func() float64 {
		effect, _, _ := s.detector.kinds[id].pairs[other].estimate(1)
		return effect
	}
	before, baseline, speed := effect(), s.detector.kinds[id].measured.baseline, s.detector.workers["m-1"].slowness.value
	s.detector.Observe(Observation{Kind: id, Worker: "m-1", Time: time.Hour, Load: 0.5, Beside: []Presence{{other, 1}}}, s.now)
	require.InDelta(t, before, effect(), 0.05)
	require.InDelta(t, baseline[1].value, s.detector.kinds[id].measured.baseline[1].value, 0.05)
	require.InDelta(t, speed, s.detector.workers["m-1"].slowness.value, 0.25)
}
