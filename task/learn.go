package task

import (
	"math"

	"github.com/acaciatally/acaciatally"
)

const (
	// learnWeight is the weight of a new sample in the moving averages; about ten samples forget an old habit.
	learnWeight = 0.2
	// margin covers the growth of a task between two lagged reports.
	margin = 0.1
	// memoryDeviations is larger than processorDeviations, since a lack of memory kills and a lack of processors only delays.
	memoryDeviations    = 2.0
	processorDeviations = 1.0
	// fewSamples widens the estimate while there are few samples: by a half after the first.
	fewSamples = 0.5
	// minRatio keeps a task that used almost nothing from being taken as free.
	minRatio = 0.02
	maxRatio = 50
)

type kindKey struct {
	team acaciatally.TeamName
	kind string
}

// average is a moving mean and mean deviation of ratios of use to declaration.
type average struct {
	samples   int
	mean      float64
	deviation float64
}

func (a *average) add(ratio float64) {
	a.samples++
	if a.samples == 1 {
		a.mean = ratio
		return
	}
	off := ratio - a.mean
	a.mean += learnWeight * off
	a.deviation += learnWeight * (math.Abs(off) - a.deviation)
}

func (a *average) upper(deviations float64) float64 {
	if a.samples == 0 {
		return 1
	}
	upper := (a.mean + deviations*a.deviation) * (1 + fewSamples/float64(a.samples))
	return min(max(upper, minRatio), maxRatio)
}

type habit struct {
	processors average
	memory     average
	successes  int
}

// Learner keeps the ratio of use to declaration per team and kind.
type Learner struct {
	habits map[kindKey]*habit
}

// NewLearner returns a learner that believes every declaration.
func NewLearner() *Learner {
	return &Learner{habits: map[kindKey]*habit{}}
}

func (l *Learner) habit(spec Spec) *habit {
	key := kindKey{team: spec.Team, kind: spec.Kind}
	known, found := l.habits[key]
	if !found {
		known = &habit{}
		l.habits[key] = known
	}
	return known
}

// Observe adds the use of one attempt; processors are left out for an attempt that was throttled.
func (l *Learner) Observe(spec Spec, used acaciatally.Resources, throttled bool) {
	known := l.habit(spec)
	if used.Memory > 0 {
		known.memory.add(float64(used.Memory) / float64(spec.Declared.Memory))
	}
	if used.Processors > 0 && !throttled {
		known.processors.add(used.Processors / spec.Declared.Processors)
	}
}

// Known reports whether any use of the team's tasks of that kind has been observed.
func (l *Learner) Known(spec Spec) bool {
	known, found := l.habits[kindKey{team: spec.Team, kind: spec.Kind}]
	return found && known.memory.samples > 0
}

// Estimate returns what a task is expected to use, with the margin; accelerators are exclusive and taken as declared.
func (l *Learner) Estimate(spec Spec) acaciatally.Resources {
	known, found := l.habits[kindKey{team: spec.Team, kind: spec.Kind}]
	if !found || known.memory.samples == 0 {
		return spec.Declared
	}
	return acaciatally.Resources{
		Processors:   spec.Declared.Processors * known.processors.upper(processorDeviations) * (1 + margin),
		Memory:       int64(float64(spec.Declared.Memory) * known.memory.upper(memoryDeviations) * (1 + margin)),
		Accelerators: spec.Declared.Accelerators,
	}
}
