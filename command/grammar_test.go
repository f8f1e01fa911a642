package command_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/command"
)

// TestHelpParses guards against documented examples that the parser rejects.
func TestHelpParses(t *testing.T) {
	for line := range strings.Lines(command.Help) {
		t.Run(strings.TrimSpace(line), func(t *testing.T) {
			_, err := command.Parse(line)
			require.NoError(t, err)
		})
	}
}

// TestSyntaxError guards against errors that point at the wrong position or do not suggest the nearest valid word.
func TestSyntaxError(t *testing.T) {
	tests := map[string]struct {
		text    string
		offset  int
		nearest string
	}{
		"misspelt verb":         {text: "shwo pools", offset: 0, nearest: "show"},
		"misspelt keyword":      {text: "show pools wehre Name = a", offset: 11, nearest: "where"},
		"missing pool":          {text: "move coating-1", offset: 14},
		"quota is not a number": {text: "set quota observatories many", offset: 24},
		"unclosed string":       {text: `show pools where Name = "a`, offset: 24},
		"empty":                 {text: "", offset: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := command.Parse(test.text)
			var syntax *command.SyntaxError
			require.ErrorAs(t, err, &syntax)
			require.Equal(t, test.offset, syntax.Offset, syntax.Message)
			if test.nearest != "" {
				require.Equal(t, test.nearest, syntax.Nearest)
			}
			require.Contains(t, syntax.Pointer(), "^")
		})
	}
}

// FuzzParse guards against panics on malformed statements, which would crash an entry.
func FuzzParse(f *testing.F) {
	for line := range strings.Lines(command.Help) {
		f.Add(line)
	}
	f.Add("show \"\x00")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = command.Parse(text)
	})
}

// TestOperatorsPage guards against statements of the help text that docs/OPERATORS.md does not list.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	for line := range strings.Lines(command.Help) {
		require.Contains(t, string(page), "    "+line)
	}
}
