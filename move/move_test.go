package move_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/move"
	"github.com/acaciatally/acaciatally/rhythm"
)

var now = time.Unix(100_000, 0).UTC()

// outlook is the demand of pools, in instances, now and from a time on.
type outlook map[acaciatally.PoolName]struct {
	now, later int
	from       time.Duration
}

func (o outlook) Forecast(pool acaciatally.PoolName, _, to time.Time) rhythm.Forecast {
	one := o[pool]
	instances := one.now
	if !to.Before(now.Add(one.from)) {
		instances = max(instances, one.later)
	}
	return rhythm.Forecast{Slots: 8 * 0.95 * float64(instances)}
}

func authority(t testing.TB) *fleet.State {
	t.Helper()
	state, err := fleet.New().Apply(fleet.Record{Version: 1, At: now.Add(-time.Hour), Changes: model.Authority().Changes()})
	require.NoError(t, err)
	return state
}

// carry applies moves to the end, as after their acknowledgement.
func carry(t testing.TB, state *fleet.State, at time.Time, actions []approval.Action) *fleet.State {
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

func plan(state *fleet.State, at time.Time, demand outlook) []approval.Action {
	return move.New(move.Config{}).Plan(move.Input{Now: at, Draft: state.Draft(at), Forecaster: demand})
}

// TestFill guards against a burst that finds its pool too small, a loan from a pool that needs its instances, and broken budgets.
func TestFill(t *testing.T) {
	tests := map[string]struct {
		demand outlook
		moves  map[acaciatally.PoolName]int
	}{
		"nothing to do":         {demand: outlook{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}},
		"ahead of the burst":    {demand: outlook{"intake": {now: 9, later: 12, from: 3 * time.Second}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 3}},
		"burst is far away":     {demand: outlook{"intake": {now: 9, later: 12, from: time.Minute}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}},
		"beyond the spare pool": {demand: outlook{"intake": {now: 20}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 8}},
		"two pools share":       {demand: outlook{"intake": {now: 18}, "coating": {now: 18}, "booking": {now: 11}, "chamber": {now: 12}}, moves: map[acaciatally.PoolName]int{"intake": 4, "coating": 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := authority(t)
			got := map[acaciatally.PoolName]int{}
			for _, action := range plan(state, now, test.demand) {
				set := action.Changes[0].SetPhase
				require.Equal(t, acaciatally.PoolName("backoffice"), state.Instances[set.ID].Pool, "the spare pool comes first")
				got[set.Target]++
			}
			if test.moves == nil {
				test.moves = map[acaciatally.PoolName]int{}
			}
			require.Equal(t, test.moves, got)
		})
	}
}

// TestReturn guards against loans that stay for good, moves that are reversed at once, and a loan sent home that another pool needs.
func TestReturn(t *testing.T) {
	full := outlook{"intake": {now: 12}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	quiet := outlook{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	soon := outlook{"intake": {now: 9}, "coating": {now: 9, later: 11, from: 15 * time.Second}, "booking": {now: 11}, "chamber": {now: 12}}
	tests := map[string]struct {
		demand outlook
		after  time.Duration
		target acaciatally.PoolName
		moves  int
	}{
		"held against reversal":           {demand: quiet, after: 29 * time.Second},
		"home as fast as the budget lets": {demand: quiet, after: 31 * time.Second, target: "backoffice", moves: 2},
		"needed again soon":               {demand: outlook{"intake": {now: 9, later: 12, from: 15 * time.Second}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}, after: time.Minute},
		"handed on":                       {demand: soon, after: 31 * time.Second, target: "coating", moves: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := carry(t, authority(t), now, plan(authority(t), now, full))
			require.Equal(t, 12, state.Available("intake"))
			// The outlook speaks of times after the first plan; the second one looks from the same moment.
			demand := outlook{}
			for pool, one := range test.demand {
				if one.from > 0 {
					one.from += test.after
				}
				demand[pool] = one
			}
			actions := plan(state, now.Add(test.after), demand)
			require.Len(t, actions, test.moves)
			for _, action := range actions {
				require.Equal(t, test.target, action.Changes[0].SetPhase.Target)
				require.Equal(t, acaciatally.PoolName("intake"), state.Instances[action.Changes[0].SetPhase.ID].Pool)
			}
		})
	}
}

// TestParkedInstanceStays guards against an own instance that comes back right after it was parked, while the spare pool has others.
func TestParkedInstanceStays(t *testing.T) {
	full := outlook{"intake": {now: 9}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	quiet := outlook{"intake": {now: 8}, "coating": {now: 9}, "booking": {now: 11}, "chamber": {now: 12}}
	for name, test := range map[string]struct {
		after time.Duration
		back  bool
	}{"within the hold time": {29 * time.Second, false}, "after it": {30 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			parked := plan(authority(t), now, quiet)
			require.Len(t, parked, 1)
			actions := plan(carry(t, authority(t), now, parked), now.Add(test.after), full)
			require.Len(t, actions, 1)
			require.Equal(t, test.back, actions[0].Subject.Name == parked[0].Subject.Name)
		})
	}
}

// BenchmarkPlan measures the moves of a round in which a tenth of the pools lacks instances, at three fleet sizes.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			deployment := model.Sized(workers)
			state, err := fleet.New().Apply(fleet.Record{Version: 1, At: now, Changes: deployment.Changes()})
			require.NoError(b, err)
			demand := outlook{}
			for i, pool := range deployment.Pools {
				one := demand[pool.Name]
				one.now = len(pool.Instances)
				if i%10 == 1 {
					one.now++
				}
				demand[pool.Name] = one
			}
			for b.Loop() {
				plan(state, now, demand)
			}
		})
	}
}

// cold is the outlook of a controller that has just started.
type cold struct{ outlook }

func (c cold) Forecast(pool acaciatally.PoolName, from, to time.Time) rhythm.Forecast {
	forecast := c.outlook.Forecast(pool, from, to)
	forecast.ShortHistory = true
	return forecast
}

// TestColdStart guards against a new controller that takes a pool without history for idle and parks its instances.
func TestColdStart(t *testing.T) {
	state := authority(t)
	quiet := outlook{"intake": {now: 1}, "coating": {now: 1}, "booking": {now: 1}, "chamber": {now: 1}}
	require.NotEmpty(t, plan(state, now, quiet), "with a history the pools' own instances are parked")
	actions := move.New(move.Config{}).Plan(move.Input{Now: now, Draft: state.Draft(now), Forecaster: cold{quiet}})
	require.Empty(t, actions)
}

// TestMargin guards against weights that have no effect on the capacity kept free, or an effect without bounds.
func TestMargin(t *testing.T) {
	tests := map[string]struct{ protection, reserve, want float64 }{
		"equal weights":          {1, 1, 0.03},
		"reserve weighs more":    {1, 3, 0.01},
		"protection weighs more": {3, 1, 0.03},
		"no bound is passed":     {1, 100, 0.01},
		"weights are missing":    {0, 0, 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, move.Margin(test.protection, test.reserve), 1e-9)
		})
	}
}
