package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestRelease guards against results that lose a field on their way to the slot home.
func TestRelease(t *testing.T) {
	result := acaciatally.AttemptResult{
		Outcome: acaciatally.Failed, Status: 500, Refused: true, CutOff: true, ServiceTime: 1500 * time.Microsecond,
	}
	require.Equal(t, result, readRelease(wireRelease(result).GetRelease()))
}
