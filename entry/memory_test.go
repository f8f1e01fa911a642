package entry

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTuneGarbageCollector guards against collector settings that are not applied, or that stay after restore and distort measurements in the
// same process.
func TestTuneGarbageCollector(t *testing.T) {
	limitBefore := debug.SetMemoryLimit(-1)
	restore := TuneGarbageCollector()
	require.Equal(t, int64(memoryLimit), debug.SetMemoryLimit(-1))
	restore()
	require.Equal(t, limitBefore, debug.SetMemoryLimit(-1))
}
