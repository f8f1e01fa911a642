package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/overload"
)

// TestAccountsUnderPressure guards against a gauge that stays at the last share after the pressure has ended, and against refusals that are not
// told apart by account and reason.
func TestAccountsUnderPressure(t *testing.T) {
	logger := eventlog.New(io.Discard, "entry-1")
	state := &overload.State{Turn: 4, Accounts: []overload.AccountState{{Account: "hot", PerMille: 250}, {Account: "large", PerMille: 500}}}
	logger.AccountsUnderPressure(state)
	logger.JobRefused("hot", "account")
	logger.JobRefused("hot", "account")
	logger.JobRefused("", "leader")
	exported := exportMetrics(logger)
	require.Contains(t, exported, `acaciatally_admitted_share{account="hot"} 0.25`)
	require.Contains(t, exported, `acaciatally_admitted_share{account="large"} 0.5`)
	require.Contains(t, exported, `acaciatally_refused_jobs_total{account="hot",reason="account"} 2`)
	require.Contains(t, exported, `acaciatally_refused_jobs_total{account="",reason="leader"} 1`)
	logger.AccountsUnderPressure(&overload.State{Accounts: state.Accounts[:1]})
	logger.AccountsUnderPressure(nil)
	logger.AccountsUnderPressure(nil)
	exported = exportMetrics(logger)
	require.Contains(t, exported, `acaciatally_admitted_share{account="hot"} 1`)
	require.Contains(t, exported, `acaciatally_admitted_share{account="large"} 1`)
	require.Equal(t, 1, strings.Count(exported, `event="AccountPressureEnded"} 2`))
	require.NoError(t, logger.Close())
}

func exportMetrics(logger *eventlog.Logger) string {
	var output bytes.Buffer
	logger.Metrics().WritePrometheus(&output)
	return output.String()
}
