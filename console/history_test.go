package console_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/console"
)

// TestHistory guards against printing lines of other ids and against lines of several processes that are not sorted by time.
func TestHistory(t *testing.T) {
	input := strings.Join([]string{
		`  1.2 entry-2 {"Time":"2026-01-01T00:00:02Z","Process":"entry-2","Event":"RunPlanned","Job":"aa","Task":"aa.0.0.1","Worker":"i-1"}`,
		`{"Time":"2026-01-01T00:00:01Z","Process":"entry-1","Event":"JobSubmitted","Job":"aa"}`,
		`{"Time":"2026-01-01T00:00:03Z","Process":"entry-1","Event":"JobSubmitted","Job":"bb"}`,
		`not JSON aa`,
	}, "\n")
	tests := map[string]struct {
		arguments []string
		events    []string
	}{
		"job":        {[]string{"history", "aa"}, []string{"JobSubmitted", "RunPlanned"}},
		"worker":     {[]string{"history", "i-1"}, []string{"RunPlanned"}},
		"one event":  {[]string{"history", "-event", "RunPlanned", "aa"}, []string{"RunPlanned"}},
		"unknown id": {[]string{"history", "a"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			output := &bytes.Buffer{}
			code := console.Run(console.Config{Arguments: test.arguments, Input: strings.NewReader(input), Output: output, Errors: output})
			require.Equal(t, console.ExitSuccess, code)
			var events []string
			for line := range strings.Lines(output.String()) {
				_, after, _ := strings.Cut(line, `"Event":"`)
				event, _, _ := strings.Cut(after, `"`)
				events = append(events, event)
			}
			require.Equal(t, test.events, events)
		})
	}
	require.Equal(t, console.ExitUsage, console.Run(console.Config{Arguments: []string{"history"}, Output: &bytes.Buffer{}, Errors: &bytes.Buffer{}}))
}
