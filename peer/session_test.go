package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestShouldReplace checks that two entries that dial each other at the same time agree on one session. Otherwise each would keep
// closing the session that the other one keeps.
func TestShouldReplace(t *testing.T) {
	create := func(other, incarnation string, dialled bool) *session {
		return &session{remote: remoteIdentity{entry: acaciatally.EntryID("entry-" + other), incarnation: incarnation}, dialled: dialled}
	}
	low, high := &Node{config: Config{Entry: "entry-1"}}, &Node{config: Config{Entry: "entry-2"}}
	tests := map[string]struct {
		node                *Node
		candidate, existing *session
		want                bool
	}{
		"lower ID keeps own dial":             {node: low, candidate: create("2", "a", false), existing: create("2", "a", true)},
		"lower ID replaces remote dial":       {node: low, candidate: create("2", "a", true), existing: create("2", "a", false), want: true},
		"higher ID keeps remote dial":         {node: high, candidate: create("1", "a", true), existing: create("1", "a", false)},
		"higher ID replaces own dial":         {node: high, candidate: create("1", "a", false), existing: create("1", "a", true), want: true},
		"repeated dial replaces lost session": {node: low, candidate: create("2", "a", true), existing: create("2", "a", true), want: true},
		"new incarnation replaces old one":    {node: low, candidate: create("2", "b", false), existing: create("2", "a", true), want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, test.node.shouldReplace(test.candidate, test.existing))
		})
	}
}
