package fleet_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
)

// TestDecodedMembers guards against a decoded state that lists instances but counts none as members of their pools, as entries that
// started from a snapshot did, and against members that later changes of such a state lose.
func TestDecodedMembers(t *testing.T) {
	original := coatingFleet(t)
	content, err := json.Marshal(original)
	require.NoError(t, err)
	targets := map[string]*fleet.State{"new state": fleet.New(), "zero state": {}, "state with other members": coatingFleet(t)}
	for name, state := range targets {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, json.Unmarshal(content, state))
			members, err := json.Marshal(state.Members("coating"))
			require.NoError(t, err)
			expected, err := json.Marshal(original.Members("coating"))
			require.NoError(t, err)
			require.Equal(t, string(expected), string(members))
			require.Equal(t, 3, state.AvailableCount("coating"))
			next, err := state.Apply(fleet.Record{Version: 2, Changes: []fleet.Change{fail("2")}})
			require.NoError(t, err)
			require.Len(t, next.Members("coating"), 3)
			require.Equal(t, 2, next.AvailableCount("coating"))
		})
	}
}
