package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSlopesOfTable guards against table calls that grow faster than with the number of entries or pools.
func TestSlopesOfTable(t *testing.T) {
	s := &slopes{ctx: t.Context(), seed: 1}
	require.NoError(t, s.polls())
	require.NoError(t, s.leases())
	require.NoError(t, s.taskRunners())
	found := map[string]float64{}
	for _, figure := range s.figures {
		found[figure.Measure] = figure.Value
	}
	tests := map[string]struct{ most float64 }{
		"PollReadsEntries60":           {most: 60},
		"PollReadsOneChangeEntries60":  {most: 120},
		"ControlLeaseReadsEntries60":   {most: 20},
		"ControlLeaseWritesEntries60":  {most: 0.34},
		"IdleTaskControlReadsPools61":  {most: 61 * 5.2},
		"IdleTaskControlWritesPools61": {most: 61 * 0.34},
		"PollReadsEntries3":            {most: 3},
		"ControlLeaseReadsEntries3":    {most: 1},
		"IdleTaskControlReadsPools5":   {most: 5 * 5.2},
		"IdleTaskControlWritesPools5":  {most: 5 * 0.34},
		"PollReadsOneChangeEntries9":   {most: 18},
		"ControlLeaseReadsEntries9":    {most: 3},
		"IdleTaskControlReadsPools20":  {most: 20 * 5.2},
		"IdleTaskControlWritesPools20": {most: 20 * 0.34},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Positive(t, found[name])
			require.LessOrEqual(t, found[name], test.most)
		})
	}
}
