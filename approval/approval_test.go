package approval_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/standin"
)

// TestApprove guards against a disruption that exceeds the availability budget, is based on an old version of the instance, is committed
// under a lost lease, or is committed twice.
func TestApprove(t *testing.T) {
	errRefused := errors.New("refused")
	drain := func(id acaciatally.InstanceID) fleet.Change {
		return fleet.Change{SetPhase: &fleet.SetPhase{ID: id, Phase: fleet.Draining, Cause: fleet.CauseWave}}
	}
	tests := map[string]struct {
		before []fleet.Change
		action func(state *fleet.State) approval.Action
		twice  bool
		lease  bool // another process takes the lease before the commit
		check  func(t *testing.T, err error)
	}{
		"within the budget":              {},
		"repeated by another controller": {twice: true},
		"budget used up before commit": {
			before: []fleet.Change{drain("intake-02"), drain("intake-03")},
			check:  func(t *testing.T, err error) { require.ErrorAs(t, err, new(*fleet.BudgetError)) },
		},
		"instance changed before commit": {
			before: []fleet.Change{drain("intake-01"), {SetPhase: &fleet.SetPhase{ID: "intake-01", Phase: fleet.Serving}}},
			check:  func(t *testing.T, err error) { require.ErrorAs(t, err, new(*fleet.VersionConflictError)) },
		},
		"lease lost before commit": {
			lease: true,
			check: func(t *testing.T, err error) { require.ErrorIs(t, err, acaciatally.ErrLeaseExpired) },
		},
		"check fails at commit": {
			action: func(state *fleet.State) approval.Action {
				action := approval.NewInstanceAction("WaveDrain", state.Instances["intake-01"], "wave", drain("intake-01"))
				action.Check = func(*fleet.State) error { return errRefused }
				return action
			},
			check: func(t *testing.T, err error) { require.ErrorIs(t, err, errRefused) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock, table := model.NewManualClock(), standin.NewTable()
			log := changelog.New(changelog.Config{Table: table, Clock: clock})
			commit := func(id string, changes []fleet.Change) {
				_, err := log.Commit(t.Context(), changelog.Proposal{CommandID: id, Decide: func(*fleet.State) ([]fleet.Change, error) { return changes, nil }})
				require.NoError(t, err)
			}
			commit("load", model.Authority().FleetChanges())
			lease := changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: "Control", Holder: "a"})
			require.NoError(t, lease.AcquireOrRenew(t.Context()))
			heldLease, held := lease.Held()
			require.True(t, held)
			action := approval.NewInstanceAction("WaveDrain", log.State().Instances["intake-01"], "wave", drain("intake-01"))
			if test.action != nil {
				action = test.action(log.State())
			}
			if test.before != nil {
				commit("before", test.before)
			}
			if test.lease {
				other := changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: "Control", Holder: "b"})
				require.NoError(t, other.AcquireOrRenew(t.Context()))
				clock.Advance(time.Minute)
				require.NoError(t, other.AcquireOrRenew(t.Context()))
			}
			version, err := approval.New(approval.Config{Log: log, By: "entry-1"}).Approve(t.Context(), heldLease, action)
			if test.check != nil {
				test.check(t, err)
				require.NotEqual(t, fleet.CauseWave, log.State().Instances["intake-01"].Cause)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "entry-1 epoch 1", log.State().Instances["intake-01"].By)
			if test.twice {
				again, err := approval.New(approval.Config{Log: changelog.New(changelog.Config{Table: table}), By: "entry-2"}).Approve(t.Context(), heldLease, action)
				require.NoError(t, err)
				require.Equal(t, version, again)
			}
		})
	}
}
