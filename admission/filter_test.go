package admission_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

type directory struct{}

func (directory) HasPool(pool acaciatally.PoolName) bool { return pool == "coating" }
func (directory) HasTeam(team acaciatally.TeamName) bool { return team == "orders" }

func exchange(pool acaciatally.PoolName, team acaciatally.TeamName, size int) *acaciatally.Exchange {
	return &acaciatally.Exchange{Request: acaciatally.Request{Pool: pool, Team: team, Body: make([]byte, size)}}
}

// TestFilter guards against requests that are admitted without a known pool or team, or beyond the limits of the entry.
func TestFilter(t *testing.T) {
	tests := map[string]struct {
		inProgress []int // body sizes of the requests in progress
		exchange   *acaciatally.Exchange
		status     int
	}{
		"accepted":       {exchange: exchange("coating", "orders", 100)},
		"unknown pool":   {exchange: exchange("nothing", "orders", 1), status: 404},
		"unknown team":   {exchange: exchange("coating", "nobody", 1), status: 403},
		"no team":        {exchange: exchange("coating", "", 1), status: 403},
		"too many":       {inProgress: []int{1, 1, 1}, exchange: exchange("coating", "orders", 1), status: 429},
		"too many bytes": {inProgress: []int{90}, exchange: exchange("coating", "orders", 11), status: 429},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			filter := admission.New(admission.Config{Directory: directory{}, MaxRequests: 3, MaxBodyBytes: 100})
			for _, size := range test.inProgress {
				require.NoError(t, filter.Run(context.Background(), exchange("coating", "orders", size)))
			}
			err := filter.Run(context.Background(), test.exchange)
			if test.status == 0 {
				require.NoError(t, err)
				return
			}
			var refusal *acaciatally.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.status, refusal.Status)
			require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		})
	}
}

// TestFilterReleases guards against exchanges that still count after they have finished, or that are released twice when finished twice.
func TestFilterReleases(t *testing.T) {
	filter := admission.New(admission.Config{Directory: directory{}, MaxRequests: 1})
	for range 3 {
		admitted := exchange("coating", "orders", 1)
		require.NoError(t, filter.Run(context.Background(), admitted))
		require.Error(t, filter.Run(context.Background(), exchange("coating", "orders", 1)))
		admitted.Finish()
		admitted.Finish()
	}
}
