package wave

import (
	"cmp"
	"slices"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
)

// planSparePoolMoves moves targets of the pools with the most rounds left to the spare pool, which has a larger availability budget,
// while that shortens the wave. A move uses the pool's budget for seconds, a maintenance for a whole cycle.
func (p *Planner) planSparePoolMoves(draft *fleet.Draft, wave fleet.Wave) (actions []approval.Action) {
	state := draft.State()
	spare := state.SparePool()
	if !p.config.MaintainInSparePool || spare == "" {
		return nil
	}
	for _, pool := range poolsByRounds(state, wave, spare) {
		poolRounds, spareRounds := remainingRounds(state, wave, pool), remainingRounds(state, wave, spare)
		if poolRounds <= spareRounds+1 || movingToSpare(state, pool, spare) {
			continue
		}
		for _, instance := range targetsForSparePool(state, wave, pool, spare) {
			drain := fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: fleet.Draining, Cause: fleet.CauseMove, Target: spare, Borrow: true}}
			if draft.Planned(instance) || draft.Try(drain) != nil {
				continue
			}
			actions = append(actions, approval.NewInstanceAction("WaveMove", instance, "wave "+wave.ID+": maintained in the spare pool", drain))
			break
		}
	}
	return actions
}

// targetsForSparePool returns the targets of a pool, first those whose data centre has the fewest targets in the spare pool, where too
// only one instance of a data centre may be out of service.
func targetsForSparePool(state *fleet.State, wave fleet.Wave, pool, spare acaciatally.PoolName) (targets []fleet.Instance) {
	spareTargets := map[acaciatally.DataCentre]int{}
	for _, instance := range state.Instances {
		if (instance.Pool == spare || instance.Target == spare) && needsMaintenance(&instance, wave) {
			spareTargets[instance.DataCentre]++
		}
	}
	targets = sortedTargets(state, wave, pool)
	slices.SortStableFunc(targets, func(a, b fleet.Instance) int {
		return cmp.Compare(spareTargets[a.DataCentre], spareTargets[b.DataCentre])
	})
	return targets
}

// poolsByRounds returns all pools but the spare pool, the one with the most rounds left first.
func poolsByRounds(state *fleet.State, wave fleet.Wave, spare acaciatally.PoolName) (pools []acaciatally.PoolName) {
	for _, pool := range state.PoolNames() {
		if pool != spare {
			pools = append(pools, pool)
		}
	}
	slices.SortStableFunc(pools, func(a, b acaciatally.PoolName) int {
		return cmp.Compare(remainingRounds(state, wave, b), remainingRounds(state, wave, a))
	})
	return pools
}

// movingToSpare reports whether an instance of the pool is moving to the spare pool. Only one at a time does, so that the rest of the
// availability budget serves the wave's own drains.
func movingToSpare(state *fleet.State, pool, spare acaciatally.PoolName) bool {
	members := state.SharedMembers(pool)
	for i := range members {
		if members[i].Target == spare {
			return true
		}
	}
	return false
}

// remainingRounds returns how many maintenances must follow each other in a pool, including those of instances moving into it.
func remainingRounds(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (rounds int) {
	byDataCentre, targets := map[acaciatally.DataCentre]int{}, 0
	for _, instance := range futureMembers(state, pool) {
		if needsMaintenance(&instance, wave) {
			targets++
			byDataCentre[instance.DataCentre]++
			rounds = max(rounds, byDataCentre[instance.DataCentre])
		}
	}
	if concurrent := min(state.Pools[pool].MaxUnavailable, len(byDataCentre)); concurrent > 0 {
		rounds = max(rounds, (targets+concurrent-1)/concurrent)
	}
	return rounds
}

// futureMembers returns the instances that will be in a pool once the moves in progress are done.
func futureMembers(state *fleet.State, pool acaciatally.PoolName) (instances []fleet.Instance) {
	for name := range state.Pools {
		members := state.SharedMembers(name)
		for i := range members {
			if name == pool && members[i].Target == "" || members[i].Target == pool {
				instances = append(instances, members[i])
			}
		}
	}
	return instances
}
