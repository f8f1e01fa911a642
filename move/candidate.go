package move

import (
	"cmp"
	"slices"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// candidate is an instance that may move into a pool.
type candidate struct {
	instance fleet.Instance
	from     *poolState // nil for the spare pool
	rank     rank
}

// rank is the order in which candidates are preferred, lowest first.
type rank int

const (
	rankBorrowed      rank = iota // idle, and borrowed by another pool
	rankHome                      // in the spare pool, and the target pool is its home
	rankSpare                     // in the spare pool, which is its home
	rankSpareBorrowed             // in the spare pool, and its home is a third pool
	rankOwn                       // idle, and in its home pool
)

// candidates returns the serving instances that may move into the pool, the preferred one first.
func (r *planRun) candidates(pool *poolState) (candidates []candidate) {
	state := r.Draft.State()
	for _, instance := range state.SharedMembers(r.spare) {
		candidates = append(candidates, candidate{instance: instance, rank: spareRank(instance, pool.name, r.spare)})
	}
	for _, from := range r.pools {
		idle := from.supply - from.needWithinPayback
		if from == pool || idle <= 0 {
			continue
		}
		for _, instance := range state.SharedMembers(from.name) {
			rank := rankBorrowed
			if !isBorrowed(instance) {
				rank = rankOwn
			}
			if rank == rankOwn && from.supply <= from.needOwn {
				continue
			}
			candidates = append(candidates, candidate{instance: instance, from: from, rank: rank})
		}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.instance.Phase != fleet.Serving || r.Draft.Planned(c.instance) || r.reversesLastMove(c.instance, pool.name)
	})
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		// A recently maintained instance need not be drained again for a wave in the pool that borrows it.
		return cmp.Or(cmp.Compare(a.rank, b.rank), b.instance.Maintained.Compare(a.instance.Maintained), a.instance.MovedAt.Compare(b.instance.MovedAt))
	})
	return candidates
}

// spareRank returns the rank of an instance in the spare pool for a move to the pool.
func spareRank(instance fleet.Instance, pool, spare acaciatally.PoolName) rank {
	switch instance.Home {
	case pool:
		return rankHome
	case spare:
		return rankSpare
	}
	return rankSpareBorrowed
}

// isBorrowed reports whether the instance is outside its home pool.
func isBorrowed(instance fleet.Instance) bool { return instance.Home != instance.Pool }

// reversesLastMove reports whether the move would undo the instance's last move before the hold time has passed.
func (r *planRun) reversesLastMove(instance fleet.Instance, to acaciatally.PoolName) bool {
	return instance.MovedFrom == to && r.Now.Sub(instance.MovedAt) < r.config.HoldTime
}
