package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestCountingTable guards against calls that are counted twice or not at all, and against a transaction counted by its rows.
func TestCountingTable(t *testing.T) {
	table := newCountingTable()
	_, err := table.Commit(t.Context(), acaciatally.Transaction{Writes: []acaciatally.Write{{Key: "a"}, {Key: "b"}}})
	require.NoError(t, err)
	_, err = table.Read(t.Context(), "a", "b")
	require.NoError(t, err)
	rows, err := table.Scan(t.Context(), "", "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
	require.Equal(t, calls{reads: 2, writes: 1, rows: 2}, table.calls())
	require.Equal(t, calls{reads: 0.5, writes: 0.5, rows: 1}, table.calls().since(calls{reads: 1}, 2))
}
