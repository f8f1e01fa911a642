package changelog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
)

func newLease(shared acaciatally.TableService, holder string) *changelog.Lease {
	return changelog.NewLease(changelog.LeaseConfig{Table: shared, Name: "Control", Holder: holder})
}

// tendAll calls Tend of the leases once a second for a while.
func tendAll(t *testing.T, span time.Duration, leases ...*changelog.Lease) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
		for _, lease := range leases {
			_ = lease.AcquireOrRenew(t.Context())
		}
	}
}

// TestPausedHolder guards against a holder that resumes after a pause and commits although another process has acquired the lease.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		first, second := newLease(shared, "entry-1/1"), newLease(shared, "entry-2/1")
		tendAll(t, 5*time.Second, first, second)
		old, held := first.Held()
		require.True(t, held)
		_, held = second.Held()
		require.False(t, held)
		tendAll(t, 8*time.Second, second)
		_, held = second.Held()
		require.False(t, held, "the term has not passed")
		tendAll(t, 8*time.Second, second)
		hold, held := second.Held()
		require.True(t, held)
		require.Equal(t, old.Epoch+1, hold.Epoch)
		_, held = first.Held()
		require.False(t, held, "the lease has expired on the clock of its holder")
		log := changelog.New(changelog.Config{Table: shared})
		proposal := putTeam("1", 1)
		proposal.Conditions = []acaciatally.Condition{old.Condition}
		_, err := log.Commit(t.Context(), proposal)
		require.ErrorIs(t, err, acaciatally.ErrLeaseExpired)
		proposal.Conditions = []acaciatally.Condition{hold.Condition}
		_, err = log.Commit(t.Context(), proposal)
		require.NoError(t, err)
		tendAll(t, 5*time.Second, first, second)
		_, held = first.Held()
		require.False(t, held)
	})
}

// TestLeaseFaults guards against a holder that commits with an unknown row version, and against losing the lease with a response.
func TestLeaseFaults(t *testing.T) {
	tests := map[string]struct {
		faults []fault
		down   time.Duration
		held   bool
		epoch  uint64
	}{
		"response to renewal lost":     {faults: []fault{noFault, appliedNoResponse}, held: true, epoch: 1},
		"response to acquisition lost": {faults: []fault{appliedNoResponse}, held: true, epoch: 1},
		"renewal not applied":          {faults: []fault{noFault, droppedNoResponse}, held: true, epoch: 1},
		"short outage":                 {down: 4 * time.Second, held: true, epoch: 1},
		"outage beyond the term":       {down: 15 * time.Second, epoch: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newTable(test.faults...)
				holder := newLease(shared, "entry-1/1")
				tendAll(t, 5*time.Second, holder)
				shared.setDown(test.down > 0)
				tendAll(t, test.down, holder)
				_, held := holder.Held()
				require.Equal(t, test.held, held)
				shared.setDown(false)
				tendAll(t, 3*time.Second, holder)
				hold, held := holder.Held()
				require.True(t, held)
				require.Equal(t, test.epoch, hold.Epoch)
				rows, err := shared.Read(t.Context(), hold.Condition.Key)
				require.NoError(t, err)
				require.Equal(t, hold.Condition.Version, rows[0].Version)
			})
		})
	}
}

// TestRelease guards against a controller that shuts down gracefully but still makes others wait for a whole term, and against a new
// process of the same entry that inherits the lease.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		first, second := newLease(shared, "entry-1/1"), newLease(shared, "entry-1/2")
		tendAll(t, 2*time.Second, first, second)
		_, held := second.Held()
		require.False(t, held)
		require.NoError(t, first.Release(t.Context()))
		_, held = first.Held()
		require.False(t, held)
		tendAll(t, 5*time.Second, second)
		hold, held := second.Held()
		require.True(t, held)
		require.Equal(t, uint64(2), hold.Epoch)
	})
}
