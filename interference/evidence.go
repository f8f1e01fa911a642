package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// workerGroups is the number of groups into which workers are divided. The scatter between the groups shows whether a difference is one of a
	// few workers only.
	workerGroups = 8
	// halfLife is the time after which an observation counts half as much. Tasks that are kept apart give no new evidence, so this is also what
	// ends a verdict whose cause is gone: after at most 6 half-lives, in which maxSamples become droppedSamples.
	halfLife = 2 * time.Minute
	// decayInterval is the minimum time between two reductions of the weights of one victim's evidence, which cost more than an observation.
	decayInterval = time.Second
	// maxSamples limits the weighted number of runs beside the other kind, beyond which older ones count less.
	maxSamples = 320
	// droppedSamples is the weighted number of runs beside the other kind below which a verdict is dropped.
	droppedSamples = 5
	// foundFactor is the factor on the run time from which a pair is worth keeping apart.
	foundFactor = 1.25
	// droppedFactor is the factor below which a verdict is dropped.
	droppedFactor = 1.12
	// foundErrors is how many standard errors the effect must exceed 0 to be found. With 9,216 pairs that are tested again and again, a
	// bound of 3 would be exceeded by chance.
	foundErrors = 5
	// droppedErrors is the number of standard errors below which a verdict is dropped.
	droppedErrors = 2
	// minSamples is the number of runs, weighted by their shares of time and by age, that are needed both with and without the other kind.
	minSamples = 10
	// minGroups is the effective number of groups of workers from which evidence is needed.
	minGroups = 3
)

// mean is a moving mean; its first samples have equal weight.
type mean struct{ value, samples float32 }

// add adds a sample, whose weight is at least 1/memory.
func (m *mean) add(sample, memory float64) {
	m.samples = float32(min(float64(m.samples)+1, memory))
	m.value += (float32(sample) - m.value) / m.samples
}

// sums are sums of a regression through the origin.
type sums struct{ xx, xy float32 }

// pair is the evidence that one kind slows down another.
type pair struct {
	presence [loadClasses]mean // share of time for which the other kind is present
	groups   [workerGroups]sums
	beside   float32 // weighted number of runs with the other kind
	apart    float32 // weighted number of runs without it
	effect   float32 // logarithm of the factor, while there is a verdict
	found    bool
}

// decay multiplies the weight of all observations.
func (p *pair) decay(factor float32) {
	for g := range p.groups {
		p.groups[g].xx *= factor
		p.groups[g].xy *= factor
	}
	p.beside *= factor
	p.apart *= factor
}

// weight returns the sum of squares of the presence.
func (p *pair) weight() (weight float64) {
	for g := range p.groups {
		weight += float64(p.groups[g].xx)
	}
	return weight
}

// estimate returns the estimated effect, which is the logarithm of the factor, and its standard error; spread is the standard deviation of
// the logarithm of the victim's run time. The standard error is the larger one of those that follow from spread and from the scatter between
// the groups of workers. The effective number of groups is 1 if all evidence is from one of them.
func (p *pair) estimate(spread float64) (effect, standardError, groups float64) {
	xx, xy, squares := 0.0, 0.0, 0.0
	for _, g := range p.groups {
		xx += float64(g.xx)
		xy += float64(g.xy)
		squares += float64(g.xx) * float64(g.xx)
	}
	if xx <= 0 {
		return 0, math.Inf(1), 0
	}
	effect = xy / xx
	scatter := 0.0
	for _, g := range p.groups {
		difference := float64(g.xy) - effect*float64(g.xx)
		scatter += difference * difference
	}
	return effect, max(spread/math.Sqrt(xx), math.Sqrt(scatter)/xx), xx * xx / squares
}

