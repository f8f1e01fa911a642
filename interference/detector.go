package interference

import (
	"math"
	"time"
)

const (
	// MaxWorkers is the number of workers whose speed a Detector knows at a time. The least recently used one is replaced.
	MaxWorkers = 1024
	// MaxPairs is the largest number of ordered pairs of kinds with evidence.
	MaxPairs = MaxKinds * MaxKinds
	// loadClasses is the number of classes of the load of a worker, which have baselines of their own.
	loadClasses = 6
	// baselineMemory is the number of runs that a baseline reaches back. It is short, so that a change of all run times is not taken for
	// an effect of the kinds that happen to run more often since.
	baselineMemory = 64
	// speedMemory is the number of runs that the speed of a worker reaches back.
	speedMemory = 12
	// minBaselineRuns is the number of earlier runs at the same load from which a run is evidence.
	minBaselineRuns = 5
	// minDeviationLimit is the smallest limit of deviations, so that the first runs of a new effect count.
	minDeviationLimit = 0.5
	// maxDeviation limits the deviation that changes a baseline or the speed of a worker, so that a run that hung for long does not distort
	// it: a factor of 7.4.
	maxDeviation = 2
	// evaluationInterval is the time between two evaluations of the evidence of one victim.
	evaluationInterval = 500 * time.Millisecond
)

// loadClassBounds are the loads between the classes, as shares of the worker's processors. They are closer where a small difference matters more.
var loadClassBounds = [loadClasses - 1]float64{0.4, 0.6, 0.75, 0.87, 0.96}

func loadClass(load float64) (class int) {
	for class < len(loadClassBounds) && load >= loadClassBounds[class] {
		class++
	}
	return class
}

// Presence is the share of a run's time for which tasks of another kind ran beside it.
type Presence struct {
	Kind  KindID
	Share float64 // 0 to 1
}

// Observation is one ended run, or the response time of a task that serves requests.
type Observation struct {
	Kind     KindID
	Worker   string        // instance of the worker, which keeps its speed across restarts
	Time     time.Duration // run time or response time
	Estimate time.Duration // the caller's, 0 without one
	Load     float64       // mean share of the worker's processors that other runs have reserved
	Beside   []Presence    // kinds that were present, each once; tasks of the same kind count without the run itself
	// Response tells that Time is a response time. It depends on the requests more than on the worker's speed.
	Response bool
}

// Change is a verdict that was found or dropped.
type Change struct {
	Victim, Aggressor Kind
	Found             bool
	Factor            float64 // on the victim's run time while a task of the aggressor is present
	Samples           int     // weighted number of the victim's runs beside the aggressor
}

// Detector collects evidence and keeps the verdicts.
type Detector struct {
	ids       map[Kind]KindID
	kinds     [MaxKinds]*kindState
	uses      uint64
	workers   map[string]*workerSpeed
	newGroup  int
	changes   []Change
	verdicts  int
	observed  int
	shares    [MaxKinds]float64 // scratch of Observe
	deviation [MaxKinds]float64 // scratch of Observe
}

// workerSpeed is the speed of one worker, learned from the runs of all kinds on it.
type workerSpeed struct {
	slowness mean // logarithm of the run time's ratio to the baseline
	group    int
	usedAt   uint64
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{ids: map[Kind]KindID{}, workers: map[string]*workerSpeed{}}
}

// Observe adds an observation.
func (d *Detector) Observe(o Observation, now time.Duration) {
	if o.Kind == NoKind || o.Time <= 0 {
		return
	}
	d.observed++
	victim, class := d.kinds[o.Kind], loadClass(o.Load)
	speed := d.speed(o.Worker)
	slowness := 0.0
	if !o.Response {
		slowness = float64(speed.slowness.value)
	}
	measured := math.Log(float64(o.Time)) - slowness
	chosen, value := &victim.measured, measured
	estimated := measured - math.Log(float64(max(o.Estimate, 1)))
	if o.Estimate > 0 && victim.better() == &victim.estimated {
		chosen, value = &victim.estimated, estimated
	}
	deviation, known := chosen.deviation(value, class)
	victim.decay(now)
	explained := d.addEvidence(victim, o.Beside, deviation, class, speed.group, known)
	if known && !o.Response {
		speed.slowness.add(slowness+clamp(value-float64(chosen.baseline[class].value)-explained, maxDeviation), speedMemory)
	}
	victim.measured.observe(measured, explained, class)
	if o.Estimate > 0 {
		victim.estimated.observe(estimated, explained, class)
	}
	if now >= victim.evaluatedAt+evaluationInterval {
		victim.evaluatedAt = now
		d.evaluate(o.Kind)
	}
}

