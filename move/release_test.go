package move_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestReleaseBorrowed guards against borrowed instances that never leave, moves that are reversed at once, and a borrowed instance moved
// to the spare pool although another pool needs it.
func TestReleaseBorrowed(t *testing.T) {
	full := demandForecast{"intake": {now: 12}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	quiet := demandForecast{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	soon := demandForecast{"intake": {now: 9}, "coating": {now: 9, later: 11, from: 15 * time.Second}, "booking": {now: 11}, "chamber": {now: 12}}
	tests := map[string]struct {
		demand demandForecast
		after  time.Duration
		target acaciatally.PoolName
		moves  int
	}{
		"within the hold time":          {demand: quiet, after: 29 * time.Second},
		"released as the budget allows": {demand: quiet, after: 31 * time.Second, target: "backoffice", moves: 2},
		"needed again soon":             {demand: demandForecast{"intake": {now: 9, later: 12, from: 15 * time.Second}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, after: time.Minute},
		"needed by another pool soon":   {demand: soon, after: 31 * time.Second, target: "coating", moves: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := completeMoves(t, newState(t), now, planMoves(newState(t), now, full))
			require.Equal(t, 12, state.AvailableCount("intake"))
			// The times of the forecast count from the first plan, so the second plan needs them shifted by the time in between.
			demand := demandForecast{}
			for pool, poolDemand := range test.demand {
				if poolDemand.from > 0 {
					poolDemand.from += test.after
				}
				demand[pool] = poolDemand
			}
			actions := planMoves(state, now.Add(test.after), demand)
			require.Len(t, actions, test.moves)
			for _, action := range actions {
				require.Equal(t, test.target, action.Changes[0].SetPhase.Target)
				require.Equal(t, acaciatally.PoolName("intake"), state.Instances[action.Changes[0].SetPhase.ID].Pool)
			}
		})
	}
}

// TestHoldTimeInSparePool guards against an instance that returns to its own pool right after it was moved to the spare pool, while the
// spare pool has other instances.
func TestHoldTimeInSparePool(t *testing.T) {
	full := demandForecast{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	quiet := demandForecast{"intake": {now: 8}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	for name, test := range map[string]struct {
		after   time.Duration
		returns bool
	}{"within the hold time": {29 * time.Second, false}, "after it": {30 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			released := planMoves(newState(t), now, quiet)
			require.Len(t, released, 1)
			actions := planMoves(completeMoves(t, newState(t), now, released), now.Add(test.after), full)
			require.Len(t, actions, 1)
			require.Equal(t, test.returns, actions[0].Subject.Name == released[0].Subject.Name)
		})
	}
}
