package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestReplaces guards against two entries that dial each other at once and keep closing the session that the other one keeps.
func TestReplaces(t *testing.T) {
	create := func(other, incarnation string, dialled bool) *session {
		return &session{who: identity{entry: acaciatally.EntryID("entry-" + other), incarnation: incarnation}, dialled: dialled}
	}
	low, high := &Node{config: Config{Entry: "entry-1"}}, &Node{config: Config{Entry: "entry-2"}}
	tests := map[string]struct {
		node       *Node
		fresh, old *session
		want       bool
	}{
		"lower id keeps its own dial":       {node: low, fresh: create("2", "a", false), old: create("2", "a", true)},
		"lower id drops the other dial":     {node: low, fresh: create("2", "a", true), old: create("2", "a", false), want: true},
		"higher id keeps the other dial":    {node: high, fresh: create("1", "a", true), old: create("1", "a", false)},
		"higher id drops its own dial":      {node: high, fresh: create("1", "a", false), old: create("1", "a", true), want: true},
		"repeated dial replaces a lost one": {node: low, fresh: create("2", "a", true), old: create("2", "a", true), want: true},
		"new process replaces an old one":   {node: low, fresh: create("2", "b", false), old: create("2", "a", true), want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, test.node.replaces(test.fresh, test.old))
		})
	}
}
