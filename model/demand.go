package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciatally/acaciatally"
)

// LoadConfig configures a Load, in which the pools have their bursts one after another.
type LoadConfig struct {
	Pools         []acaciatally.PoolName
	Mean          []float64     // mean demand of each pool, in slots
	Period        time.Duration // cycle in which each pool has one burst
	Burst         float64       // demand during a burst as a multiple of the mean
	OffPeakFactor float64       // demand between bursts as a fraction of the mean
	PeriodGrowth  float64       // linear growth of the period per cycle, as a fraction of Period
	Noise         float64       // relative standard deviation of the demand
	Seed          uint64
}

// Load models the demand of pools over time; it is not safe for concurrent use.
type Load struct {
	config LoadConfig
	random *rand.Rand
	phase  float64 // cycles since the start
	last   time.Time
}

// NewLoad returns a load at the start of its first cycle.
func NewLoad(config LoadConfig) *Load {
	return &Load{config: config, random: rand.New(rand.NewPCG(config.Seed, 1))}
}

// burstFraction returns the fraction of the period for which a pool bursts; it is chosen so that the mean demand is Mean.
func (l *Load) burstFraction() float64 {
	return (1 - l.config.OffPeakFactor) / (l.config.Burst - l.config.OffPeakFactor)
}

// At returns the demand at a time; successive calls must not go back in time.
func (l *Load) At(now time.Time) (demand []acaciatally.PoolDemand) {
	if l.last.IsZero() {
		l.last = now
	}
	step := now.Sub(l.last).Seconds() / l.config.Period.Seconds()
	l.phase += step / (1 + l.config.PeriodGrowth*l.phase)
	l.last = now
	for i, pool := range l.config.Pools {
		_, position := math.Modf(l.phase + 1 - float64(i)/float64(len(l.config.Pools)))
		factor := l.config.OffPeakFactor
		if position < l.burstFraction() {
			factor = l.config.Burst
		}
		slots := l.config.Mean[i] * factor * (1 + l.config.Noise*l.random.NormFloat64())
		demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: max(0, slots)})
	}
	return demand
}
