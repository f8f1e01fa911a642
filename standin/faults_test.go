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

func put(key string) acaciatally.Transaction {
	return acaciatally.Transaction{ID: key, Writes: []acaciatally.Write{{Key: key, Value: []byte("value")}}}
}

// TestCommitFaults guards against an injected fault that reports another outcome than the one that happened.
func TestCommitFaults(t *testing.T) {
	tests := map[string]struct {
		switches standin.Switches
		want     error
		effect   bool
		later    bool // effect after the caller gave up
	}{
		"no fault":        {effect: true, later: true},
		"down":            {switches: standin.Switches{Down: true}, want: acaciatally.ErrUnavailable},
		"answer lost":     {switches: standin.Switches{LoseCommitAnswers: 1}, want: acaciatally.ErrUnknownCommit, effect: true, later: true},
		"slow":            {switches: standin.Switches{Delay: time.Second}, effect: true, later: true},
		"too slow":        {switches: standin.Switches{Delay: time.Minute}, want: acaciatally.ErrUnknownCommit},
		"answer too slow": {switches: standin.Switches{Delay: 3 * time.Second}, want: acaciatally.ErrUnknownCommit, effect: true, later: true},
		"late effect":     {switches: standin.Switches{Delay: time.Minute, LateCommits: true}, want: acaciatally.ErrUnknownCommit, later: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				faults := standin.NewFaults(standin.FaultsConfig{Table: table})
				faults.Set(test.switches)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := faults.Commit(ctx, put("Row"))
				require.ErrorIs(t, err, test.want)
				rows, err := table.Read(t.Context(), "Row")
				require.NoError(t, err)
				require.Equal(t, test.effect, len(rows) == 1)
				time.Sleep(2 * time.Minute)
				rows, err = table.Read(t.Context(), "Row")
				require.NoError(t, err)
				require.Equal(t, test.later, len(rows) == 1)
			})
		})
	}
}

// TestLimits guards against a limit that lets more calls through than a second allows.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := standin.NewFaults(standin.FaultsConfig{Table: standin.NewTable()})
		faults.Set(standin.Switches{WritesPerSecond: 100})
		start := time.Now()
		for range 210 {
			_, err := faults.Commit(t.Context(), put("Row"))
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, time.Since(start), 2*time.Second)
		require.Equal(t, 210, faults.Counters().RowsWritten)
	})
}

// TestRandomLoss guards against losses that differ between two runs with one seed.
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
