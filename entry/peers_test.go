package entry

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/standin"
)

// TestViews guards against entries that cannot copy the control state from each other while the table service is down, or that go
// back to an older version.
func TestViews(t *testing.T) {
	source := changelog.New(changelog.Config{Table: standin.NewTable()})
	commit := func(i int) {
		name := fmt.Sprintf("team-%d", i)
		_, err := source.Commit(context.Background(), changelog.Proposal{CommandID: name, Decide: func(*fleet.State) ([]fleet.Change, error) {
			return []fleet.Change{{PutTeam: &fleet.Team{Name: "team", Quota: i}}}, nil
		}})
		require.NoError(t, err)
	}
	for i := range 5 {
		commit(i)
	}
	tests := map[string]func(t *testing.T) *peerpb.View{
		"records": func(t *testing.T) *peerpb.View {
			view, err := viewStore{source}.Export(0)
			require.NoError(t, err)
			require.Len(t, view.Records, 5)
			return view
		},
		"snapshot": func(t *testing.T) *peerpb.View {
			imported := changelog.New(changelog.Config{Table: standin.NewTable()})
			imported.ImportState(source.State()) // an imported state has no records
			view, err := viewStore{imported}.Export(0)
			require.NoError(t, err)
			require.NotEmpty(t, view.Snapshot)
			return view
		},
	}
	for name, export := range tests {
		t.Run(name, func(t *testing.T) {
			view := export(t)
			target := viewStore{changelog.New(changelog.Config{Table: standin.NewTable()})}
			require.NoError(t, target.Import(view))
			require.Equal(t, uint64(5), target.Version())
			require.Equal(t, 4, target.log.State().Teams["team"].Quota)
			require.NoError(t, target.Import(&peerpb.View{Version: 3, Records: view.Records[:min(3, len(view.Records))]}))
			require.Equal(t, uint64(5), target.Version())
			require.Error(t, target.Import(&peerpb.View{Records: [][]byte{[]byte("{")}}))
		})
	}
}
