package spelling_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/spelling"
)

// TestNearest checks that the closest candidate is suggested, and none if all differ too much from the misspelled word.
func TestNearest(t *testing.T) {
	candidates := []string{"instances", "pools", "teams", "waves"}
	tests := map[string]struct{ word, want string }{
		"missing letter":     {"instnces", "instances"},
		"swapped letters":    {"polos", "pools"},
		"different case":     {"Teams", "teams"},
		"nothing close":      {"zebra", ""},
		"empty word":         {"", ""},
		"very long nonsense": {"abcdefghijklmnopqrstuvwxyz", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, spelling.Nearest(test.word, candidates))
		})
	}
}
