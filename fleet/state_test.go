package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
)

// TestBudget guards against a planned disruption that takes a pool below its availability budget.
func TestBudget(t *testing.T) {
	down := func(id string, cause fleet.Cause) fleet.Change {
		return fleet.Change{SetPhase: &fleet.SetPhase{ID: "coating-" + instanceID(id), Phase: fleet.Draining, Cause: cause}}
	}
	tests := map[string]struct {
		changes []fleet.Change
		refused bool
	}{
		"one of three may leave":             {changes: []fleet.Change{down("1", fleet.CauseWave)}},
		"second one exceeds the budget":      {changes: []fleet.Change{down("1", fleet.CauseWave), down("2", fleet.CauseOperator)}, refused: true},
		"failure counts against the budget":  {changes: []fleet.Change{failed("2"), down("1", fleet.CauseWave)}, refused: true},
		"failure is recorded beyond budgets": {changes: []fleet.Change{down("1", fleet.CauseWave), failed("2"), failed("3")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := coating(t)
			_, err := state.Apply(fleet.Record{Version: 2, At: time.Unix(2, 0), Changes: test.changes})
			var budget *fleet.BudgetError
			if test.refused {
				require.ErrorAs(t, err, &budget)
				return
			}
			require.NoError(t, err)
		})
	}
}
