package trace_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// TestRecordedTraces guards against decisions that break the outcome stated in a recorded trace.
func TestRecordedTraces(t *testing.T) {
	names, err := trace.Names()
	require.NoError(t, err)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorded, err := trace.Read(name)
			require.NoError(t, err)
			verdicts, err := recorded.Replay(model.SlotHome, 1)
			require.NoError(t, err)
			for _, verdict := range verdicts {
				t.Log(verdict)
				require.NoError(t, verdict.Check(), fmt.Sprint(verdict))
			}
		})
	}
}
