package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
)

const testCapacity = 64000

// TestDivide guards against a pool whose backlog is late and keeps the fleet from work that can still be in time, against work that has to
// run at all times without an instance, and against a pool that is starved.
func TestDivide(t *testing.T) {
	pool := func(p Pool) Pool {
		p.PerInstance = testCapacity
		return p
	}
	tests := map[string]struct {
		pools    []Pool
		total    int
		required []int
	}{
		"all demand fits": {
			[]Pool{pool(Pool{Waiting: 8 * testCapacity}), pool(Pool{Late: 4 * testCapacity})}, 20, []int{10, 5},
		},
		"late backlog yields to work in time": {
			[]Pool{pool(Pool{Late: 90 * testCapacity}), pool(Pool{Waiting: 8 * testCapacity})}, 12, []int{2, 10},
		},
		"work in time is shared in proportion": {
			[]Pool{pool(Pool{Waiting: 90 * testCapacity}), pool(Pool{Waiting: 30 * testCapacity})}, 42, []int{31, 11},
		},
		"long-running tasks come first": {
			[]Pool{pool(Pool{Waiting: 90 * testCapacity}), pool(Pool{Used: 8 * testCapacity, LongRunning: 8 * testCapacity})}, 20, []int{10, 10},
		},
		"limits per worker come first": {
			[]Pool{pool(Pool{Waiting: 90 * testCapacity}), pool(Pool{Used: testCapacity, MinWorkers: 8})}, 20, []int{12, 8},
		},
		"pool without demand yields to one with demand": {
			[]Pool{pool(Pool{}), pool(Pool{Waiting: 9 * testCapacity})}, 1, []int{0, 1},
		},
		"standby pool has no share": {
			[]Pool{pool(Pool{Standby: true}), pool(Pool{Waiting: testCapacity})}, 9, []int{0, 2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			required := []int{}
			for _, share := range Defaults().divide(test.pools, test.total) {
				required = append(required, share.required)
			}
			require.Equal(t, test.required, required)
		})
	}
}

// TestDivideProperties checks that a division never gives out more than the fleet, leaves no instance unused while demand in time is not
// met, and gives each pool at least its proportion of what is left after the floors, rounded down.
func TestDivideProperties(t *testing.T) {
	config := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.IntRange(0, 40*testCapacity)
		pools := make([]Pool, rapid.IntRange(1, 6).Draw(t, "pools"))
		for i := range pools {
			used, waiting := demand.Draw(t, "used"), demand.Draw(t, "waiting")
			pools[i] = Pool{
				Name: acaciatally.PoolName(rune('a' + i)), Used: used, Waiting: waiting, Late: demand.Draw(t, "late"),
				LongRunning: rapid.IntRange(0, used).Draw(t, "long-running"), Expected: demand.Draw(t, "expected"), PerInstance: testCapacity,
			}
		}
		total := rapid.IntRange(0, 300).Draw(t, "total")
		shares := config.divide(pools, total)
		sum, floors, lacking := 0, 0, 0
		wanted := make([]int, len(pools))
		for i, share := range shares {
			p := &pools[i]
			wanted[i] = max(share.floor, config.instancesFor(p, max(p.Used+p.Waiting, p.Expected)))
			sum += share.required
			floors += share.floor
			lacking += wanted[i] - share.floor
		}
		require.LessOrEqual(t, sum, total)
		if floors > total {
			return
		}
		for i, share := range shares {
			proportion := min(wanted[i]-share.floor, (total-floors)*(wanted[i]-share.floor)/max(1, lacking))
			require.GreaterOrEqual(t, share.required, share.floor+proportion)
			if sum < total {
				require.GreaterOrEqual(t, share.required, wanted[i])
			}
		}
	})
}
