package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
)

// TestOptionsReconfigurePlanners guards against changed options that take effect only after a restart of the entry.
func TestOptionsReconfigurePlanners(t *testing.T) {
	config := &Config{}
	config.SetDefaults()
	plan := NewPlan(config)
	before := plan.moves
	round := &Round{MayAct: true, State: fleet.New(), Now: time.Unix(1, 0)}
	require.NoError(t, plan.Run(t.Context(), round))
	require.Same(t, before, plan.moves, "the planners are kept while the options are unchanged")
	tuned, err := fleet.New().Apply(fleet.Record{Version: 1, Changes: []fleet.Change{{SetOption: &fleet.SetOption{Name: "Weights.Moves", Value: "5"}}}})
	require.NoError(t, err)
	round.State = tuned
	require.NoError(t, plan.Run(t.Context(), round))
	require.NotSame(t, before, plan.moves)
}
