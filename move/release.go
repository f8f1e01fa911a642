package move

import (
	"slices"

	"github.com/acaciatally/acaciatally/fleet"
)

// releaseIdle moves instances that stay idle for longer than the payback time to the spare pool. It keeps as many as other pools will
// lack within that time, since those can move there directly.
func (r *planRun) releaseIdle() {
	shortage := 0
	for _, pool := range r.pools {
		shortage += max(0, pool.needWithinPayback-pool.supply)
	}
	for _, pool := range r.pools {
		for _, instance := range r.releasable(pool) {
			if pool.supply <= pool.needWithinPayback || !isBorrowed(instance) && pool.supply <= pool.needOwn {
				break
			}
			if shortage > 0 {
				shortage--
				pool.needWithinPayback++
				continue
			}
			if r.planMove(instance, r.spare) {
				pool.supply--
			}
		}
	}
}

// releasable returns the serving instances of a pool that may leave it: the borrowed ones, or its own when none is borrowed.
func (r *planRun) releasable(pool *poolState) (instances []fleet.Instance) {
	if pool.supply <= pool.needWithinPayback {
		return nil
	}
	members := r.Draft.State().SharedMembers(pool.name)
	hasBorrowed := slices.ContainsFunc(members, isBorrowed)
	for _, instance := range members {
		if hasBorrowed && !isBorrowed(instance) {
			continue
		}
		if instance.Phase == fleet.Serving && !r.reversesLastMove(instance, r.spare) && !r.Draft.Planned(instance) {
			instances = append(instances, instance)
		}
	}
	return instances
}
