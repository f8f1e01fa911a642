package experiment

import (
	"context"
	"errors"
	"time"

	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/wave"
)

// RollOut measures the time of a maintenance wave over all pools.
type RollOut struct{}

// String returns the experiment's name.
func (RollOut) String() string { return "RollOut" }

const rollOutLimit = 6 * time.Hour

// Run measures the wave, the bound on its earliest end, and two baselines for each deployment.
func (r RollOut) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range model.Deployments() {
		span, bound, err := r.wave(ctx, deployment, seed)
		if err != nil {
			return nil, err
		}
		for _, one := range []struct {
			policy string
			span   time.Duration
		}{
			{policyName, span},
			{"EarliestEnd", bound},
			{"BaselineOneAtATime", oneAtATime(deployment, seed)},
			{"BaselineFixedBatch", fixedBatch(deployment, seed)},
		} {
			figures = append(figures, Figure{
				Measure: "RollOut", Deployment: deployment.Deployment, Policy: one.policy, Value: one.span.Seconds(), Unit: "s", Seed: seed,
			})
		}
	}
	return figures, nil
}

func (RollOut) wave(ctx context.Context, deployment *settings.Settings, seed uint64) (span, bound time.Duration, err error) {
	c, err := newControlled(ctx, deployment, seed)
	if err != nil {
		return 0, 0, err
	}
	started := c.clock.Now()
	all := fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: started}
	if err = c.commit(ctx, "start", fleet.Change{PutWave: &all}); err != nil {
		return 0, 0, err
	}
	bound = wave.EarliestEnd(c.log.State(), all, rebootTime)
	for c.log.State().Waves[all.ID].State != fleet.WaveDone {
		if span = c.clock.Now().Sub(started); span > rollOutLimit {
			return 0, 0, errors.New("the wave does not end")
		}
		if err = c.round(ctx); err != nil {
			return 0, 0, err
		}
	}
	return c.clock.Now().Sub(started), bound, nil
}

// cycle is the time that one instance is out under a baseline: it acts at once, without waiting for a round.
func cycle(machines *model.Machines) time.Duration {
	return machines.DrainTime() + machines.RebootTime()
}

func oneAtATime(deployment *settings.Settings, seed uint64) (span time.Duration) {
	machines := machinesOf(model.NewClock(), seed)
	for _, pool := range deployment.Pools {
		for range pool.Instances {
			span += cycle(machines)
		}
	}
	return span
}

// fixedBatch takes as many instances of each pool at once as its budget and its data centres allow and waits for the slowest.
func fixedBatch(deployment *settings.Settings, seed uint64) (span time.Duration) {
	machines := machinesOf(model.NewClock(), seed)
	left := make([]int, len(deployment.Pools))
	for i, pool := range deployment.Pools {
		left[i] = len(pool.Instances)
	}
	for busy := true; busy; {
		slowest := time.Duration(0)
		for i, pool := range deployment.Pools {
			batch := min(left[i], pool.MaxUnavailable, len(deployment.DataCentres))
			left[i] -= batch
			for range batch {
				slowest = max(slowest, cycle(machines))
			}
		}
		span += slowest
		busy = slowest > 0
	}
	return span
}
