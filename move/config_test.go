package move_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/move"
)

// TestMargin guards against weights that have no effect on the capacity kept free, or an unbounded effect.
func TestMargin(t *testing.T) {
	tests := map[string]struct{ protection, reserve, want float64 }{
		"equal weights":            {1, 1, 0.03},
		"higher reserve weight":    {1, 3, 0.01},
		"higher protection weight": {3, 1, 0.03},
		"bounded below":            {1, 100, 0.01},
		"missing weights":          {0, 0, 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, move.Margin(test.protection, test.reserve), 1e-9)
		})
	}
}
