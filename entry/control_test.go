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

// TestWaveWithFailures guards against an exceeded budget, an instance in two pools, a reboot before the entries have acknowledged the
// drain, and a wave that never ends. It runs waves with controllers that compete, crash and pause, the failure of a rack, lost
// answers, an outage of the platform and an operator who drains instances.
func TestWaveWithFailures(t *testing.T) {
	for _, name := range []string{"authority", "cavalcanti"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment, err := settings.Load("../examples/" + name + ".yaml")
			require.NoError(t, err)
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, deployment, 0.05, 7)
				ctx, cancel := context.WithCancel(t.Context())
				for n := range 3 {
					go s.runControllers(ctx, fmt.Sprintf("entry-%d", n+1), true)
				}
				go s.trackBusy(ctx)
				go s.runOperator(ctx)
				for wave := 1; wave <= 2; wave++ {
					s.runWave(ctx, fmt.Sprintf("wave-%d", wave))
				}
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
				s.checkRecords()
				require.Greater(t, s.crashes, 10)
				t.Logf("%d crashes of controllers, %d records", s.crashes, len(s.records()))
			})
		})
	}
}

// runWave starts a wave, injects the faults and waits for the end of the wave.
func (s *simulation) runWave(ctx context.Context, id string) {
	s.t.Helper()
	_, err := s.directLog.Commit(ctx, changelog.Proposal{CommandID: id, By: "ana", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{PutWave: &fleet.Wave{ID: id, State: fleet.WaveRunning, Started: time.Now().UTC()}}}, nil
	}})
	require.NoError(s.t, err)
	time.Sleep(40 * time.Second)
	s.machines.KillRack(s.firstRack())
	s.faults.Set(standin.Switches{Delay: 4 * time.Millisecond, LossShare: 0.05, LoseCommitAnswers: 3})
	time.Sleep(time.Minute)
	s.faults.Set(standin.Switches{Down: true})
	time.Sleep(time.Hour)
	s.faults.Set(standin.Switches{Delay: 4 * time.Millisecond, LossShare: 0.02, LoseCommitAnswers: 5})
	started := time.Now()
	for s.directLog.State().Waves[id].State != fleet.WaveDone {
		if time.Since(started) >= 2*time.Hour {
			s.checkRecords() // reports a violation, if any, rather than the timeout
		}
		require.Less(s.t, time.Since(started), 2*time.Hour, "the wave has not ended at %s: %s", time.Now(), s.describeUnfinished(id))
		time.Sleep(time.Second)
	}
}

func (s *simulation) firstRack() acaciatally.Rack {
	state := s.directLog.State()
	return state.Members(state.PoolNames()[0])[0].Rack
}

func (s *simulation) describeUnfinished(id string) (left string) {
	state := s.directLog.State()
	for _, instance := range state.Instances {
		if instance.Phase != fleet.Serving || instance.Maintained.Before(state.Waves[id].Started) {
			left += fmt.Sprintf("%s in %s %s %s %d %s since %s; ", instance.ID, instance.Pool, instance.Phase, instance.Cause,
				instance.Attempts, instance.Reason, time.Since(instance.PhaseSince))
		}
	}
	return left + string(state.Waves[id].State) + " " + state.Waves[id].Reason
}

// checkRecords replays the changelog and checks budgets and pools with rules that are independent of the code under test.
func (s *simulation) checkRecords() {
	s.t.Helper()
	s.mu.Lock()
	violations := slices.Clone(s.violations)
	s.mu.Unlock()
	require.Empty(s.t, violations)
	state, total := fleet.New(), 0
	for _, change := range s.initialChanges {
		if change.AddInstance != nil {
			total++
		}
	}
	for _, record := range s.records() {
		next, err := state.Apply(record)
		require.NoError(s.t, err)
		for _, change := range record.Changes {
			if change.RemoveInstance != nil {
				total--
			}
			if set := change.SetPhase; set != nil && set.Phase == fleet.Draining && state.Instances[set.ID].Phase == fleet.Serving {
				requireWithinBudget(s.t, next, set.ID)
			}
		}
		state = next
		seen := map[acaciatally.InstanceID]bool{}
		for _, pool := range state.PoolNames() {
			for _, member := range state.Members(pool) {
				require.False(s.t, seen[member.ID], "%s is in two pools", member.ID)
				seen[member.ID] = true
			}
		}
		if record.Version > 1 {
			require.Len(s.t, seen, total)
		}
	}
}

func requireWithinBudget(t *testing.T, state *fleet.State, id acaciatally.InstanceID) {
	t.Helper()
	instance := state.Instances[id]
	pool, down, sameCentre := state.Pools[instance.Pool], 0, 0
	for _, other := range state.Members(pool.Name) {
		if other.Phase == fleet.Serving {
			continue
		}
		down++
		planned := other.Cause == fleet.CauseWave || other.Cause == fleet.CauseOperator
		if other.DataCentre == instance.DataCentre && planned && instance.Cause != fleet.CauseMove {
			sameCentre++
		}
	}
	require.LessOrEqual(t, down, pool.MaxUnavailable, "pool %s at version %d", pool.Name, state.Version)
	require.GreaterOrEqual(t, state.AvailableCount(pool.Name), pool.MinAvailable, "pool %s at version %d", pool.Name, state.Version)
	require.LessOrEqual(t, sameCentre, 1)
}
