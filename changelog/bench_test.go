package changelog_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// BenchmarkCommit measures a commit and the log bytes per change, for records with 1, 10 and 100 changes.
func BenchmarkCommit(b *testing.B) {
	for name, count := range map[string]int{"1": 1, "10": 10, "100": 100} {
		b.Run(name, func(b *testing.B) {
			log := changelog.New(changelog.Config{Table: newTable()})
			changes := make([]fleet.Change, count)
			for i := range changes {
				changes[i] = fleet.Change{SetPhase: &fleet.SetPhase{ID: "coating-1", Phase: fleet.Failed, Cause: fleet.CauseFailure}}
			}
			commitAll(b, log, 1, 1)
			_, err := log.Commit(b.Context(), changelog.Proposal{CommandID: "setup", Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{PutPool: &fleet.Pool{Name: "coating"}}, {AddInstance: &fleet.Instance{ID: "coating-1", Pool: "coating"}}}, nil
			}})
			require.NoError(b, err)
			n := 0
			for b.Loop() {
				n++
				_, err = log.Commit(b.Context(), changelog.Proposal{
					CommandID: fmt.Sprintf("Failed-coating-1-%d", n), By: "entry-1", Reason: "2 entries cannot connect",
					Decide: func(*fleet.State) ([]fleet.Change, error) { return changes, nil },
				})
				require.NoError(b, err)
			}
			records, _ := log.RecordsSince(log.State().Version - 1)
			content, err := json.Marshal(records[0])
			require.NoError(b, err)
			b.ReportMetric(float64(len(content))/float64(count), "logbytes/change")
		})
	}
}
