package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

func putTransaction(key string) acaciatally.Transaction {
	return acaciatally.Transaction{ID: key, Writes: []acaciatally.Write{{Key: key, Value: []byte("value")}}}
}

// TestCommitFaults checks that the error of a commit with injected faults matches whether and when the commit was executed.
func TestCommitFaults(t *testing.T) {
	tests := map[string]struct {
		switches      standin.Switches
		want          error
		executed      bool
		executedLater bool // executed after the caller stopped waiting
	}{
		"no fault":        {executed: true, executedLater: true},
		"down":            {switches: standin.Switches{Down: true}, want: acaciatally.ErrUnavailable},
		"answer lost":     {switches: standin.Switches{LoseCommitAnswers: 1}, want: acaciatally.ErrUnknownCommit, executed: true, executedLater: true},
		"slow":            {switches: standin.Switches{Delay: time.Second}, executed: true, executedLater: true},
		"too slow":        {switches: standin.Switches{Delay: time.Minute}, want: acaciatally.ErrUnknownCommit},
		"answer too slow": {switches: standin.Switches{Delay: 3 * time.Second}, want: acaciatally.ErrUnknownCommit, executed: true, executedLater: true},
		"late effect":     {switches: standin.Switches{Delay: time.Minute, LateCommits: true}, want: acaciatally.ErrUnknownCommit, executedLater: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				faults := standin.NewFaults(standin.FaultsConfig{Table: table})
				faults.Set(test.switches)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := faults.Commit(ctx, putTransaction("Row"))
				require.ErrorIs(t, err, test.want)
				rows, err := table.Read(t.Context(), "Row")
				require.NoError(t, err)
				require.Equal(t, test.executed, len(rows) == 1)
				time.Sleep(2 * time.Minute)
				rows, err = table.Read(t.Context(), "Row")
				require.NoError(t, err)
				require.Equal(t, test.executedLater, len(rows) == 1)
			})
		})
	}
}

// TestRateLimit checks that calls are not executed faster than the rate limit allows.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := standin.NewFaults(standin.FaultsConfig{Table: standin.NewTable()})
		faults.Set(standin.Switches{WritesPerSecond: 100})
		start := time.Now()
		for range 210 {
			_, err := faults.Commit(t.Context(), putTransaction("Row"))
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, time.Since(start), 2*time.Second)
		require.Equal(t, 210, faults.Counters().RowsWritten)
	})
}

// TestRandomLoss checks that two runs with the same seed lose the same calls.
func TestRandomLoss(t *testing.T) {
	run := func() (lost []bool) {
		faults := standin.NewFaults(standin.FaultsConfig{Table: standin.NewTable(), Seed: 7})
		faults.Set(standin.Switches{LossShare: 0.5})
		for range 100 {
			_, err := faults.Read(t.Context(), "Row")
			lost = append(lost, err != nil)
		}
		return lost
	}
	first := run()
	require.Equal(t, first, run())
	require.Contains(t, first, true)
	require.Contains(t, first, false)
}
