package changelog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
)

func lease(shared acaciatally.TableService, holder string) *changelog.Lease {
	return changelog.NewLease(changelog.LeaseConfig{Table: shared, Name: "Control", Holder: holder})
}

// tend runs a lease's goroutine for a while.
func tend(t *testing.T, span time.Duration, leases ...*changelog.Lease) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
		for _, one := range leases {
			_ = one.Tend(t.Context())
		}
	}
}

// TestPausedHolder guards against a holder that wakes from a pause and commits although another has taken its lease.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		first, second := lease(shared, "entry-1/1"), lease(shared, "entry-2/1")
		tend(t, 5*time.Second, first, second)
		old, held := first.Hold()
		require.True(t, held)
		_, held = second.Hold()
		require.False(t, held)
		tend(t, 8*time.Second, second)
		_, held = second.Hold()
		require.False(t, held, "the term has not passed")
		tend(t, 8*time.Second, second)
		hold, held := second.Hold()
		require.True(t, held)
		require.Equal(t, old.Epoch+1, hold.Epoch)
		_, held = first.Hold()
		require.False(t, held, "the holder's own clock has ended the lease")
		log := changelog.New(changelog.Config{Table: shared})
		proposal := put("1", 1)
		proposal.Conditions = []acaciatally.Condition{old.Condition}
		_, err := log.Commit(t.Context(), proposal)
		require.ErrorIs(t, err, acaciatally.ErrLeaseExpired)
		proposal.Conditions = []acaciatally.Condition{hold.Condition}
		_, err = log.Commit(t.Context(), proposal)
		require.NoError(t, err)
		tend(t, 5*time.Second, first, second)
		_, held = first.Hold()
		require.False(t, held)
	})
}

// TestLeaseFaults guards against a holder that commits under an unknown row version or loses the lease for a lost answer.
func TestLeaseFaults(t *testing.T) {
	tests := map[string]struct {
		faults []fault
		down   time.Duration
		held   bool
		epoch  uint64
	}{
		"answer of the renewal lost":   {faults: []fault{none, lost}, held: true, epoch: 1},
		"answer of the first put lost": {faults: []fault{lost}, held: true, epoch: 1},
		"renewal dropped":              {faults: []fault{none, dropped}, held: true, epoch: 1},
		"short outage":                 {down: 4 * time.Second, held: true, epoch: 1},
		"outage beyond the term":       {down: 15 * time.Second, epoch: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newTable(test.faults...)
				holder := lease(shared, "entry-1/1")
				tend(t, 5*time.Second, holder)
				shared.setDown(test.down > 0)
				tend(t, test.down, holder)
				_, held := holder.Hold()
				require.Equal(t, test.held, held)
				shared.setDown(false)
				tend(t, 3*time.Second, holder)
				hold, held := holder.Hold()
				require.True(t, held)
				require.Equal(t, test.epoch, hold.Epoch)
				rows, err := shared.Read(t.Context(), hold.Condition.Key)
				require.NoError(t, err)
				require.Equal(t, hold.Condition.Version, rows[0].Version)
			})
		})
	}
}

// TestRelease guards against a controller that ends in an orderly way and still keeps others waiting for a whole term, and
// against a successor of the same entry that inherits the lease.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		first, second := lease(shared, "entry-1/1"), lease(shared, "entry-1/2")
		tend(t, 2*time.Second, first, second)
		_, held := second.Hold()
		require.False(t, held)
		require.NoError(t, first.Release(t.Context()))
		_, held = first.Hold()
		require.False(t, held)
		tend(t, 5*time.Second, second)
		hold, held := second.Hold()
		require.True(t, held)
		require.Equal(t, uint64(2), hold.Epoch)
	})
}
