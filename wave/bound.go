package wave

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// RequiredInstances returns the instances that must serve in each pool now so that running waves can use the whole availability
// budget; instances borrowed from the spare pool make up a shortage. Instances already out for the wave are not counted twice.
func RequiredInstances(state *fleet.State) (required map[acaciatally.PoolName]int) {
	required = map[acaciatally.PoolName]int{}
	for _, wave := range state.Waves {
		if wave.State != fleet.WaveRunning {
			continue
		}
		for name, pool := range state.Pools {
			targets, dataCentres, unavailable := countTargets(state, wave, name)
			if targets > unavailable && !pool.Spare {
				required[name] = max(required[name], pool.MinAvailable+min(pool.MaxUnavailable, dataCentres, targets)-unavailable)
			}
		}
	}
	return required
}

// countTargets counts the wave's remaining targets in a pool, their data centres, and the instances out for the wave. Borrowed instances
// count too, since one that stays in a pool at its minimum size could never be drained there.
func countTargets(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (targets, dataCentres, unavailable int) {
	byDataCentre := map[acaciatally.DataCentre]int{}
	members := state.SharedMembers(pool)
	for i := range members {
		instance := &members[i]
		if needsMaintenance(instance, wave) {
			targets++
			byDataCentre[instance.DataCentre]++
		}
		if instance.Wave == wave.ID {
			unavailable++
		}
	}
	return targets, len(byDataCentre), unavailable
}

// MinDuration returns the minimum time that the rest of a wave takes when each instance is out of service for a cycle. At most as many
// instances of a pool as its availability budget allows, and one of each data centre, are out at the same time. A planner that maintains
// instances in the spare pool is bound only by the sum of these limits over all pools.
func (p *Planner) MinDuration(state *fleet.State, wave fleet.Wave, cycle time.Duration) (duration time.Duration) {
	rounds, targets, capacity := 0, 0, 0
	for name, pool := range state.Pools {
		byDataCentre, count := map[acaciatally.DataCentre]int{}, 0
		members := state.SharedMembers(name)
		for i := range members {
			if needsMaintenance(&members[i], wave) {
				count++
				byDataCentre[members[i].DataCentre]++
			}
		}
		rounds = max(rounds, remainingRounds(state, wave, name))
		targets += count
		capacity += min(pool.MaxUnavailable, len(byDataCentre))
	}
	if p.config.MaintainInSparePool && capacity > 0 {
		rounds = (targets + capacity - 1) / capacity
	}
	return time.Duration(rounds) * cycle
}
