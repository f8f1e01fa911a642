package entry_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

// TestWaveWithFailures guards against a broken budget, an instance in two pools, a stop before acknowledgement and a wave that
// never ends, with controllers that race, die and pause, correlated failures, lost answers, an outage and operators who drain.
func TestWaveWithFailures(t *testing.T) {
	for _, name := range []string{"authority", "cavalcanti"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment, err := settings.Load("../examples/" + name + ".yaml")
			require.NoError(t, err)
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, deployment, 0.05, 7)
				ctx, cancel := context.WithCancel(t.Context())
				for n := range 3 {
					go w.run(ctx, fmt.Sprintf("entry-%d", n+1), true)
				}
				go w.follow(ctx)
				go w.operators(ctx)
				for wave := 1; wave <= 2; wave++ {
					w.wave(ctx, fmt.Sprintf("wave-%d", wave))
				}
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
				w.check()
				require.Greater(t, w.deaths, 10)
				t.Logf("%d deaths of controllers, %d records", w.deaths, len(w.records()))
			})
		})
	}
}

// wave starts a wave, causes the failures and waits for its end.
func (w *world) wave(ctx context.Context, id string) {
	w.t.Helper()
	_, err := w.truth.Commit(ctx, changelog.Proposal{CommandID: id, By: "ana", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{PutWave: &fleet.Wave{ID: id, State: fleet.WaveRunning, Started: time.Now().UTC()}}}, nil
	}})
	require.NoError(w.t, err)
	time.Sleep(40 * time.Second)
	w.machines.KillRack(w.anyRack())
	w.faults.Set(standin.Switches{Delay: 4 * time.Millisecond, LossShare: 0.05, LoseCommitAnswers: 3})
	time.Sleep(time.Minute)
	w.faults.Set(standin.Switches{Down: true})
	time.Sleep(time.Hour)
	w.faults.Set(standin.Switches{Delay: 4 * time.Millisecond, LossShare: 0.02, LoseCommitAnswers: 5})
	started := time.Now()
	for w.truth.State().Waves[id].State != fleet.WaveDone {
		if time.Since(started) >= 2*time.Hour {
			w.check() // names a broken promise before the missing end
		}
		require.Less(w.t, time.Since(started), 2*time.Hour, "the wave does not end at %s: %s", time.Now(), w.unfinished(id))
		time.Sleep(time.Second)
	}
}

func (w *world) anyRack() acaciatally.Rack {
	state := w.truth.State()
	return state.Members(state.PoolNames()[0])[0].Rack
}

func (w *world) unfinished(id string) (left string) {
	state := w.truth.State()
	for _, instance := range state.Instances {
		if instance.Phase != fleet.Serving || instance.Maintained.Before(state.Waves[id].Started) {
			left += fmt.Sprintf("%s in %s %s %s %d %s since %s; ", instance.ID, instance.Pool, instance.Phase, instance.Cause,
				instance.Attempts, instance.Reason, time.Since(instance.PhaseSince))
		}
	}
	return left + string(state.Waves[id].State) + " " + state.Waves[id].Reason
}

// check replays the log and counts budgets and pools with its own rules.
func (w *world) check() {
	w.t.Helper()
	w.mu.Lock()
	violations := slices.Clone(w.violations)
	w.mu.Unlock()
	require.Empty(w.t, violations)
	state, total := fleet.New(), 0
	for _, change := range w.genesis {
		if change.AddInstance != nil {
			total++
		}
	}
	for _, record := range w.records() {
		next, err := state.Apply(record)
		require.NoError(w.t, err)
		for _, change := range record.Changes {
			if change.RemoveInstance != nil {
				total--
			}
			if set := change.SetPhase; set != nil && set.Phase == fleet.Draining && state.Instances[set.ID].Phase == fleet.Serving {
				requireRoom(w.t, next, set.ID)
			}
		}
		state = next
		seen := map[acaciatally.InstanceID]bool{}
		for _, pool := range state.PoolNames() {
			for _, member := range state.Members(pool) {
				require.False(w.t, seen[member.ID], "%s is in two pools", member.ID)
				seen[member.ID] = true
			}
		}
		if record.Version > 1 {
			require.Len(w.t, seen, total)
		}
	}
}

func requireRoom(t *testing.T, state *fleet.State, id acaciatally.InstanceID) {
	t.Helper()
	instance := state.Instances[id]
	pool, down, sameCentre := state.Pools[instance.Pool], 0, 0
	for _, other := range state.Members(pool.Name) {
		if other.Phase == fleet.Serving {
			continue
		}
		down++
		byPlan := other.Cause == fleet.CauseWave || other.Cause == fleet.CauseOperator
		if other.DataCentre == instance.DataCentre && byPlan && instance.Cause != fleet.CauseMove {
			sameCentre++
		}
	}
	require.LessOrEqual(t, down, pool.MaxUnavailable, "pool %s at version %d", pool.Name, state.Version)
	require.GreaterOrEqual(t, state.Available(pool.Name), pool.MinAvailable, "pool %s at version %d", pool.Name, state.Version)
	require.LessOrEqual(t, sameCentre, 1)
}
