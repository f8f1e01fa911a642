package trace_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/trace"
)

const minimalTrace = `Name: small
Deployment: Authority
DataCentres: [hall-a]
Entries: 1
Slots: 8
Pools: [{Name: coating, Workers: 1}, {Name: backoffice, Workers: 1, Spare: true}]
Teams: [{Name: orders, Quota: 4}]
Duration: 2s
Load:
  - {Pools: [coating], Teams: [orders], Urgency: {Normal: 1}, Demand: 0.5, Service: 20ms, Deadline: 1s, Otherwise: 1, Phases: [{From: 0s, To: 1s, Factor: 2}]}
Outcomes: [{Name: all, From: 0s, To: 2s, GoodputAtLeast: 0.5}]
`

// TestParse guards against invalid traces that would be replayed without checking anything.
func TestParse(t *testing.T) {
	tests := map[string]struct{ old, replacement, message string }{
		"correct":                       {"Slots", "Slots", ""},
		"unknown key":                   {"Demand", "demand", "unknown field"},
		"unknown team":                  {"Teams: [orders]", "Teams: [nobody]", `unknown team "nobody"`},
		"unknown pool":                  {"Pools: [coating]", "Pools: [nothing]", `"nothing", which is not a serving pool`},
		"spare pool":                    {"Pools: [coating]", "Pools: [backoffice]", `"backoffice", which is not a serving pool`},
		"urgency shares below 1":        {"Normal: 1", "Normal: 0.5", "sums to 0.5"},
		"phase too long":                {"To: 1s", "To: 3s", "Phases[0] must lie within the trace"},
		"no demand":                     {"Demand: 0.5", "Demand: 0", "Demand must be positive"},
		"no service time":               {"20ms", "0s", "Service must be positive"},
		"outcome without bound":         {", GoodputAtLeast: 0.5", "", "Outcomes[0] sets no bound"},
		"share above 1":                 {"GoodputAtLeast: 0.5", "GoodputAtLeast: 95", "GoodputAtLeast must be between 0 and 1"},
		"outcome ends before it starts": {"From: 0s, To: 2s, Goodput", "From: 2s, To: 1s, Goodput", "Outcomes[0] must lie"},
		"no workers":                    {"Workers: 1}, ", "Workers: 0}, ", "Workers must be positive"},
		"no entries":                    {"Entries: 1", "Entries: 0", "Entries must be positive"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, minimalTrace, test.old)
			_, err := trace.Parse([]byte(strings.Replace(minimalTrace, test.old, test.replacement, 1)))
			if test.message == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.message)
		})
	}
}

// TestParseReportsAllErrors guards against a validation that stops at the first error.
func TestParseReportsAllErrors(t *testing.T) {
	broken := strings.NewReplacer("Slots: 8", "Slots: 0", "20ms", "0s").Replace(minimalTrace)
	_, err := trace.Parse([]byte(broken))
	require.ErrorContains(t, err, "Slots must be positive")
	require.ErrorContains(t, err, "Service must be positive")
}

// TestReadUnknownTrace checks that reading a trace that does not exist returns an error.
func TestReadUnknownTrace(t *testing.T) {
	_, err := trace.Read("nothing")
	require.Error(t, err)
}
