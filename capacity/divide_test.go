package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
)

// testCapacity is the capacity of one instance.
var testCapacity = acaciatally.ResourceVector{Processors: 64000, Memory: 256000}

// instancesOf returns the resources of some instances.
func instancesOf(count int) acaciatally.ResourceVector {
	return acaciatally.ResourceVector{Processors: count * testCapacity.Processors}
}

// TestDivide guards against a pool whose backlog is overdue and keeps the fleet from work that can still be of use, against work that has to
// run at all times without an instance, and against a pool that is starved.
func TestDivide(t *testing.T) {
	pool := func(p Pool) Pool {
		p.PerInstance = testCapacity
		return p
	}
	tests := map[string]struct {
		pools []Pool
		total int
		fair  []int
	}{
		"all demand fits": {
			[]Pool{pool(Pool{Waiting: instancesOf(8)}), pool(Pool{Overdue: instancesOf(4)})}, 20, []int{10, 5},
		},
		"overdue backlog yields to work that can be of use": {
			[]Pool{pool(Pool{Overdue: instancesOf(90)}), pool(Pool{Waiting: instancesOf(8)})}, 12, []int{2, 10},
		},
		"work of use is shared in proportion": {
			[]Pool{pool(Pool{Waiting: instancesOf(90)}), pool(Pool{Waiting: instancesOf(30)})}, 42, []int{31, 11},
		},
		"long-running tasks come first": {
			[]Pool{pool(Pool{Waiting: instancesOf(90)}), pool(Pool{Used: instancesOf(8), LongRunning: instancesOf(8)})}, 20, []int{10, 10},
		},
		"limits per worker come first": {
			[]Pool{pool(Pool{Waiting: instancesOf(90)}), pool(Pool{Used: instancesOf(1), MinWorkers: 8})}, 20, []int{12, 8},
		},
		"pool without demand yields to one with demand": {
			[]Pool{pool(Pool{}), pool(Pool{Waiting: instancesOf(9)})}, 1, []int{0, 1},
		},
		"memory takes more instances than processors": {
			[]Pool{pool(Pool{Waiting: acaciatally.ResourceVector{Processors: 64000, Memory: 4 * 256000}})}, 20, []int{5},
		},
		"standby pool has no share": {
			[]Pool{pool(Pool{Standby: true}), pool(Pool{Waiting: instancesOf(1)})}, 9, []int{0, 2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fair := []int{}
			for _, share := range Defaults().divide(test.pools, test.total) {
				fair = append(fair, share.fair)
			}
			require.Equal(t, test.fair, fair)
		})
	}
}

// TestDivideProperties checks that a division never gives out more than the fleet, leaves no instance unused while useful demand is not
// met, and gives each pool at least its proportion of what is left after the floors, rounded down.
func TestDivideProperties(t *testing.T) {
	config := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.IntRange(0, 40*testCapacity.Memory)
		demand := rapid.Custom(func(t *rapid.T) acaciatally.ResourceVector {
			return acaciatally.ResourceVector{Processors: amount.Draw(t, "processors") / 4, Memory: amount.Draw(t, "memory")}
		})
		pools := make([]Pool, rapid.IntRange(1, 6).Draw(t, "pools"))
		for i := range pools {
			used, waiting := demand.Draw(t, "used"), demand.Draw(t, "waiting")
			pools[i] = Pool{
				Name: acaciatally.PoolName(rune('a' + i)), Used: used, Waiting: waiting, Overdue: demand.Draw(t, "late"),
				LongRunning: rapid.SampledFrom([]acaciatally.ResourceVector{{}, used}).Draw(t, "long-running"), Expected: demand.Draw(t, "expected"), PerInstance: testCapacity,
			}
		}
		total := rapid.IntRange(0, 300).Draw(t, "total")
		shares := config.divide(pools, total)
		sum, floors, lacking := 0, 0, 0
		wanted := make([]int, len(pools))
		for i, share := range shares {
			p := &pools[i]
			wanted[i] = max(share.floor, config.instancesFor(p, p.Used.Plus(p.Waiting).Max(p.Expected)))
			sum += share.fair
			require.GreaterOrEqual(t, share.required, share.fair)
			floors += share.floor
			lacking += wanted[i] - share.floor
		}
		require.LessOrEqual(t, sum, total)
		if floors > total {
			return
		}
		for i, share := range shares {
			proportion := min(wanted[i]-share.floor, (total-floors)*(wanted[i]-share.floor)/max(1, lacking))
			require.GreaterOrEqual(t, share.fair, share.floor+proportion)
			if sum < total {
				require.GreaterOrEqual(t, share.fair, wanted[i])
			}
		}
	})
}
