package fleet_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

var pools = []acaciatally.PoolName{"coating", "booking", "backoffice"}

func initialRecord() fleet.Record {
	record := fleet.Record{Version: 1, At: time.Unix(1, 0).UTC()}
	for i, pool := range pools {
		record.Changes = append(record.Changes, fleet.Change{PutPool: &fleet.Pool{Name: pool, Spare: i == 2, MaxUnavailable: 2, MinAvailable: 2}})
		for n := range 5 {
			record.Changes = append(record.Changes, fleet.Change{AddInstance: &fleet.Instance{
				ID: acaciatally.InstanceID(fmt.Sprintf("%s-%d", pool, n)), Pool: pool,
				DataCentre: acaciatally.DataCentre(fmt.Sprintf("hall-%d", n%3)), Rack: acaciatally.Rack(fmt.Sprintf("rack-%d", n%4)),
			}})
		}
	}
	return record
}

func drawChange(t *rapid.T) fleet.Change {
	id := acaciatally.InstanceID(fmt.Sprintf("%s-%d", rapid.SampledFrom(pools).Draw(t, "pool"), rapid.IntRange(0, 4).Draw(t, "number")))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		from, to := rapid.SampledFrom(pools).Draw(t, "from"), rapid.SampledFrom(pools).Draw(t, "to")
		return fleet.Change{MoveInstance: &fleet.MoveInstance{ID: id, From: from, To: to, Borrow: rapid.Bool().Draw(t, "borrow")}}
	}
	phases := []fleet.Phase{fleet.Serving, fleet.Draining, fleet.Draining, fleet.Draining, fleet.Stopping, fleet.Rebooting, fleet.Checking, fleet.Failed}
	causes := []fleet.Cause{fleet.CauseNone, fleet.CauseWave, fleet.CauseMove, fleet.CauseOperator, fleet.CauseFailure}
	return fleet.Change{SetPhase: &fleet.SetPhase{
		ID: id, Phase: rapid.SampledFrom(phases).Draw(t, "phase"), Cause: rapid.SampledFrom(causes).Draw(t, "cause"),
	}}
}

// TestStateProperties guards against a replay that depends on anything but the records, instances in no pool or in two, and planned
// changes that exceed a budget.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, err := fleet.New().Apply(initialRecord())
		require.NoError(t, err)
		records := []fleet.Record{initialRecord()}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			record := fleet.Record{Version: state.Version + 1, At: time.Unix(int64(state.Version), 0).UTC(), Changes: []fleet.Change{drawChange(t)}}
			next, err := state.Apply(record)
			if err != nil {
				requireTypedError(t, err)
				continue
			}
			requireBudget(t, state, next, record.Changes[0])
			requireOnePool(t, next)
			state, records = next, append(records, record)
		}
		replayed, err := fleet.New().Replay(records...)
		require.NoError(t, err)
		require.Equal(t, encode(t, state), encode(t, replayed))
	})
}

func requireTypedError(t *rapid.T, err error) {
	var invalid *fleet.InvalidChangeError
	var budget *fleet.BudgetError
	require.True(t, errors.As(err, &invalid) || errors.As(err, &budget), "%v", err)
}

func requireBudget(t *rapid.T, before, after *fleet.State, change fleet.Change) {
	if change.SetPhase == nil || change.SetPhase.Phase != fleet.Draining || before.Instances[change.SetPhase.ID].Phase != fleet.Serving {
		return
	}
	instance := after.Instances[change.SetPhase.ID]
	pool := after.Pools[instance.Pool]
	unavailable, domains := 0, map[string]int{}
	for _, other := range after.Instances {
		if other.Pool != instance.Pool || other.Phase == fleet.Serving {
			continue
		}
		unavailable++
		if other.Cause == fleet.CauseWave || other.Cause == fleet.CauseOperator {
			domains["rack "+string(other.Rack)]++
			domains["data centre "+string(other.DataCentre)]++
		}
	}
	require.GreaterOrEqual(t, after.AvailableCount(pool.Name), pool.MinAvailable)
	require.LessOrEqual(t, unavailable, pool.MaxUnavailable)
	if instance.Cause != fleet.CauseMove {
		require.Equal(t, 1, domains["rack "+string(instance.Rack)])
		require.Equal(t, 1, domains["data centre "+string(instance.DataCentre)])
	}
}

func requireOnePool(t *rapid.T, state *fleet.State) {
	seen := map[acaciatally.InstanceID]int{}
	for _, pool := range pools {
		for _, member := range state.Members(pool) {
			seen[member.ID]++
			require.Equal(t, state.Instances[member.ID], member)
		}
	}
	require.Len(t, seen, len(state.Instances))
	for id, count := range seen {
		require.Equal(t, 1, count, id)
	}
}

func encode(t *rapid.T, state *fleet.State) string {
	content, err := json.Marshal(state)
	require.NoError(t, err)
	return string(content)
}
