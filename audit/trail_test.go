package audit_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/audit"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/standin"
)

func appendRecords(t *testing.T, table acaciatally.TableService, records int) {
	t.Helper()
	log := changelog.New(changelog.Config{Table: table})
	for i := range records {
		_, err := log.Commit(t.Context(), changelog.Proposal{
			CommandID: fmt.Sprintf("c-%d", i), By: "maria",
			Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{PutTeam: &fleet.Team{Name: "observatories", Quota: i}}}, nil
			},
		})
		require.NoError(t, err)
	}
}

// TestArchive guards against records that are in neither the change log nor the archive after the log's archived rows are deleted.
func TestArchive(t *testing.T) {
	tests := map[string]struct {
		records  int
		archived uint64
	}{
		"no complete block":     {records: audit.BlockRecords - 1, archived: 0},
		"one block":             {records: audit.BlockRecords, archived: audit.BlockRecords},
		"two blocks and a part": {records: 2*audit.BlockRecords + 7, archived: 2 * audit.BlockRecords},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, objects := standin.NewTable(), standin.NewObjects()
			appendRecords(t, table, test.records)
			trail := audit.New(audit.Config{Table: table, Objects: objects})
			for range 2 { // the second run has nothing left to archive
				archived, err := trail.Archive(t.Context())
				require.NoError(t, err)
				require.Equal(t, test.archived, archived)
			}
			for version := uint64(1); version <= test.archived; version++ {
				_, err := table.Commit(t.Context(), acaciatally.Transaction{
					Writes: []acaciatally.Write{{Key: changelog.RecordKey(version), Delete: true}},
				})
				require.NoError(t, err)
			}
			records, err := trail.Latest(t.Context(), test.records)
			require.NoError(t, err)
			require.Len(t, records, test.records)
			for i, record := range records {
				require.EqualValues(t, test.records-i, record.Version)
			}
		})
	}
}