// addEvidence adds the deviation of a run to the evidence against all kinds that are known beside its kind, whether they were present or not.
// It returns the part of the deviation that is explained by verdicts. What the verdicts on other kinds explain is no evidence against a kind.
func (d *Detector) addEvidence(victim *kindState, beside []Presence, deviation float64, class, group int, known bool) (explained float64) {
	for _, other := range beside {
		if other.Kind != NoKind && other.Share > 0 {
			victim.pair(other.Kind)
			d.shares[other.Kind] = min(1, other.Share)
		}
	}
	for _, id := range victim.known {
		p := victim.pairs[id]
		d.deviation[id] = d.shares[id] - float64(p.presence[class].value)
		p.presence[class].add(d.shares[id], baselineMemory)
		if p.found {
			explained += float64(p.effect) * d.deviation[id]
		}
	}
	for _, id := range victim.known {
		p, x, share := victim.pairs[id], d.deviation[id], d.shares[id]
		d.shares[id] = 0
		if !known {
			continue
		}
		y := deviation - explained
		if p.found {
			y += float64(p.effect) * x
		}
		p.groups[group].xx += float32(x * x)
		p.groups[group].xy += float32(x * y)
		p.beside += float32(share)
		p.apart += float32(1 - share)
		if p.beside > maxSamples {
			p.decay(maxSamples / p.beside)
		}
	}
	return explained
}

// evaluate updates the verdicts on the kinds beside a victim.
func (d *Detector) evaluate(id KindID) {
	victim := d.kinds[id]
	spread := victim.better().spread()
	for _, other := range victim.known {
		p := victim.pairs[other]
		effect, found := p.verdict(spread)
		switch {
		case found && !p.found:
			p.found, p.effect = true, float32(effect)
			d.verdicts++
			d.record(id, other, p)
		case found:
			p.effect = float32(effect)
		case p.found:
			d.drop(id, other, p)
		}
	}
}

// drop ends a verdict, if there is one.
func (d *Detector) drop(victim, aggressor KindID, p *pair) {
	if !p.found {
		return
	}
	p.found = false
	d.verdicts--
	d.record(victim, aggressor, p)
	p.effect = 0
}

// record records that a verdict has changed.
func (d *Detector) record(victim, aggressor KindID, p *pair) {
	d.changes = append(d.changes, Change{
		Victim: d.kinds[victim].kind, Aggressor: d.kinds[aggressor].kind, Found: p.found,
		Factor: math.Exp(float64(p.effect)), Samples: int(p.beside),
	})
	d.updateConflicts(victim)
	d.updateConflicts(aggressor)
}

// updateConflicts computes the conflicts of a kind anew.
func (d *Detector) updateConflicts(id KindID) {
	k := d.kinds[id]
	k.conflicts = nil
	for other, state := range d.kinds {
		if state == nil {
			continue
		}
		slowed, slows := k.pairs[other], state.pairs[id]
		if slowed != nil && slowed.found || slows != nil && slows.found {
			k.conflicts = append(k.conflicts, KindID(other))
		}
	}
}

// Conflicts returns the kinds from which a kind is to be kept apart. The result must not be changed.
func (d *Detector) Conflicts(id KindID) []KindID {
	if id == NoKind || d.kinds[id] == nil {
		return nil
	}
	return d.kinds[id].conflicts
}

// Verdicts returns the number of verdicts.
func (d *Detector) Verdicts() int { return d.verdicts }

// Advance ends verdicts whose evidence is too old. It is to be called every few seconds.
func (d *Detector) Advance(now time.Duration) {
	for id, k := range d.kinds {
		if k != nil {
			k.decay(now)
			d.evaluate(KindID(id))
		}
	}
}

// TakeChanges returns the verdicts that were found or dropped since the last call.
func (d *Detector) TakeChanges() (changes []Change) {
	changes, d.changes = d.changes, nil
	return changes
}

// Stats describes a Detector.
type Stats struct{ Kinds, Pairs, Workers, Verdicts, Observations int }

// Stats returns the numbers of what the detector holds, and of all observations.
func (d *Detector) Stats() Stats {
	stats := Stats{Kinds: len(d.ids), Workers: len(d.workers), Verdicts: d.verdicts, Observations: d.observed}
	for _, k := range d.kinds {
		if k != nil {
			stats.Pairs += len(k.known)
		}
	}
	return stats
}

// speed returns what is known of the speed of a worker.
func (d *Detector) speed(worker string) *workerSpeed {
	speed := d.workers[worker]
	if speed == nil {
		if len(d.workers) >= MaxWorkers {
			d.removeOldestWorker()
		}
		speed = &workerSpeed{group: d.newGroup}
		d.newGroup = (d.newGroup + 1) % workerGroups
		d.workers[worker] = speed
	}
	d.uses++
	speed.usedAt = d.uses
	return speed
}

func (d *Detector) removeOldestWorker() {
	oldest := ""
	for name, speed := range d.workers {
		if oldest == "" || speed.usedAt < d.workers[oldest].usedAt {
			oldest = name
		}
	}
	delete(d.workers, oldest)
}