// verdict returns the estimated effect and whether there is a verdict now; without one before, the evidence has to be stronger.
func (p *pair) verdict(spread float64) (effect float64, found bool) {
	effect, standardError, groups := p.estimate(spread)
	if p.found {
		return effect, p.beside >= droppedSamples && effect >= math.Log(droppedFactor) && effect >= droppedErrors*standardError
	}
	enough := p.beside >= minSamples && p.apart >= minSamples && groups >= minGroups
	return effect, enough && effect >= math.Log(foundFactor) && effect >= foundErrors*standardError
}

// kindState is what is known of one kind: as a victim, its usual run times and the evidence against other kinds.
type kindState struct {
	kind        Kind
	references  int
	usedAt      uint64    // number of the last use
	measured    predictor // of the run time
	estimated   predictor // of the ratio of the run time to the caller's estimate
	pairs       [MaxKinds]*pair
	known       []KindID // of pairs, ascending
	conflicts   []KindID // kinds from which it is to be kept apart, since one of both slows the other down
	decayedAt   time.Duration
	evaluatedAt time.Duration
}

func newKindState(kind Kind) *kindState {
	return &kindState{kind: kind, measured: newPredictor(), estimated: newPredictor()}
}

// pair returns the evidence against another kind, new without earlier evidence.
func (k *kindState) pair(other KindID) *pair {
	p := k.pairs[other]
	if p == nil {
		p = &pair{}
		for class := range p.presence {
			p.presence[class].samples = k.measured.baseline[class].samples // it was absent then
		}
		k.pairs[other] = p
		at, _ := slices.BinarySearch(k.known, other)
		k.known = slices.Insert(k.known, at, other)
	}
	return p
}

func (k *kindState) removePair(other KindID) {
	k.pairs[other] = nil
	if at, found := slices.BinarySearch(k.known, other); found {
		k.known = slices.Delete(k.known, at, at+1)
	}
}

// decay reduces the weight of earlier observations to that of the given time.
func (k *kindState) decay(now time.Duration) {
	if now < k.decayedAt+decayInterval {
		return
	}
	factor := float32(math.Exp2(-float64(now-k.decayedAt) / float64(halfLife)))
	k.decayedAt = now
	for _, id := range k.known {
		k.pairs[id].decay(factor)
	}
}

// predictor predicts a logarithm of run times at a load of the worker.
type predictor struct {
	baseline [loadClasses]mean
	variance mean // of the deviations
}

// initialVariance is the variance that is assumed before the first deviations.
const initialVariance = 1

func newPredictor() predictor { return predictor{variance: mean{value: initialVariance, samples: 1}} }

// better returns the predictor with the smaller deviations. The one by estimates is used only where there are some.
func (k *kindState) better() *predictor {
	if k.estimated.variance.samples > 1 && k.estimated.variance.value < k.measured.variance.value {
		return &k.estimated
	}
	return &k.measured
}

// deviation returns the deviation of a value from the prediction, limited to three standard deviations, and whether enough is known.
func (p *predictor) deviation(value float64, class int) (deviation float64, known bool) {
	limit := max(minDeviationLimit, 3*p.spread())
	return clamp(value-float64(p.baseline[class].value), limit), p.baseline[class].samples >= minBaselineRuns
}

// observe adds a value; explained is the part of its deviation that has a known cause.
func (p *predictor) observe(value, explained float64, class int) {
	if p.baseline[class].samples > 0 {
		deviation, _ := p.deviation(value, class)
		p.variance.add(deviation*deviation, baselineMemory)
	}
	corrected := value - explained
	if p.baseline[class].samples >= minBaselineRuns {
		corrected = float64(p.baseline[class].value) + clamp(corrected-float64(p.baseline[class].value), maxDeviation)
	}
	p.baseline[class].add(corrected, baselineMemory)
}

// spread returns the standard deviation.
func (p *predictor) spread() float64 { return math.Sqrt(float64(p.variance.value)) }

// clamp limits the magnitude of a value.
func clamp(value, limit float64) float64 { return max(-limit, min(limit, value)) }
