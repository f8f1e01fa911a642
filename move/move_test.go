package move_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/forecast"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/move"
)

var now = time.Unix(100_000, 0).UTC()

// demandForecast is the demand of each pool in instances: now, and later from a given time after now.
type demandForecast map[acaciatally.PoolName]struct {
	now, later int
	from       time.Duration
}

func (f demandForecast) Forecast(pool acaciatally.PoolName, _, to time.Time) forecast.Forecast {
	poolDemand := f[pool]
	instances := poolDemand.now
	if !to.Before(now.Add(poolDemand.from)) {
		instances = max(instances, poolDemand.later)
	}
	return forecast.Forecast{Slots: 8 * 0.95 * float64(instances)}
}

func newState(t testing.TB) *fleet.State {
	t.Helper()
	state, err := fleet.New().Apply(fleet.Record{Version: 1, At: now.Add(-time.Hour), Changes: model.Authority().FleetChanges()})
	require.NoError(t, err)
	return state
}

// completeMoves applies the planned moves and completes them, as after the entries' acknowledgement.
func completeMoves(t testing.TB, state *fleet.State, at time.Time, actions []approval.Action) *fleet.State {
	t.Helper()
	for _, action := range actions {
		set := action.Changes[0].SetPhase
		changes := append([]fleet.Change{}, action.Changes...)
		changes = append(changes, fleet.Change{MoveInstance: &fleet.MoveInstance{ID: set.ID, From: state.Instances[set.ID].Pool, To: set.Target, Borrow: true}})
		next, err := state.Apply(fleet.Record{Version: state.Version + 1, At: at, Changes: changes})
		require.NoError(t, err)
		state = next
	}
	return state
}

func planMoves(state *fleet.State, at time.Time, demand demandForecast) []approval.Action {
	return move.New(move.Config{}).Plan(move.Input{Now: at, Draft: state.Draft(at), Forecaster: demand})
}

// TestFillShortages guards against a pool that is too small when its burst begins, instances taken from a pool that needs them, and moves
// beyond the availability budgets.
func TestFillShortages(t *testing.T) {
	tests := map[string]struct {
		demand demandForecast
		moves  map[acaciatally.PoolName]int
	}{
		"nothing to do":          {demand: demandForecast{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}},
		"ahead of the burst":     {demand: demandForecast{"intake": {now: 9, later: 12, from: 3 * time.Second}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 3}},
		"burst beyond lead time": {demand: demandForecast{"intake": {now: 9, later: 12, from: time.Minute}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}},
		"beyond the spare pool":  {demand: demandForecast{"intake": {now: 20}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 8}},
		"shared by two pools":    {demand: demandForecast{"intake": {now: 18}, "coating": {now: 18}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 4, "coating": 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newState(t)
			got := map[acaciatally.PoolName]int{}
			for _, action := range planMoves(state, now, test.demand) {
				set := action.Changes[0].SetPhase
				require.Equal(t, acaciatally.PoolName("backoffice"), state.Instances[set.ID].Pool, "instances of the spare pool are moved first")
				got[set.Target]++
			}
			if test.moves == nil {
				test.moves = map[acaciatally.PoolName]int{}
			}
			require.Equal(t, test.moves, got)
		})
	}
}

// BenchmarkPlan measures a plan in which a tenth of the pools lack instances, at three fleet sizes.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			deployment := model.NewSizedDeployment(workers)
			state, err := fleet.New().Apply(fleet.Record{Version: 1, At: now, Changes: deployment.FleetChanges()})
			require.NoError(b, err)
			demand := demandForecast{}
			for i, pool := range deployment.Pools {
				poolDemand := demand[pool.Name]
				poolDemand.now = len(pool.Instances)
				if i%10 == 1 {
					poolDemand.now++
				}
				demand[pool.Name] = poolDemand
			}
			for b.Loop() {
				planMoves(state, now, demand)
			}
		})
	}
}
