package wave

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// Wanted returns the instances that must serve in each pool so that a running wave can use the whole budget; loans from the spare
// pool fill the gap.
func Wanted(state *fleet.State) (wanted map[acaciatally.PoolName]int) {
	wanted = map[acaciatally.PoolName]int{}
	for _, wave := range state.Waves {
		if wave.State != fleet.WaveRunning {
			continue
		}
		for name, pool := range state.Pools {
			targets, centres := remaining(state, wave, name)
			if targets > 0 && !pool.Spare {
				wanted[name] = max(wanted[name], pool.MinAvailable+min(pool.MaxUnavailable, centres, targets))
			}
		}
	}
	return wanted
}

// remaining counts loans, too: a loan that is left in a pool at its least size could never be drained there.
func remaining(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (targets, centres int) {
	byCentre := map[acaciatally.DataCentre]int{}
	for _, instance := range state.Members(pool) {
		if target(instance, wave) {
			targets++
			byCentre[instance.DataCentre]++
		}
	}
	return targets, len(byCentre)
}

// EarliestEnd returns the least time that the rest of the wave takes when each instance is out for a cycle: a pool has at most its
// budget out at once, and at most one instance of a data centre.
func EarliestEnd(state *fleet.State, wave fleet.Wave, cycle time.Duration) (least time.Duration) {
	for name, pool := range state.Pools {
		byCentre := map[acaciatally.DataCentre]int{}
		targets, rounds := 0, 0
		for _, instance := range state.Instances {
			if instance.Home == name && target(instance, wave) {
				targets++
				byCentre[instance.DataCentre]++
				rounds = max(rounds, byCentre[instance.DataCentre])
			}
		}
		if atOnce := min(pool.MaxUnavailable, len(byCentre)); atOnce > 0 {
			rounds = max(rounds, (targets+atOnce-1)/atOnce)
		}
		least = max(least, time.Duration(rounds)*cycle)
	}
	return least
}
