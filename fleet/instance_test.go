package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

type instanceID = acaciatally.InstanceID

func fail(id string) fleet.Change {
	return fleet.Change{SetPhase: &fleet.SetPhase{ID: "coating-" + instanceID(id), Phase: fleet.Failed, Cause: fleet.CauseFailure}}
}

func coatingFleet(t *testing.T) *fleet.State {
	t.Helper()
	record := fleet.Record{Version: 1, At: time.Unix(1, 0), Changes: []fleet.Change{
		{PutPool: &fleet.Pool{Name: "coating", MaxUnavailable: 1, MinAvailable: 2}},
		{PutPool: &fleet.Pool{Name: "backoffice", Spare: true, MaxUnavailable: 8}},
		{AddInstance: &fleet.Instance{ID: "coating-1", Pool: "coating", DataCentre: "hall-a", Rack: "hall-a-1"}},
		{AddInstance: &fleet.Instance{ID: "coating-2", Pool: "coating", DataCentre: "hall-b", Rack: "hall-b-1"}},
		{AddInstance: &fleet.Instance{ID: "coating-3", Pool: "coating", DataCentre: "annex", Rack: "annex-1"}},
	}}
	state, err := fleet.New().Apply(record)
	require.NoError(t, err)
	return state
}

// TestMove guards against an instance that is in two pools or is moved without being drained.
func TestMove(t *testing.T) {
	move := fleet.Change{MoveInstance: &fleet.MoveInstance{ID: "coating-1", From: "coating", To: "backoffice"}}
	drain := fleet.Change{SetPhase: &fleet.SetPhase{ID: "coating-1", Phase: fleet.Draining, Cause: fleet.CauseMove}}
	tests := map[string]struct {
		changes []fleet.Change
		pool    acaciatally.PoolName
	}{
		"drained instance moves":         {changes: []fleet.Change{drain, move}, pool: "backoffice"},
		"serving instance is rejected":   {changes: []fleet.Change{move}},
		"second move is rejected":        {changes: []fleet.Change{drain, move, move}},
		"instance cannot be added twice": {changes: []fleet.Change{{AddInstance: &fleet.Instance{ID: "coating-1", Pool: "backoffice"}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			next, err := coatingFleet(t).Apply(fleet.Record{Version: 2, At: time.Unix(2, 0), Changes: test.changes})
			var invalid *fleet.InvalidChangeError
			if test.pool == "" {
				require.ErrorAs(t, err, &invalid)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.pool, next.Instances["coating-1"].Pool)
			require.Equal(t, fleet.Serving, next.Instances["coating-1"].Phase)
		})
	}
}
