package trace_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// TestTraceOutcomes checks that the SlotHome policy meets the bounds of each embedded trace.
func TestTraceOutcomes(t *testing.T) {
	names, err := trace.Names()
	require.NoError(t, err)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			loadTrace, err := trace.Read(name)
			require.NoError(t, err)
			results, err := loadTrace.Replay(model.SlotHome, 1)
			require.NoError(t, err)
			for _, result := range results {
				t.Log(result)
				require.NoError(t, result.Check(), fmt.Sprint(result))
			}
		})
	}
}
