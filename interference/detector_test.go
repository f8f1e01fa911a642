package interference

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testSeeds is the number of seeds with which each case is simulated.
const testSeeds = 4

func queueKind(i int) Kind { return newSimulation(1, i+1).kinds[i].kind }

// seconds returns a time for estimates.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// TestFound guards against interference that is not found within a stated number of the victim's runs, and against blaming other kinds. About a
// third of the victim's run time is beside the aggressor.
func TestFound(t *testing.T) {
	tests := map[string]struct {
		victim, aggressor int
		factor            float64
		runs              int
		setup             func(s *simulation)
	}{
		"factor of 3":            {0, 3, 3, 500, nil},
		"factor of 2":            {0, 3, 2, 500, nil},
		"factor of 1.5":          {0, 3, 1.5, 1200, nil},
		"tasks of the same kind": {0, 0, 2, 500, nil},
		"slow workers":           {0, 3, 2, 500, func(s *simulation) { s.workers[0].speed, s.workers[4].speed, s.workers[7].speed = 0.2, 0.5, 0.3 }},
		"some runs hang":         {0, 3, 2, 500, func(s *simulation) { s.kinds[0].hangs = 0.03 }},
		"wide scatter and true estimates": {0, 3, 2, 500, func(s *simulation) {
			s.kinds[0].spread = 1.2
			s.kinds[0].estimate = func(s *simulation, work float64) time.Duration {
				return seconds(2 * work * math.Exp(0.2*s.random.NormFloat64()))
			}
		}},
		"wide scatter": {0, 3, 3, 1200, func(s *simulation) { s.kinds[0].spread = 1 }},
		"a third kind that arrives with the aggressor":    {0, 3, 2, 1200, func(s *simulation) { s.follow = map[int]int{3: 6} }},
		"an earlier kind that arrives with the aggressor": {0, 3, 2, 1200, func(s *simulation) { s.follow = map[int]int{3: 1} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				s := newSimulation(seed, 12)
				s.slowdown = interferes(test.victim, test.aggressor, test.factor)
				if test.setup != nil {
					test.setup(s)
				}
				for s.observed[test.victim] < test.runs {
					s.run(time.Second, 0.6)
				}
				pair := [2]Kind{s.kinds[test.victim].kind, s.kinds[test.aggressor].kind}
				require.Len(t, s.changes, 1, "seed %d", seed)
				found := s.found()
				require.Len(t, found, 1, "seed %d", seed)
				require.InEpsilon(t, test.factor, found[pair], 0.35, "seed %d", seed)
			}
		})
	}
}

// TestNoInterference guards against a verdict where tasks are slow for another reason than the presence of one kind.
func TestNoInterference(t *testing.T) {
	slowWorkers := func(s *simulation) {
		for i := range 6 {
			s.workers[3*i].speed = 0.2 + 0.05*float64(i)
		}
	}
	tests := map[string]struct {
		load  float64
		setup func(s *simulation)
	}{
		"nothing":      {0.6, func(*simulation) {}},
		"slow workers": {0.6, slowWorkers},
		"a kind that runs on slow workers only": {0.6, func(s *simulation) {
			slowWorkers(s)
			s.mayRun = func(_ *simulation, w *simulatedWorker, kind int) bool { return kind != 3 || w.speed < 1 }
		}},
		"workers that become slow": {0.6, func(s *simulation) {
			s.run(20*time.Second, 0.6)
			slowWorkers(s)
		}},
		"estimates that are wrong while another kind runs": {0.6, func(s *simulation) {
			often := func(s *simulation) bool { return int(s.now.Seconds())%8 < 4 }
			s.kinds[0].estimate = func(s *simulation, work float64) time.Duration {
				if often(s) {
					return seconds(work / 5)
				}
				return seconds(work)
			}
			s.mayRun = func(s *simulation, _ *simulatedWorker, kind int) bool { return kind != 3 || often(s) }
		}},
		"run times with a heavy tail": {0.6, func(s *simulation) { s.kinds[0].tail, s.kinds[3].tail, s.kinds[5].spread = 1.1, 0.8, 1.5 }},
		"busy workers": {0.9, func(s *simulation) {
			s.kinds[4].cores = 8
			s.slowdown = func(s *simulation, w *simulatedWorker, _ int) float64 { return 1 + 4*max(0, w.load(s.kinds)-0.6) }
		}},
		"a kind that runs on one worker only, which has a fault": {0.6, func(s *simulation) {
			s.slowdown = interferesOn(2, 0, 3, 4)
			s.mayRun = func(s *simulation, w *simulatedWorker, kind int) bool { return kind != 3 || w == s.workers[2] }
		}},
		"a kind that runs mostly on one worker, which has a fault": {0.6, func(s *simulation) {
			s.slowdown = interferesOn(2, 0, 3, 4)
			s.mayRun = func(s *simulation, w *simulatedWorker, kind int) bool {
				return kind != 3 || w == s.workers[2] || s.random.Float64() < 0.05
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				s := newSimulation(seed, 12)
				test.setup(s)
				s.run(time.Minute, test.load)
				require.Empty(t, s.changes, "seed %d", seed)
			}
		})
	}
}

// TestCauseEnds guards against a verdict that outlives its cause, also where the kinds are kept apart and give no new evidence.
func TestCauseEnds(t *testing.T) {
	tests := map[string]struct {
		apart float64
		limit time.Duration
	}{"not kept apart": {0, 4 * time.Minute}, "kept apart": {1, 6*halfLife + time.Minute}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 6)
			s.slowdown = interferes(0, 3, 2)
			s.run(40*time.Second, 0.6)
			require.Len(t, s.found(), 1)
			s.slowdown, s.apart = func(*simulation, *simulatedWorker, int) float64 { return 1 }, test.apart
			for end := s.now + test.limit; s.now < end && len(s.found()) > 0; {
				s.run(10*time.Second, 0.6)
			}
			require.Empty(t, s.found())
			require.Zero(t, s.detector.Verdicts())
			require.Len(t, s.changes, 2)
			require.False(t, s.changes[1].Found)
		})
	}
}

// TestHysteresis guards against a verdict that is found and dropped again and again where the factor is near the threshold.
func TestHysteresis(t *testing.T) {
	for seed := range uint64(testSeeds) {
		s := newSimulation(seed, 6)
		s.slowdown = interferes(0, 3, foundFactor)
		s.run(4*time.Minute, 0.6)
		require.LessOrEqual(t, len(s.changes), 1, "seed %d", seed)
	}
}

// TestSeparatedKinds guards against dropping a true verdict too early where the kinds are kept apart, which would bring them together again.
func TestSeparatedKinds(t *testing.T) {
	s := newSimulation(1, 6)
	s.slowdown = interferes(0, 3, 2)
	s.run(40*time.Second, 0.6)
	s.apart = 1
	s.run(5*time.Minute, 0.6)
	require.Len(t, s.found(), 1)
	require.Len(t, s.changes, 1)
}
