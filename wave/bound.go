package wave

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// RequiredInstances returns the instances that must serve in each pool now so that running waves can use the whole availability
// budget; instances borrowed from the spare pool make up a shortage. Instances already out for the wave are not counted twice.
func RequiredInstances(state *fleet.State) (wanted map[acaciatally.PoolName]int) {
	wanted = map[acaciatally.PoolName]int{}
	for _, wave := range state.Waves {
		if wave.State != fleet.WaveRunning {
			continue
		}
		for name, pool := range state.Pools {
			targets, centres, out := remaining(state, wave, name)
			if targets > out && !pool.Spare {
				wanted[name] = max(wanted[name], pool.MinAvailable+min(pool.MaxUnavailable, centres, targets)-out)
			}
		}
	}
	return wanted
}

// remaining counts loans, too: a loan that is left in a pool at its least size could never be drained there.
func remaining(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (targets, centres, out int) {
	byCentre := map[acaciatally.DataCentre]int{}
	members := state.Listed(pool)
	for i := range members {
		instance := &members[i]
		if target(instance, wave) {
			targets++
			byCentre[instance.DataCentre]++
		}
		if instance.Wave == wave.ID {
			out++
		}
	}
	return targets, len(byCentre), out
}

// EarliestEnd returns the least time that the rest of a wave takes when each instance is out for a cycle: a pool has at most its
// budget out at once, and at most one instance of a data centre. A planner that relays instances through the spare pool is bound by
// the places of all pools together.
func (p *Planner) EarliestEnd(state *fleet.State, wave fleet.Wave, cycle time.Duration) (least time.Duration) {
	longest, targets, places := 0, 0, 0
	for name, pool := range state.Pools {
		byCentre, count := map[acaciatally.DataCentre]int{}, 0
		members := state.Listed(name)
		for i := range members {
			if target(&members[i], wave) {
				count++
				byCentre[members[i].DataCentre]++
			}
		}
		longest = max(longest, rounds(state, wave, name))
		targets += count
		places += min(pool.MaxUnavailable, len(byCentre))
	}
	if p.config.Relay && places > 0 {
		longest = (targets + places - 1) / places
	}
	return time.Duration(longest) * cycle
}
