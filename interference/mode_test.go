package interference

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseMode guards against a misspelt mode that is taken for another one.
func TestParseMode(t *testing.T) {
	for _, mode := range []Mode{ModeOff, ModeObserve, ModeAvoid} {
		parsed, err := ParseMode(string(mode))
		require.NoError(t, err)
		require.Equal(t, mode, parsed)
	}
	for _, name := range []string{"", "on", "Avoid"} {
		_, err := ParseMode(name)
		require.Error(t, err)
	}
}
