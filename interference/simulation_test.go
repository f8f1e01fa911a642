package interference

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	simulationStep = 20 * time.Millisecond
	testCapacity   = 16.0 // cores of a worker
)

// simulation runs tasks of several kinds on workers and observes the ended ones. Tasks arrive at random, more of them at some times than at others.
type simulation struct {
	detector *Detector
	random   *rand.Rand
	now      time.Duration
	workers  []*simulatedWorker
	kinds    []simulatedKind
	// slowdown returns the factor on the run time of a kind on a worker.
	slowdown func(s *simulation, w *simulatedWorker, kind int) float64
	// follow maps a kind to one whose tasks arrive with it, each time.
	follow map[int]int
	// mayRun returns whether a kind may run on a worker now; nil allows all.
	mayRun func(s *simulation, w *simulatedWorker, kind int) bool
	// apart is the share of the arrivals that are not placed beside a kind with a verdict.
	apart    float64
	observed map[int]int // observations by kind
	changes  []Change
}

type simulatedKind struct {
	kind     Kind
	cores    float64
	mean     time.Duration
	spread   float64 // standard deviation of the logarithm of the run time
	hangs    float64 // share of the runs that take 30 times as long
	tail     float64 // if above 0, run times have a Pareto distribution with this exponent
	estimate func(s *simulation, work float64) time.Duration
}

type simulatedWorker struct {
	name  string
	speed float64
	runs  []*simulatedRun
}

type simulatedRun struct {
	kind     int
	work     float64 // left, in seconds
	estimate time.Duration
	started  time.Duration
	presence map[int]float64
	load     float64
}

// newSimulation returns a simulation of 20 workers and of kinds whose tasks reserve 1 to 3 cores and run for 0.3 to 1.3 s.
func newSimulation(seed uint64, kinds int) *simulation {
	s := &simulation{detector: NewDetector(), random: rand.New(rand.NewPCG(seed, 2)), observed: map[int]int{}}
	for i := range 20 {
		s.workers = append(s.workers, &simulatedWorker{name: "m-" + strconv.Itoa(i), speed: 1})
	}
	for i := range kinds {
		s.kinds = append(s.kinds, simulatedKind{
			kind: Kind{Queue: acaciatally.QueueName("q-" + strconv.Itoa(i))}, cores: 1 + float64(i%3), mean: time.Duration(300+100*(i%11)) * time.Millisecond, spread: 0.4,
		})
	}
	s.slowdown = func(*simulation, *simulatedWorker, int) float64 { return 1 }
	return s
}

func (w *simulatedWorker) count(kind int) (count int) {
	for _, run := range w.runs {
		if run.kind == kind {
			count++
		}
	}
	return count
}

func (w *simulatedWorker) load(kinds []simulatedKind) (load float64) {
	for _, run := range w.runs {
		load += kinds[run.kind].cores
	}
	return load / testCapacity
}

// run simulates a time, in which arrivals of the given load come.
func (s *simulation) run(duration time.Duration, load float64) {
	end := s.now + duration
	meanWork := 0.0
	for _, k := range s.kinds {
		meanWork += k.cores * k.mean.Seconds() / float64(len(s.kinds))
	}
	rate := load * testCapacity / meanWork * simulationStep.Seconds() // arrivals per worker and step
	for ; s.now < end; s.now += simulationStep {
		burst := 1 + 0.6*math.Sin(s.now.Seconds()) // the load changes over time
		for _, w := range s.workers {
			for n := s.random.Float64(); n < rate*burst; n++ {
				number := s.random.IntN(len(s.kinds))
				s.arrive(w, number)
				if other, follows := s.follow[number]; follows {
					s.arrive(w, other)
				}
			}
			s.step(w)
		}
		if s.now%time.Second == 0 {
			s.detector.Advance(s.now)
		}
		s.changes = append(s.changes, s.detector.TakeChanges()...)
	}
}

