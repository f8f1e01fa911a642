package slot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/queue"
)

// fakeMembership is a membership whose results a test sets.
type fakeMembership struct {
	acaciatally.Membership
	live        []acaciatally.Peer
	leaving     []acaciatally.InstanceID
	noFreshView bool
}

func (m *fakeMembership) Live() []acaciatally.Peer                   { return m.live }
func (m *fakeMembership) LeavingInstances() []acaciatally.InstanceID { return m.leaving }
func (m *fakeMembership) MayServe() bool                             { return !m.noFreshView }

func newTestFallback(t *testing.T, members *fakeMembership, phases map[acaciatally.InstanceID]fleet.Phase) *FallbackSource {
	t.Helper()
	changes := []fleet.Change{{PutPool: &fleet.Pool{Name: "coating", MaxUnavailable: 9}}}
	for id := range phases {
		changes = append(changes, fleet.Change{AddInstance: &fleet.Instance{ID: id, Pool: "coating", DataCentre: "hall-a", Slots: 8}})
	}
	for id, phase := range phases {
		if phase != fleet.Serving {
			changes = append(changes, fleet.Change{SetPhase: &fleet.SetPhase{ID: id, Phase: phase, Cause: fleet.CauseFailure}})
		}
	}
	state, err := fleet.New().Apply(fleet.Record{Version: 1, At: time.Now(), Changes: changes})
	require.NoError(t, err)
	return NewFallbackSource(Config{
		DataCentre: "hall-a", Membership: members, State: func() *fleet.State { return state }, Queue: queue.Config{MaxLength: 3},
	})
}

func (f *FallbackSource) acquireWithin(t *testing.T, timeout time.Duration) (*acaciatally.Grant, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return f.Acquire(ctx, acaciatally.Request{Pool: "coating"})
}

// TestFallbackSourceLimits guards against fallback grants on a worker that is not serving or has a leaving hint, grants by an entry
// without a fresh view, and grants beyond this entry's share of a worker's slots.
func TestFallbackSourceLimits(t *testing.T) {
	tests := map[string]struct {
		members *fakeMembership
		phase   fleet.Phase
		grants  int
	}{
		"single entry, all slots":            {members: &fakeMembership{}, phase: fleet.Serving, grants: 8},
		"share of nine entries":              {members: &fakeMembership{live: make([]acaciatally.Peer, 8)}, phase: fleet.Serving, grants: 1},
		"share of three entries, rounded up": {members: &fakeMembership{live: make([]acaciatally.Peer, 2)}, phase: fleet.Serving, grants: 3},
		"failed worker":                      {members: &fakeMembership{}, phase: fleet.Failed},
		"worker with a leaving hint":         {members: &fakeMembership{leaving: []acaciatally.InstanceID{"a"}}, phase: fleet.Serving},
		"entry without a fresh view":         {members: &fakeMembership{noFreshView: true}, phase: fleet.Serving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fallback := newTestFallback(t, test.members, map[acaciatally.InstanceID]fleet.Phase{"a": test.phase})
				for range test.grants {
					grant, err := fallback.acquireWithin(t, time.Second)
					require.NoError(t, err)
					require.Equal(t, acaciatally.InstanceID("a"), grant.Worker)
				}
				_, err := fallback.acquireWithin(t, time.Second)
				require.Error(t, err)
			})
		})
	}
}

// TestFallbackSourceQueue guards against more waiting requests than the queue's bound, and against a released slot that waiting requests
// do not get.
func TestFallbackSourceQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fallback := newTestFallback(t, &fakeMembership{live: make([]acaciatally.Peer, 8)}, map[acaciatally.InstanceID]fleet.Phase{"a": fleet.Serving})
		held, err := fallback.acquireWithin(t, time.Second)
		require.NoError(t, err)
		granted := make(chan *acaciatally.Grant, 3)
		for range 3 {
			go func() {
				if grant, err := fallback.acquireWithin(t, time.Minute); err == nil {
					granted <- grant
				}
			}()
		}
		synctest.Wait()
		var refusal *acaciatally.Refusal
		_, err = fallback.acquireWithin(t, time.Minute)
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		held.Release(acaciatally.AttemptResult{Status: 200})
		for range 3 {
			(<-granted).Release(acaciatally.AttemptResult{Status: 200})
		}
	})
}
