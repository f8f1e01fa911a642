package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
	"unsafe"

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
	s.slowdown, s.apart = interferes(0, 3, 2), 0.95
	s.run(5*time.Minute, 0.6)
	require.Len(t, s.found(), 1)
	require.Len(t, s.changes, 1)
}

// TestMinimumEvidence guards against a verdict from a few runs, or from runs beside the other kind on a single worker, however clear they look. Each
// worker also runs tasks of a third kind, which show that the worker as such is not slow.
func TestMinimumEvidence(t *testing.T) {
	tests := map[string]struct {
		runs, workers int // beside the aggressor, and the workers on which they are
		slowOn        int // workers on which the aggressor slows the victim down
		found         bool
	}{
		"a few runs":                   {8, 8, 8, false},
		"enough runs":                  {60, 8, 8, true},
		"one worker":                   {60, 1, 1, false},
		"slow on two of eight workers": {240, 8, 2, false},
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

// TestRecord guards against a next leader that does not know the verdicts, or keeps old ones for longer than their leader would have.
func TestRecord(t *testing.T) {
	s := newSimulation(1, 6)
	s.slowdown = interferes(0, 3, 2)
	s.run(40*time.Second, 0.6)
	stored, err := DecodeRecord(s.detector.Record(time.Minute).Encode())
	require.NoError(t, err)
	require.Len(t, stored.Verdicts, 1)

	next := NewDetector()
	next.Merge(stored, time.Second, 0)
	changes := next.TakeChanges()
	require.Len(t, changes, 1)
	require.InEpsilon(t, stored.Verdicts[0].Factor, changes[0].Factor, 0.01)
	require.Equal(t, []KindID{next.Find(queueKind(3))}, next.Conflicts(next.Find(queueKind(0))))
	require.Equal(t, []KindID{next.Find(queueKind(0))}, next.Conflicts(next.Find(queueKind(3))))
	require.False(t, next.Record(0).Differs(stored))

	old := NewDetector()
	old.Merge(stored, 15*time.Minute, 0)
	require.Zero(t, old.Verdicts())

	// A chain of leaders, each of which leads for a minute and gets no evidence.
	chain := stored
	for term := range 15 {
		leader := NewDetector()
		leader.Merge(chain, time.Minute, 0)
		if leader.Verdicts() == 0 {
			require.GreaterOrEqual(t, term, 3)
			return
		}
		chain = leader.Record(0)
	}
	require.Fail(t, "the verdict outlives its evidence")
}

// TestMergeWithEvidence guards against verdicts of the record that displace what this leader has found meanwhile, or that stay when its own evidence
// contradicts them.
func TestMergeWithEvidence(t *testing.T) {
	first := newSimulation(1, 6)
	first.slowdown = interferes(0, 3, 2)
	first.run(40*time.Second, 0.6)
	second := newSimulation(2, 6)
	second.slowdown = interferes(1, 4, 2)
	second.run(40*time.Second, 0.6)
	second.detector.Merge(first.detector.Record(0), 0, second.now)
	require.Len(t, second.found(), 2)
	second.run(4*time.Minute, 0.6)
	require.Contains(t, second.found(), [2]Kind{queueKind(1), queueKind(4)})
	require.Len(t, second.found(), 1)
}

// TestRecordSize guards against a record that grows with the number of verdicts and the length of images.
func TestRecordSize(t *testing.T) {
	var record Record
	for i := range 300 {
		record.Verdicts = append(record.Verdicts, Verdict{
			Victim: Kind{Image: fmt.Sprint(i)}, Aggressor: Kind{Image: strings.Repeat("x", 200)}, Factor: 2, Weight: 20, Variance: 0.2, Samples: 20,
		})
	}
	content := record.Encode()
	require.LessOrEqual(t, len(content), MaxRecordBytes)
	decoded, err := DecodeRecord(content)
	require.NoError(t, err)
	require.Greater(t, len(decoded.Verdicts), 5)
	require.Equal(t, record.Verdicts[0], decoded.Verdicts[0])
}

// TestRecordChange guards against a write for each small change of the evidence, and against a record that is never brought up to date.
func TestRecordChange(t *testing.T) {
	verdict := Verdict{Victim: queueKind(0), Aggressor: queueKind(1), Factor: 2, Weight: 20, Variance: 0.2, Samples: 20}
	with := func(change func(v *Verdict)) Record {
		changed := verdict
		change(&changed)
		return Record{Verdicts: []Verdict{changed}}
	}
	stored := with(func(*Verdict) {})
	require.False(t, with(func(v *Verdict) { v.Factor, v.Weight, v.Samples = 2.2, 30, 30 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Factor = 2.6 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Weight = 9 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Victim = queueKind(2) }).Differs(stored))
	require.True(t, Record{}.Differs(stored))
	require.False(t, Record{}.Differs(Record{At: time.Second}))
}

// TestDamagedRecord guards against a record that is damaged or from a faulty leader and makes the next one fail or keep tasks apart for nothing.
func TestDamagedRecord(t *testing.T) {
	valid := string(Record{Verdicts: []Verdict{{
		Victim: queueKind(0), Aggressor: queueKind(1), Factor: 2, Weight: 20, Variance: 0.2, Samples: 20,
	}}}.Encode())
	_, err := DecodeRecord([]byte(valid))
	require.NoError(t, err)
	for _, content := range []string{
		"", "null and void", valid[:len(valid)-2], strings.Replace(valid, `"Factor":2`, `"Factor":1e300`, 1),
		strings.Replace(valid, `"Factor":2`, `"Factor":-1`, 1), strings.Replace(valid, `"Variance":0.2`, `"Variance":0`, 1),
		strings.Replace(valid, `"Weight":20`, `"Weight":0`, 1), strings.Replace(valid, `{"Queue":"q-0"}`, `{}`, 1),
	} {
		record, err := DecodeRecord([]byte(content))
		require.Error(t, err, content)
		require.Empty(t, record.Verdicts)
	}
}

// TestParseMode guards against a misspelt mode that is taken for another one.
func TestParseMode(t *testing.T) {
	for _, mode := range []Mode{ModeOff, ModeObserve, ModeAvoid} {
		parsed, err := ParseMode(string(mode))
		require.NoError(t, err)
		require.Equal(t, mode, parsed)
	}
	for _, name := range []string{"", "on", "Avoid"} {
		_, err := ParseMode(name)
		require.Error(t, err)
	}
}