// arrive starts a run of the kind on the worker, if there is room.
func (s *simulation) arrive(w *simulatedWorker, number int) {
	kind := s.kinds[number]
	if w.load(s.kinds)+kind.cores/testCapacity > 1 || s.mayRun != nil && !s.mayRun(s, w, number) {
		return
	}
	if s.random.Float64() < s.apart {
		for _, other := range s.detector.Conflicts(s.detector.Find(kind.kind)) {
			for i := range s.kinds {
				if s.kinds[i].kind == s.detector.kinds[other].kind && w.count(i) > 0 {
					return
				}
			}
		}
	}
	work := kind.mean.Seconds() * math.Exp(kind.spread*s.random.NormFloat64())
	if kind.tail > 0 {
		work = kind.mean.Seconds() * math.Pow(1-s.random.Float64(), -1/kind.tail)
	}
	if s.random.Float64() < kind.hangs {
		work *= 30
	}
	run := &simulatedRun{kind: number, work: work, started: s.now, presence: map[int]float64{}}
	if kind.estimate != nil {
		run.estimate = kind.estimate(s, work)
	}
	w.runs = append(w.runs, run)
}

// step advances the runs of a worker by one step.
func (s *simulation) step(w *simulatedWorker) {
	counts := map[int]int{}
	for _, run := range w.runs {
		counts[run.kind]++
	}
	load := w.load(s.kinds)
	var left []*simulatedRun
	for _, run := range w.runs {
		for kind, count := range counts {
			if kind != run.kind || count > 1 {
				run.presence[kind] += simulationStep.Seconds()
			}
		}
		run.load += (load - s.kinds[run.kind].cores/testCapacity) * simulationStep.Seconds()
		run.work -= simulationStep.Seconds() * w.speed / s.slowdown(s, w, run.kind)
		if run.work > 0 {
			left = append(left, run)
		}
	}
	ended := w.runs
	w.runs = left
	for _, run := range ended {
		if run.work <= 0 {
			s.observe(w, run)
		}
	}
}

func (s *simulation) observe(w *simulatedWorker, run *simulatedRun) {
	runTime := s.now + simulationStep - run.started
	id := s.detector.Acquire(s.kinds[run.kind].kind)
	o := Observation{Kind: id, Worker: w.name, Time: runTime, Estimate: run.estimate, Load: run.load / runTime.Seconds()}
	var acquired []KindID
	for kind, seconds := range run.presence {
		other := s.detector.Acquire(s.kinds[kind].kind)
		acquired = append(acquired, other)
		o.Beside = append(o.Beside, Presence{other, seconds / runTime.Seconds()})
	}
	s.detector.Observe(o, s.now)
	s.observed[run.kind]++
	s.detector.Release(id)
	for _, other := range acquired {
		s.detector.Release(other)
	}
}

// interferes returns a slowdown of one kind by the presence of another one.
func interferes(victim, aggressor int, factor float64) func(*simulation, *simulatedWorker, int) float64 {
	return func(_ *simulation, w *simulatedWorker, kind int) float64 {
		present := w.count(aggressor)
		if kind == victim && (present > 1 || present == 1 && victim != aggressor) {
			return factor
		}
		return 1
	}
}

// interferesOn is like interferes on one worker, and no slowdown on the others.
func interferesOn(worker, victim, aggressor int, factor float64) func(*simulation, *simulatedWorker, int) float64 {
	everywhere := interferes(victim, aggressor, factor)
	return func(s *simulation, w *simulatedWorker, kind int) float64 {
		if w != s.workers[worker] {
			return 1
		}
		return everywhere(s, w, kind)
	}
}

// found returns the pairs with a verdict at the end.
func (s *simulation) found() map[[2]Kind]float64 {
	verdicts := map[[2]Kind]float64{}
	for id, k := range s.detector.kinds {
		if k == nil {
			continue
		}
		for _, other := range k.known {
			if p := s.detector.kinds[id].pairs[other]; p.found {
				verdicts[[2]Kind{k.kind, s.detector.kinds[other].kind}] = math.Exp(float64(p.effect))
			}
		}
	}
	return verdicts
}
