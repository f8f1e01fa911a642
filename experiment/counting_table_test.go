package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestCountingTable guards against calls that are counted twice or not at all, and against a commit that counts as one write per row.
func TestCountingTable(t *testing.T) {
	table := newCountingTable()
	_, err := table.Commit(t.Context(), acaciatally.Transaction{Writes: []acaciatally.Write{{Key: "a"}, {Key: "b"}}})
	require.NoError(t, err)
	_, err = table.Read(t.Context(), "a", "b")
	require.NoError(t, err)
	rows, err := table.Scan(t.Context(), "", "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
	require.Equal(t, callCounts{reads: 2, writes: 1, rows: 2}, table.counts())
	require.Equal(t, callCounts{reads: 0.5, writes: 0.5, rows: 1}, table.counts().perUnitSince(callCounts{reads: 1}, 2))
}
