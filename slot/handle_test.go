package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestReleaseRoundTrip guards against fields of an attempt's result that the encoding of the release message drops.
func TestReleaseRoundTrip(t *testing.T) {
	result := acaciatally.AttemptResult{
		Outcome: acaciatally.Failed, Status: 500, Refused: true, EndedByCaller: true, ServiceTime: 1500 * time.Microsecond,
	}
	require.Equal(t, result, releaseFromProto(releaseToProto(result).GetRelease()))
}
