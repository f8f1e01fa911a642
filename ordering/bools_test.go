package ordering_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/ordering"
)

// TestBools checks that false is less than true.
func TestBools(t *testing.T) {
	require.Negative(t, ordering.Bools(false, true))
	require.Positive(t, ordering.Bools(true, false))
	require.Zero(t, ordering.Bools(true, true))
}
