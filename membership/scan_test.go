package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpiredRows guards against rows of dead entries that count towards the majority forever, and against rows that are deleted too early.
func TestExpiredRows(t *testing.T) {
	s := newSimulation(9)
	s.frozen[8] = true
	s.run(20 * time.Second)
	require.Empty(t, s.machines[0].ExpiredRows(s.now))
	s.run(15 * time.Second)
	require.Empty(t, s.machines[1].ExpiredRows(s.now), "only the entry with the lowest id deletes rows")
	expired := s.machines[0].ExpiredRows(s.now)
	require.Len(t, expired, 1)
	require.Equal(t, entryID(8), expired[0].Entry.ID)
}
