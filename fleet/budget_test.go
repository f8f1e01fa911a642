package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
)

// TestBudget guards against a planned disruption that takes a pool below its availability budget.
func TestBudget(t *testing.T) {
	drain := func(id string, cause fleet.Cause) fleet.Change {
		return fleet.Change{SetPhase: &fleet.SetPhase{ID: "coating-" + instanceID(id), Phase: fleet.Draining, Cause: cause}}
	}
	tests := map[string]struct {
		changes  []fleet.Change
		rejected bool
	}{
		"one of three may drain":            {changes: []fleet.Change{drain("1", fleet.CauseWave)}},
		"second drain exceeds the budget":   {changes: []fleet.Change{drain("1", fleet.CauseWave), drain("2", fleet.CauseOperator)}, rejected: true},
		"failure counts against the budget": {changes: []fleet.Change{fail("2"), drain("1", fleet.CauseWave)}, rejected: true},
		"failure may exceed the budget":     {changes: []fleet.Change{drain("1", fleet.CauseWave), fail("2"), fail("3")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := coatingFleet(t)
			_, err := state.Apply(fleet.Record{Version: 2, At: time.Unix(2, 0), Changes: test.changes})
			var budget *fleet.BudgetError
			if test.rejected {
				require.ErrorAs(t, err, &budget)
				return
			}
			require.NoError(t, err)
		})
	}
}
