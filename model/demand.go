package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciatally/acaciatally"
)

// LoadConfig describes the demand of pools that burst in turn.
type LoadConfig struct {
	Pools  []acaciatally.PoolName
	Mean   []float64     // slots, one for each pool
	Period time.Duration // time in which each pool bursts once
	Burst  float64       // demand in a burst as a multiple of the mean
	Quiet  float64       // demand between bursts as a share of the mean
	Drift  float64       // growth of the period as a share of the elapsed time
	Noise  float64       // relative deviation of the demand
	Seed   uint64
}

// Load is a model of the demand; one goroutine uses it.
type Load struct {
	config LoadConfig
	random *rand.Rand
	phase  float64 // turns since the start
	last   time.Time
}

// NewLoad returns a load at the begin of its first turn.
func NewLoad(config LoadConfig) *Load {
	return &Load{config: config, random: rand.New(rand.NewPCG(config.Seed, 1))}
}

// share is the part of the period in which a pool bursts so that its mean is kept.
func (l *Load) share() float64 {
	return (1 - l.config.Quiet) / (l.config.Burst - l.config.Quiet)
}

// At returns the demand at a time; times must not go back.
func (l *Load) At(now time.Time) (demand []acaciatally.PoolDemand) {
	if l.last.IsZero() {
		l.last = now
	}
	step := now.Sub(l.last).Seconds() / l.config.Period.Seconds()
	l.phase += step / (1 + l.config.Drift*l.phase)
	l.last = now
	for i, pool := range l.config.Pools {
		_, turn := math.Modf(l.phase + 1 - float64(i)/float64(len(l.config.Pools)))
		factor := l.config.Quiet
		if turn < l.share() {
			factor = l.config.Burst
		}
		slots := l.config.Mean[i] * factor * (1 + l.config.Noise*l.random.NormFloat64())
		demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: max(0, slots)})
	}
	return demand
}
