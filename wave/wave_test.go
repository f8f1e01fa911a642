package wave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/wave"
)

var (
	now     = time.Unix(100_000, 0).UTC()
	running = fleet.Wave{ID: "wave", State: fleet.WaveRunning, Started: now}
)

func apply(t testing.TB, state *fleet.State, at time.Time, changes ...fleet.Change) *fleet.State {
	t.Helper()
	next, err := state.Apply(fleet.Record{Version: state.Version + 1, At: at, Changes: changes})
	require.NoError(t, err)
	return next
}

func newState(t testing.TB) *fleet.State {
	t.Helper()
	state := apply(t, fleet.New(), now.Add(-time.Hour), model.Authority().FleetChanges()...)
	return apply(t, state, now, fleet.Change{PutWave: &running})
}

func fail(id acaciatally.InstanceID) fleet.Change {
	return fleet.Change{SetPhase: &fleet.SetPhase{ID: id, Phase: fleet.Failed}}
}

// TestFailuresHoldWave guards against a wave that continues while instances of one rack, data centre or pool fail, and against one that
// never resumes.
func TestFailuresHoldWave(t *testing.T) {
	type failure struct {
		id acaciatally.InstanceID
		at time.Duration
	}
	tests := map[string]struct {
		failures []failure
		at       time.Duration
		held     bool
	}{
		"one failure":                                   {failures: []failure{{"intake-01", 0}}, at: time.Second},
		"two in one pool":                               {failures: []failure{{"intake-01", 0}, {"intake-02", 59 * time.Second}}, at: time.Minute, held: true},
		"two in one data centre":                        {failures: []failure{{"intake-01", 0}, {"coating-01", 10 * time.Second}}, at: time.Minute, held: true},
		"two in different domains and pools":            {failures: []failure{{"intake-01", 0}, {"coating-02", 10 * time.Second}}, at: time.Minute},
		"two outside the window":                        {failures: []failure{{"intake-01", 0}, {"intake-02", 61 * time.Second}}, at: 70 * time.Second},
		"still held in the quiet period":                {failures: []failure{{"intake-01", 0}, {"intake-02", 0}}, at: 119 * time.Second, held: true},
		"resumes after the quiet period":                {failures: []failure{{"intake-01", 0}, {"intake-02", 0}}, at: 120 * time.Second},
		"another failure extends the hold":              {failures: []failure{{"intake-01", 0}, {"intake-02", 0}, {"chamber-03", 100 * time.Second}}, at: 200 * time.Second, held: true},
		"a failure after the quiet period counts alone": {failures: []failure{{"intake-01", 0}, {"intake-02", 0}, {"chamber-03", 130 * time.Second}}, at: 140 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, planner := newState(t), wave.New(wave.Config{})
			for _, failure := range test.failures {
				state = apply(t, state, now.Add(failure.at), fail(failure.id))
			}
			at := now.Add(test.at)
			reason, held := planner.Held(at, state)
			require.Equal(t, test.held, held, reason)
			actions := planner.Plan(at, state.Draft(at))
			if test.held {
				require.Len(t, actions, 1)
				require.Equal(t, fleet.WaveHeld, actions[0].Changes[0].PutWave.State)
				return
			}
			require.NotEmpty(t, actions)
			for _, action := range actions {
				require.NotNil(t, action.Changes[0].SetPhase)
				require.False(t, poolHasFailedInstance(state, action.Changes[0].SetPhase), "a pool with a failed instance gets no drains")
			}
		})
	}
}

func poolHasFailedInstance(state *fleet.State, set *fleet.SetPhase) bool {
	for _, member := range state.Members(state.Instances[set.ID].Pool) {
		if member.Phase == fleet.Failed {
			return true
		}
	}
	return false
}

// TestFailureBetweenPlanAndCommit guards against a drain that is committed although instances failed after it was planned.
func TestFailureBetweenPlanAndCommit(t *testing.T) {
	state, planner := newState(t), wave.New(wave.Config{})
	actions := planner.Plan(now, state.Draft(now))
	require.NoError(t, actions[0].Check(state))
	state = apply(t, state, now, fail("intake-03"), fail("intake-04"))
	require.Error(t, actions[0].Check(state))
}

// TestDrainsWithinBudgets guards against a wave that leaves part of the availability budgets unused or exceeds them.
func TestDrainsWithinBudgets(t *testing.T) {
	state := newState(t)
	draft := state.Draft(now)
	actions := wave.New(wave.Config{}).Plan(now, draft)
	require.Len(t, actions, 4*2+3, "two in each serving pool and one in each data centre of the spare pool")
	require.Empty(t, wave.New(wave.Config{}).Plan(now, draft), "the budgets are used up")
	require.Equal(t, 6*time.Minute, wave.New(wave.Config{}).MinDuration(state, running, time.Minute))
	require.Equal(t, 5*time.Minute, wave.New(wave.Config{MaintainInSparePool: true}).MinDuration(state, running, time.Minute))
	require.Equal(t, 9, wave.RequiredInstances(state)["intake"])
	require.Equal(t, 7, wave.RequiredInstances(draft.State())["intake"], "instances out for the wave are not counted twice")
}

// TestWaveCompletes guards against a wave that stays open after its last instance, and against one that starts again once done.
func TestWaveCompletes(t *testing.T) {
	state := newState(t)
	for id := range state.Instances {
		state = apply(t, state, now.Add(time.Second), fail(id),
			fleet.Change{SetPhase: &fleet.SetPhase{ID: id, Phase: fleet.Serving, Maintained: true}})
	}
	later := now.Add(time.Hour)
	actions := wave.New(wave.Config{}).Plan(later, state.Draft(later))
	require.Len(t, actions, 1)
	require.Equal(t, fleet.WaveDone, actions[0].Changes[0].PutWave.State)
	state = apply(t, state, later, actions[0].Changes...)
	require.Empty(t, wave.New(wave.Config{}).Plan(later, state.Draft(later)))
}

// BenchmarkPlan measures the plan of a wave over 61 pools at three fleet sizes.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			state := apply(b, fleet.New(), now.Add(-time.Hour), model.NewSizedDeployment(workers).FleetChanges()...)
			state = apply(b, state, now, fleet.Change{PutWave: &running})
			planner := wave.New(wave.Config{})
			for b.Loop() {
				planner.Plan(now, state.Draft(now))
			}
		})
	}
}
