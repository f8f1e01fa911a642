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

// renewAll calls AcquireOrRenew of the leases once a second for a while.
func renewAll(t *testing.T, span time.Duration, leases ...*changelog.Lease) {
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
		renewAll(t, 5*time.Second, first, second)
		old, held := first.Held()
		require.True(t, held)
		_, held = second.Held()
		require.False(t, held)
		renewAll(t, 8*time.Second, second)
		_, held = second.Held()
		require.False(t, held, "the term has not passed")
		renewAll(t, 8*time.Second, second)
		heldLease, held := second.Held()
		require.True(t, held)
		require.Equal(t, old.Epoch+1, heldLease.Epoch)
		_, held = first.Held()
		require.False(t, held, "the lease has expired on the clock of its holder")
		log := changelog.New(changelog.Config{Table: shared})
		proposal := putTeam("1", 1)
		proposal.Conditions = []acaciatally.Condition{old.Condition}
		_, err := log.Commit(t.Context(), proposal)
		require.ErrorIs(t, err, acaciatally.ErrLeaseExpired)
		proposal.Conditions = []acaciatally.Condition{heldLease.Condition}
		_, err = log.Commit(t.Context(), proposal)
		require.NoError(t, err)
		renewAll(t, 5*time.Second, first, second)
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
				renewAll(t, 5*time.Second, holder)
				shared.setDown(test.down > 0)
				renewAll(t, test.down, holder)
				_, held := holder.Held()
				require.Equal(t, test.held, held)
				shared.setDown(false)
				renewAll(t, 3*time.Second, holder)
				heldLease, held := holder.Held()
				require.True(t, held)
				require.Equal(t, test.epoch, heldLease.Epoch)
				rows, err := shared.Read(t.Context(), heldLease.Condition.Key)
				require.NoError(t, err)
				require.Equal(t, heldLease.Condition.Version, rows[0].Version)
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
		renewAll(t, 2*time.Second, first, second)
		_, held := second.Held()
		require.False(t, held)
		require.NoError(t, first.Release(t.Context()))
		_, held = first.Held()
		require.False(t, held)
		renewAll(t, 5*time.Second, second)
		heldLease, held := second.Held()
		require.True(t, held)
		require.Equal(t, uint64(2), heldLease.Epoch)
	})
}
