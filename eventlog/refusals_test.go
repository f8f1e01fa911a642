package eventlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/intake"
)

// TestRefusedKeys guards against a log that callers with a removed key fill, and against refusals that are not counted by reason.
func TestRefusedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &lockedBuffer{}
		logger := eventlog.New(output, "entry-1")
		for range 1000 {
			logger.KeyRefused("quotes", intake.KeyUnknown)
			time.Sleep(10 * time.Millisecond)
		}
		logger.KeyRefused("quotes", intake.KeyMissing)
		logger.OwnerMismatch("quotes", "aa", "account-1")
		var metrics bytes.Buffer
		logger.Metrics().WritePrometheus(&metrics)
		require.NoError(t, logger.Close())
		require.Equal(t, 11, strings.Count(output.String(), `"Event":"KeyRefused"`))
		for _, part := range []string{`"Reason":"Unknown","Queue":"quotes","Count":100`, `"Reason":"Missing","Queue":"quotes","Count":1`, `"Event":"OwnerMismatch","Job":"aa","Queue":"quotes","Account":"account-1"`} {
			require.Contains(t, output.String(), part)
		}
		for _, line := range []string{`acaciatally_keys_refused_total{reason="Unknown"} 1000`, `acaciatally_keys_refused_total{reason="Missing"} 1`, `acaciatally_events_total{event="KeyRefused"} 1001`} {
			require.Contains(t, metrics.String(), line)
		}
	})
}
