package ordering_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/ordering"
)

// TestCompareBools checks that false is less than true.
func TestCompareBools(t *testing.T) {
	require.Negative(t, ordering.CompareBools(false, true))
	require.Positive(t, ordering.CompareBools(true, false))
	require.Zero(t, ordering.CompareBools(true, true))
}
