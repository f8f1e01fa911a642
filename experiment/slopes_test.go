package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTableCallsGrowLinearly guards against table calls that grow faster than linearly with the number of entries or pools.
func TestTableCallsGrowLinearly(t *testing.T) {
	s := &slopesRun{ctx: t.Context(), seed: 1}
	require.NoError(t, s.measurePolls())
	require.NoError(t, s.measureLeases())
	require.NoError(t, s.measureIdleTaskControl())
	values := map[string]float64{}
	for _, figure := range s.figures {
		values[figure.Measure] = figure.Value
	}
	tests := map[string]struct{ limit float64 }{
		"PollReadsEntries60":           {limit: 60},
		"PollReadsOneChangeEntries60":  {limit: 120},
		"ControlLeaseReadsEntries60":   {limit: 20},
		"ControlLeaseWritesEntries60":  {limit: 0.34},
		"IdleTaskControlReadsPools61":  {limit: 61 * 5.2},
		"IdleTaskControlWritesPools61": {limit: 61 * 0.34},
		"PollReadsEntries3":            {limit: 3},
		"ControlLeaseReadsEntries3":    {limit: 1},
		"IdleTaskControlReadsPools5":   {limit: 5 * 5.2},
		"IdleTaskControlWritesPools5":  {limit: 5 * 0.34},
		"PollReadsOneChangeEntries9":   {limit: 18},
		"ControlLeaseReadsEntries9":    {limit: 3},
		"IdleTaskControlReadsPools20":  {limit: 20 * 5.2},
		"IdleTaskControlWritesPools20": {limit: 20 * 0.34},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Positive(t, values[name])
			require.LessOrEqual(t, values[name], test.limit)
		})
	}
}
