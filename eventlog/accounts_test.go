package eventlog_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/eventlog"
)

// TestAccountGauges guards against gauges of accounts that remain after the account is gone or another entry leads.
func TestAccountGauges(t *testing.T) {
	logger := eventlog.New(io.Discard, "entry-1")
	written := func() string {
		var output bytes.Buffer
		logger.Metrics().WritePrometheus(&output)
		return output.String()
	}
	logger.AccountUsage(map[acaciatally.AccountName]dispatch.AccountUsage{
		"a": {Used: acaciatally.ResourceVector{Processors: 500}, Share: dispatch.AccountShare{Used: 0.25, Entitled: 0.5}}, "b": {},
	})
	for _, line := range []string{
		`acaciatally_account_used{account="a",resource="processors"} 500`, `acaciatally_account_share{account="a"} 0.25`,
		`acaciatally_account_entitled{account="a"} 0.5`, `acaciatally_account_share{account="b"} 0`,
	} {
		require.Contains(t, written(), line)
	}
	logger.AccountUsage(map[acaciatally.AccountName]dispatch.AccountUsage{"b": {}})
	require.NotContains(t, written(), `account="a"`)
	logger.AccountUsage(nil)
	require.NotContains(t, written(), "acaciatally_account")
}

// TestAccountUsage guards against gauges of accounts that stay when an account is gone or the entry no longer leads: summed over the entries they
// would show usage that does not exist.
func TestAccountUsage(t *testing.T) {
	logger := eventlog.New(io.Discard, "entry-1")
	defer func() { require.NoError(t, logger.Close()) }()
	scrape := func() string {
		buffer := &bytes.Buffer{}
		logger.Metrics().WritePrometheus(buffer)
		return buffer.String()
	}
	usage := dispatch.AccountUsage{Used: acaciatally.ResourceVector{Processors: 1500}, Maximum: acaciatally.ResourceVector{Processors: 4000}}
	logger.AccountUsage(map[acaciatally.AccountName]dispatch.AccountUsage{"a": usage, "b": {}})
	require.Contains(t, scrape(), `acaciatally_account_used{account="a",resource="processors"} 1500`)
	require.Contains(t, scrape(), `acaciatally_account_maximum{account="a",resource="processors"} 4000`)
	usage.Used.Processors = 500
	logger.AccountUsage(map[acaciatally.AccountName]dispatch.AccountUsage{"a": usage})
	require.Contains(t, scrape(), `acaciatally_account_used{account="a",resource="processors"} 500`)
	require.NotContains(t, scrape(), `account="b"`)
	logger.AccountUsage(nil)
	require.NotContains(t, scrape(), "acaciatally_account_")
}

// TestSlowWorkersGauge guards against a gauge that stays when an entry no longer leads: summed over the entries it would show workers twice.
func TestSlowWorkersGauge(t *testing.T) {
	logger := eventlog.New(io.Discard, "entry-1")
	for _, count := range []int{3, 0} {
		logger.SlowWorkers(count)
		var output bytes.Buffer
		logger.Metrics().WritePrometheus(&output)
		require.Contains(t, output.String(), fmt.Sprintf("acaciatally_slow_workers %d\n", count))
	}
}
