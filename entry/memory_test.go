package entry

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the settings of the collector against being lost or left behind in a process that only measures.
func TestTuneMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	restore := TuneMemory()
	require.Equal(t, int64(memoryLimit), debug.SetMemoryLimit(-1))
	restore()
	require.Equal(t, before, debug.SetMemoryLimit(-1))
}
