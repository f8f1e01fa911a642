package wave

import (
	"cmp"
	"slices"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
)

// relay moves targets of the pool that would end last into the spare pool, whose budget is larger, while that shortens the wave. A
// move takes a place in the pool's budget for seconds, a maintenance for a whole cycle.
func (p *Planner) relay(draft *fleet.Draft, wave fleet.Wave) (actions []approval.Action) {
	state := draft.State()
	spare := state.SparePool()
	if !p.config.Relay || spare == "" {
		return nil
	}
	for _, pool := range byRounds(state, wave, spare) {
		here, there := rounds(state, wave, pool), rounds(state, wave, spare)
		if here <= there+1 || relaying(state, pool, spare) {
			continue
		}
		for _, instance := range byRoom(state, wave, pool, spare) {
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

// byRoom returns the targets of a pool, first those whose data centre has the fewest targets in the spare pool: there, too, only one
// instance of a data centre may be out.
func byRoom(state *fleet.State, wave fleet.Wave, pool, spare acaciatally.PoolName) (targets []fleet.Instance) {
	left := map[acaciatally.DataCentre]int{}
	for _, instance := range state.Instances {
		if (instance.Pool == spare || instance.Target == spare) && target(&instance, wave) {
			left[instance.DataCentre]++
		}
	}
	targets = order(state, wave, pool)
	slices.SortStableFunc(targets, func(a, b fleet.Instance) int { return cmp.Compare(left[a.DataCentre], left[b.DataCentre]) })
	return targets
}

// byRounds returns the serving pools, the one with the most rounds left first.
func byRounds(state *fleet.State, wave fleet.Wave, spare acaciatally.PoolName) (pools []acaciatally.PoolName) {
	for _, pool := range state.PoolNames() {
		if pool != spare {
			pools = append(pools, pool)
		}
	}
	slices.SortStableFunc(pools, func(a, b acaciatally.PoolName) int {
		return cmp.Compare(rounds(state, wave, b), rounds(state, wave, a))
	})
	return pools
}

// relaying reports whether an instance of the pool is on its way to the spare pool; one at a time leaves the budget to the wave.
func relaying(state *fleet.State, pool, spare acaciatally.PoolName) bool {
	members := state.Listed(pool)
	for i := range members {
		if members[i].Target == spare {
			return true
		}
	}
	return false
}

// rounds returns how many maintenances must follow each other in a pool, those on their way into it included.
func rounds(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (count int) {
	byCentre, targets := map[acaciatally.DataCentre]int{}, 0
	for _, instance := range coming(state, pool) {
		if target(&instance, wave) {
			targets++
			byCentre[instance.DataCentre]++
			count = max(count, byCentre[instance.DataCentre])
		}
	}
	if atOnce := min(state.Pools[pool].MaxUnavailable, len(byCentre)); atOnce > 0 {
		count = max(count, (targets+atOnce-1)/atOnce)
	}
	return count
}

// coming returns the instances that will be in a pool once the moves under way are done.
func coming(state *fleet.State, pool acaciatally.PoolName) (instances []fleet.Instance) {
	for name := range state.Pools {
		members := state.Listed(name)
		for i := range members {
			if name == pool && members[i].Target == "" || members[i].Target == pool {
				instances = append(instances, members[i])
			}
		}
	}
	return instances
}
