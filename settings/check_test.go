package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/settings"
)

const smallest = `Deployment: test
DataCentres: [hall-a]
Platform: {Address: "127.0.0.1:7000"}
Entries:
  - {ID: entry-1, DataCentre: hall-a, CallerAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3"}
Peers: {Key: 0123456789abcdef}
`

// TestProblems guards against reports that hold only one of several errors, or that omit the line or give a wrong one.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		content  string
		problems []string
	}{
		"valid": {content: smallest},
		"misspelt key suggests the nearest key": {
			content:  smallest + "Traffic:\n  MaxBdy: 4MiB\n",
			problems: []string{`line 8: Traffic.MaxBdy: unknown key "MaxBdy", did you mean MaxBody?`},
		},
		"all errors in one report": {
			content: smallest + "Traffic:\n  MaxBody: 4MB\n  DefaultDeadline: soon\n  QueueLength: many\nWeights:\n  Moves: -1\n",
			problems: []string{
				`line 8: Traffic.MaxBody: invalid size "4MB", want a number with KiB, MiB or GiB`,
				`line 9: Traffic.DefaultDeadline: want a duration such as 1.5s, found "soon"`,
				`line 10: Traffic.QueueLength: want a whole number, found "many"`,
				`line 12: Weights.Moves: must not be negative`,
			},
		},
		"unknown data centre": {
			content:  strings.Replace(smallest, "DataCentre: hall-a,", "DataCentre: hall-b,", 1),
			problems: []string{`line 5: Entries[0].DataCentre: "hall-b" is not in DataCentres`},
		},
		"address used twice": {
			content:  strings.Replace(smallest, "127.0.0.1:2", "127.0.0.1:1", 1),
			problems: []string{`line 5: Entries[0].OperatorAddress: 127.0.0.1:1 is already used by Entries[0].CallerAddress`},
		},
		"duplicated key": {
			content:  smallest + "Deployment: again\n",
			problems: []string{`line 7: file: mapping key "Deployment" already defined at [1:1]`},
		},
		"list instead of a mapping": {
			content:  smallest + "Traffic: [1]\n",
			problems: []string{`line 7: Traffic: want a mapping`},
		},
		"empty file": {content: "", problems: []string{`line 1: file: is empty`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse([]byte(test.content))
			if test.problems == nil {
				require.NoError(t, err)
				return
			}
			var problems *settings.ProblemsError
			require.ErrorAs(t, err, &problems)
			require.Equal(t, strings.Join(test.problems, "\n"), problems.Error())
		})
	}
}

// TestExamples guards against example files that fail validation, or that lose entries or instances when loaded.
func TestExamples(t *testing.T) {
	tests := map[string]struct{ entries, instances int }{
		"authority":  {entries: 9, instances: 49},
		"cavalcanti": {entries: 9, instances: 49},
		"run":        {entries: 3, instances: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile("../examples/" + name + ".yaml")
			require.NoError(t, err)
			loaded, err := settings.Parse(content)
			require.NoError(t, err)
			require.Len(t, loaded.Entries, test.entries)
			instances := 0
			for _, pool := range loaded.Pools {
				instances += len(pool.Instances)
			}
			require.Equal(t, test.instances, instances)
		})
	}
}

// FuzzParse guards against panics on malformed settings files.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallest))
	f.Add([]byte("Pools: [{Instances: [{Memory: 1GiB}]}]"))
	f.Add([]byte("- \n-"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = settings.Parse(content)
	})
}
