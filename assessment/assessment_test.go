package assessment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/fleet"
)

var now = time.Unix(10_000, 0)

func newState(t *testing.T) *fleet.State {
	t.Helper()
	record := fleet.Record{Version: 1, At: now.Add(-time.Hour), Changes: []fleet.Change{{PutPool: &fleet.Pool{Name: "coating"}}}}
	for n := range 6 {
		record.Changes = append(record.Changes, fleet.Change{AddInstance: &fleet.Instance{
			ID: id(n), Pool: "coating", DataCentre: acaciatally.DataCentre(fmt.Sprint("hall-", n%2)), Rack: acaciatally.Rack(fmt.Sprint("rack-", n%4)),
		}})
	}
	state, err := fleet.New().Apply(record)
	require.NoError(t, err)
	return state
}

func id(n int) acaciatally.InstanceID { return acaciatally.InstanceID(fmt.Sprintf("coating-%d", n)) }

func report(entry string, n, connected, unreachable, succeeded, failed int) acaciatally.InstanceReport {
	return acaciatally.InstanceReport{
		Entry: acaciatally.EntryID(entry), Instance: id(n), At: now.Add(-time.Second),
		Connected: connected, Unreachable: unreachable, Succeeded: succeeded, Failed: failed,
	}
}

func listed(omit int) (list []acaciatally.ListedInstance) {
	for n := range 6 {
		if n != omit {
			list = append(list, acaciatally.ListedInstance{ID: id(n), SeenAt: now.Add(-20 * time.Second)})
		}
	}
	return list
}

// TestFindings guards against a healthy instance that counts as failed on one signal or on the list alone, and against a failed one that
// goes unnoticed because the list still shows it.
func TestFindings(t *testing.T) {
	tests := map[string]struct {
		reports []acaciatally.InstanceReport
		omit    int // instance that the list omits
		want    map[int]assessment.Kind
	}{
		"healthy":                                 {reports: []acaciatally.InstanceReport{report("e1", 0, 5, 0, 5, 0)}, omit: -1},
		"list omits a reachable one":              {reports: []acaciatally.InstanceReport{report("e1", 0, 5, 0, 5, 0)}, omit: 0},
		"list omits one without reports":          {omit: 0},
		"one entry cannot connect":                {reports: []acaciatally.InstanceReport{report("e1", 0, 0, 5, 0, 0)}, omit: -1, want: map[int]assessment.Kind{0: assessment.Suspected}},
		"two reports of one entry are one signal": {reports: []acaciatally.InstanceReport{report("e1", 0, 0, 5, 0, 0), report("e1", 0, 0, 5, 0, 0)}, omit: -1, want: map[int]assessment.Kind{0: assessment.Suspected}},
		"two entries cannot connect":              {reports: []acaciatally.InstanceReport{report("e1", 0, 0, 5, 0, 0), report("e2", 0, 0, 2, 0, 0)}, omit: -1, want: map[int]assessment.Kind{0: assessment.Failed}},
		"one entry and the list":                  {reports: []acaciatally.InstanceReport{report("e1", 0, 0, 5, 0, 0)}, omit: 0, want: map[int]assessment.Kind{0: assessment.Failed}},
		"two of three entries cannot connect":     {reports: []acaciatally.InstanceReport{report("e1", 0, 0, 5, 0, 0), report("e2", 0, 0, 5, 0, 0), report("e3", 0, 3, 0, 3, 0)}, omit: -1, want: map[int]assessment.Kind{0: assessment.Suspected}},
		"fails everything":                        {reports: []acaciatally.InstanceReport{report("e1", 0, 12, 0, 0, 12), report("e1", 1, 5, 0, 5, 0)}, omit: -1, want: map[int]assessment.Kind{0: assessment.FailsEvery}},
		"all instances of the pool fail":          {reports: []acaciatally.InstanceReport{report("e1", 0, 12, 0, 0, 12), report("e1", 1, 12, 0, 0, 12)}, omit: -1},
		"fails most":                              {reports: []acaciatally.InstanceReport{report("e1", 0, 13, 0, 1, 12), report("e1", 1, 5, 0, 5, 0)}, omit: -1},
		"most of the fleet unreachable":           {reports: unreachableMajority(), omit: -1, want: map[int]assessment.Kind{0: assessment.Unsupported, 1: assessment.Unsupported, 2: assessment.Unsupported, 3: assessment.Unsupported}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assessor := assessment.New(assessment.Config{})
			assessor.AddReports(test.reports...)
			assessor.SetList(now, listed(test.omit))
			got := map[int]assessment.Kind{}
			for _, finding := range assessor.Assess(now, newState(t)) {
				var n int
				_, err := fmt.Sscanf(string(finding.Instance), "coating-%d", &n)
				require.NoError(t, err)
				got[n] = finding.Kind
			}
			if test.want == nil {
				test.want = map[int]assessment.Kind{}
			}
			require.Equal(t, test.want, got)
			require.Empty(t, assessor.Assess(now.Add(time.Minute), newState(t)), "old reports are discarded")
		})
	}
}

func unreachableMajority() (reports []acaciatally.InstanceReport) {
	for n := range 4 {
		reports = append(reports, report("e1", n, 0, 5, 0, 0), report("e2", n, 0, 5, 0, 0))
	}
	return reports
}

// TestFailureDomain guards against correlated failures that are reported as unrelated.
func TestFailureDomain(t *testing.T) {
	assessor := assessment.New(assessment.Config{})
	for _, n := range []int{0, 2} {
		assessor.AddReports(report("e1", n, 0, 5, 0, 0), report("e2", n, 0, 5, 0, 0))
	}
	for _, finding := range assessor.Assess(now, newState(t)) {
		require.Equal(t, "data centre hall-0: 2 failures", finding.Domain)
	}
}
