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

// shortHistory is the forecast of a controller that has just started.
type shortHistory struct{ demandForecast }

func (h shortHistory) Forecast(pool acaciatally.PoolName, from, to time.Time) forecast.Forecast {
	forecast := h.demandForecast.Forecast(pool, from, to)
	forecast.ShortHistory = true
	return forecast
}

// TestShortHistory guards against a new controller that treats pools without history as idle and moves their own instances to the spare
// pool.
func TestShortHistory(t *testing.T) {
	state := newState(t)
	quiet := demandForecast{"intake": {now: 1}, "coating": {now: 1}, "booking": {now: 1}, "chamber": {now: 1}}
	require.NotEmpty(t, planMoves(state, now, quiet), "with enough history, idle instances move to the spare pool")
	actions := move.New(move.Config{}).Plan(move.Input{Now: now, Draft: state.Draft(now), Forecaster: shortHistory{quiet}})
	require.Empty(t, actions)
}

// TestMargin guards against weights that have no effect on the capacity kept free, or an unbounded effect.
func TestMargin(t *testing.T) {
	tests := map[string]struct{ protection, reserve, want float64 }{
		"equal weights":            {1, 1, 0.03},
		"higher reserve weight":    {1, 3, 0.01},
		"higher protection weight": {3, 1, 0.03},
		"bounded below":            {1, 100, 0.01},
		"missing weights":          {0, 0, 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, move.Margin(test.protection, test.reserve), 1e-9)
		})
	}
}
