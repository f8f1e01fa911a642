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

// group is a membership whose answers a test sets.
type group struct {
	acaciatally.Membership
	live     []acaciatally.Peer
	leaving  []acaciatally.InstanceID
	isolated bool
}

func (g *group) Live() []acaciatally.Peer          { return g.live }
func (g *group) Leaving() []acaciatally.InstanceID { return g.leaving }
func (g *group) MayServe() bool                    { return !g.isolated }

func newChoice(t *testing.T, known *group, phases map[acaciatally.InstanceID]fleet.Phase) *Choice {
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
	return NewChoice(Config{
		DataCentre: "hall-a", Membership: known, State: func() *fleet.State { return state }, Queue: queue.Config{MaxLength: 3},
	})
}

func (c *Choice) within(t *testing.T, patience time.Duration) (*acaciatally.Grant, error) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return c.Acquire(ctx, acaciatally.Request{Pool: "coating"})
}

// TestChoiceRefuses guards P6 and the endpoints' slots while no slot home answers: no grant on a worker that is not serving or is
// hinted to leave, none by an isolated entry, and no more of a worker than this entry's share.
func TestChoiceRefuses(t *testing.T) {
	tests := map[string]struct {
		known  *group
		phase  fleet.Phase
		grants int
	}{
		"alone it has every slot":            {known: &group{}, phase: fleet.Serving, grants: 8},
		"share of nine entries":              {known: &group{live: make([]acaciatally.Peer, 8)}, phase: fleet.Serving, grants: 1},
		"share of three entries, rounded up": {known: &group{live: make([]acaciatally.Peer, 2)}, phase: fleet.Serving, grants: 3},
		"failed worker":                      {known: &group{}, phase: fleet.Failed},
		"worker that is hinted to leave":     {known: &group{leaving: []acaciatally.InstanceID{"a"}}, phase: fleet.Serving},
		"isolated entry":                     {known: &group{isolated: true}, phase: fleet.Serving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				choice := newChoice(t, test.known, map[acaciatally.InstanceID]fleet.Phase{"a": test.phase})
				for range test.grants {
					grant, err := choice.within(t, time.Second)
					require.NoError(t, err)
					require.Equal(t, acaciatally.InstanceID("a"), grant.Worker)
				}
				_, err := choice.within(t, time.Second)
				require.Error(t, err)
			})
		})
	}
}

// TestChoiceWaits guards the bound on waiting requests, and a slot that is given back against being lost to those that wait.
func TestChoiceWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		choice := newChoice(t, &group{live: make([]acaciatally.Peer, 8)}, map[acaciatally.InstanceID]fleet.Phase{"a": fleet.Serving})
		held, err := choice.within(t, time.Second)
		require.NoError(t, err)
		granted := make(chan *acaciatally.Grant, 3)
		for range 3 {
			go func() {
				if grant, err := choice.within(t, time.Minute); err == nil {
					granted <- grant
				}
			}()
		}
		synctest.Wait()
		var refusal *acaciatally.Refusal
		_, err = choice.within(t, time.Minute)
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		held.Release(acaciatally.AttemptResult{Status: 200})
		for range 3 {
			(<-granted).Release(acaciatally.AttemptResult{Status: 200})
		}
	})
}
