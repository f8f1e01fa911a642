package entry

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
)

var metricName = regexp.MustCompile(`(?m)^(acaciatally_[a-z_]+?)(_bucket|_count|_sum)?[{ ]`)

// TestOperatorsPageNamesEachMetric guards against a metric that docs/OPERATORS.md does not explain.
func TestOperatorsPageNamesEachMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	runInBubble(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, standin.NewWorker(standin.WorkerConfig{ID: "a", Slots: 1}))
		defer d.close()
		var exposition bytes.Buffer
		d.processes[0].metrics.WritePrometheus(&exposition)
		names := metricName.FindAllStringSubmatch(exposition.String(), -1)
		require.NotEmpty(t, names)
		for _, name := range names {
			require.Contains(t, string(page), "`"+name[1], "metric is not documented")
		}
	})
}
