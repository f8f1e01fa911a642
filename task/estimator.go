package task

import (
	"math"

	"github.com/acaciatally/acaciatally"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages; after about ten samples, earlier behaviour has little effect.
	sampleWeight = 0.2
	// estimateMargin covers the growth of a task's usage between two lagged reports.
	estimateMargin = 0.1
	// memoryDeviations is larger than processorDeviations, since a task that lacks memory is killed and one that lacks processors is only
	// slower.
	memoryDeviations    = 2.0
	processorDeviations = 1.0
	// fewSamplesFactor raises the estimate while there are few samples: by 50% after the first.
	fewSamplesFactor = 0.5
	// minUsageRatio keeps the estimate above zero for tasks that used almost nothing.
	minUsageRatio = 0.02
	maxUsageRatio = 50
)

type taskKind struct {
	team acaciatally.TeamName
	kind string
}

// movingAverage holds the moving mean and mean deviation of the ratio of usage to declared resources.
type movingAverage struct {
	samples   int
	mean      float64
	deviation float64
}

func (a *movingAverage) add(ratio float64) {
	a.samples++
	if a.samples == 1 {
		a.mean = ratio
		return
	}
	difference := ratio - a.mean
	a.mean += sampleWeight * difference
	a.deviation += sampleWeight * (math.Abs(difference) - a.deviation)
}

// upperBound returns the mean plus a multiple of the mean deviation, raised while there are few samples; without samples it is 1.
func (a *movingAverage) upperBound(deviations float64) float64 {
	if a.samples == 0 {
		return 1
	}
	upper := (a.mean + deviations*a.deviation) * (1 + fewSamplesFactor/float64(a.samples))
	return min(max(upper, minUsageRatio), maxUsageRatio)
}

type usageStats struct {
	processors movingAverage
	memory     movingAverage
	successes  int
}

// UsageEstimator keeps the ratio of usage to declared resources for each team and kind of task.
type UsageEstimator struct {
	stats map[taskKind]*usageStats
}

// NewUsageEstimator returns an estimator without samples, which estimates every task at its declared resources.
func NewUsageEstimator() *UsageEstimator {
	return &UsageEstimator{stats: map[taskKind]*usageStats{}}
}

func (e *UsageEstimator) statsFor(spec Spec) *usageStats {
	key := taskKind{team: spec.Team, kind: spec.Kind}
	stats, found := e.stats[key]
	if !found {
		stats = &usageStats{}
		e.stats[key] = stats
	}
	return stats
}

// Observe adds the usage of one attempt. Amounts of zero and the processor usage of a throttled attempt are ignored.
func (e *UsageEstimator) Observe(spec Spec, used acaciatally.Resources, throttled bool) {
	stats := e.statsFor(spec)
	if used.Memory > 0 {
		stats.memory.add(float64(used.Memory) / float64(spec.Declared.Memory))
	}
	if used.Processors > 0 && !throttled {
		stats.processors.add(used.Processors / spec.Declared.Processors)
	}
}

// HasSamples reports whether any usage of the team's tasks of that kind has been observed.
func (e *UsageEstimator) HasSamples(spec Spec) bool {
	stats, found := e.stats[taskKind{team: spec.Team, kind: spec.Kind}]
	return found && stats.memory.samples > 0
}

// Estimate returns the expected usage of a task, including estimateMargin. Accelerators are used exclusively and counted as declared.
func (e *UsageEstimator) Estimate(spec Spec) acaciatally.Resources {
	stats, found := e.stats[taskKind{team: spec.Team, kind: spec.Kind}]
	if !found || stats.memory.samples == 0 {
		return spec.Declared
	}
	return acaciatally.Resources{
		Processors:   spec.Declared.Processors * stats.processors.upperBound(processorDeviations) * (1 + estimateMargin),
		Memory:       int64(float64(spec.Declared.Memory) * stats.memory.upperBound(memoryDeviations) * (1 + estimateMargin)),
		Accelerators: spec.Declared.Accelerators,
	}
}
