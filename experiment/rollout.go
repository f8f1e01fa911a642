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

// RollOut measures the duration of a maintenance wave over all pools.
type RollOut struct{}

// String returns the experiment's name.
func (RollOut) String() string { return "RollOut" }

const rollOutLimit = 6 * time.Hour

// Run measures the wave, the lower bound on its duration, and two baselines on each deployment.
func (r RollOut) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range model.Deployments() {
		duration, bound, err := r.runWave(ctx, deployment, seed)
		if err != nil {
			return nil, err
		}
		for _, row := range []struct {
			policy   string
			duration time.Duration
		}{
			{policyName, duration},
			{"EarliestEnd", bound},
			{"BaselineOneAtATime", oneAtATime(deployment, seed)},
			{"BaselineFixedBatch", fixedBatch(deployment, seed)},
		} {
			figures = append(figures, Figure{
				Measure: "RollOut", Deployment: deployment.Deployment, Policy: row.policy, Value: row.duration.Seconds(), Unit: "s", Seed: seed,
			})
		}
	}
	return figures, nil
}

func (RollOut) runWave(ctx context.Context, deployment *settings.Settings, seed uint64) (duration, bound time.Duration, err error) {
	c, err := newControlledFleet(ctx, deployment, seed)
	if err != nil {
		return 0, 0, err
	}
	started := c.clock.Now()
	fleetWave := fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: started}
	if err = c.commit(ctx, "start", fleet.Change{PutWave: &fleetWave}); err != nil {
		return 0, 0, err
	}
	bound = wave.New(wave.Config{MaintainInSparePool: deployment.Weights.RollOut >= deployment.Weights.Moves}).MinDuration(c.log.State(), fleetWave, rebootTime)
	for c.log.State().Waves[fleetWave.ID].State != fleet.WaveDone {
		if duration = c.clock.Now().Sub(started); duration > rollOutLimit {
			return 0, 0, errors.New("wave did not finish within the limit")
		}
		if err = c.runRound(ctx); err != nil {
			return 0, 0, err
		}
	}
	return c.clock.Now().Sub(started), bound, nil
}

// maintenanceTime is the time that an instance is out of service under a baseline, which acts without waiting for a control round.
func maintenanceTime(machines *model.Machines) time.Duration {
	return machines.DrainTime() + machines.RebootTime()
}

func oneAtATime(deployment *settings.Settings, seed uint64) (duration time.Duration) {
	machines := newMachines(model.NewManualClock(), seed)
	for _, pool := range deployment.Pools {
		for range pool.Instances {
			duration += maintenanceTime(machines)
		}
	}
	return duration
}

// fixedBatch maintains the instances in batches: of each pool as many as MaxUnavailable and the number of data centres allow. A batch
// starts when the slowest instance of the previous one is done.
func fixedBatch(deployment *settings.Settings, seed uint64) (duration time.Duration) {
	machines := newMachines(model.NewManualClock(), seed)
	remaining := make([]int, len(deployment.Pools))
	for i, pool := range deployment.Pools {
		remaining[i] = len(pool.Instances)
	}
	for busy := true; busy; {
		slowest := time.Duration(0)
		for i, pool := range deployment.Pools {
			batch := min(remaining[i], pool.MaxUnavailable, len(deployment.DataCentres))
			remaining[i] -= batch
			for range batch {
				slowest = max(slowest, maintenanceTime(machines))
			}
		}
		duration += slowest
		busy = slowest > 0
	}
	return duration
}
