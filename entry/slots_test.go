package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
)

func newSlots(entries int, workers ...fleet.Instance) (slots *localSlots, state *fleet.State) {
	state = fleet.New()
	for _, worker := range workers {
		worker.Pool = "coating"
		state.Instances[worker.ID] = worker
	}
	return newLocalSlots(localSlotsConfig{
		State: func() *fleet.State { return state }, Entries: func() int { return entries }, MaxQueue: 2,
		Clock: acaciatally.SystemClock{}, Random: rand.New(rand.NewPCG(1, 1)),
	}), state
}

func acquire(slots *localSlots, urgency acaciatally.Urgency, patience time.Duration) (*acaciatally.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return slots.Acquire(ctx, acaciatally.Request{Pool: "coating", Urgency: urgency})
}

// Guards a worker's 64 connections against nine entries that each keep their own idle ones.
func TestIdleConnections(t *testing.T) {
	deployment := &settings.Settings{
		Entries: make([]settings.Entry, 9),
		Pools:   []settings.Pool{{Instances: []settings.Instance{{Slots: 8, Connections: 64}}}},
	}
	require.Equal(t, 6, idleConnections(deployment))
	deployment.Pools[0].Instances[0].Connections = 8
	require.Equal(t, 1, idleConnections(deployment))
}

// Guards the share of one entry among several, the bound of the queue, the order by urgency, and slots against being lost when
// a waiting caller leaves.
func TestLocalSlots(t *testing.T) {
	bubble(t, func(t *testing.T) {
		slots, _ := newSlots(9, fleet.Instance{ID: "a", Slots: 8, Phase: fleet.Serving}, fleet.Instance{ID: "b", Slots: 8, Phase: fleet.Draining})
		first, err := acquire(slots, acaciatally.Normal, time.Second)
		require.NoError(t, err)
		require.Equal(t, acaciatally.InstanceID("a"), first.Worker, "a draining worker gets no work")
		_, err = acquire(slots, acaciatally.Normal, time.Second)
		require.ErrorIs(t, err, context.DeadlineExceeded, "eight slots among nine entries are one each")
		order := make(chan acaciatally.Urgency, 2)
		wait := func(urgency acaciatally.Urgency) {
			grant, err := acquire(slots, urgency, time.Minute)
			require.NoError(t, err)
			order <- urgency
			grant.Release(acaciatally.AttemptResult{})
		}
		go wait(acaciatally.Background)
		synctest.Wait()
		go wait(acaciatally.Urgent)
		synctest.Wait()
		_, err = acquire(slots, acaciatally.Urgent, time.Minute)
		var refusal *acaciatally.Refusal
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		first.Release(acaciatally.AttemptResult{})
		first.Release(acaciatally.AttemptResult{})
		synctest.Wait()
		require.Equal(t, acaciatally.Urgent, <-order)
		require.Equal(t, acaciatally.Background, <-order)
		require.Empty(t, slots.inFlight)
	})
}

// Guards P6 on the local path: a worker that leaves service gets no more work, and waiting requests move to new workers.
func TestLocalSlotsFollowTheState(t *testing.T) {
	bubble(t, func(t *testing.T) {
		slots, state := newSlots(1, fleet.Instance{ID: "a", Slots: 1, Phase: fleet.Serving})
		_, err := acquire(slots, acaciatally.Normal, time.Second)
		require.NoError(t, err)
		granted := make(chan *acaciatally.Grant, 1)
		go func() {
			grant, _ := acquire(slots, acaciatally.Normal, time.Minute)
			granted <- grant
		}()
		synctest.Wait()
		next := fleet.New()
		next.Instances["b"] = fleet.Instance{ID: "b", Pool: "coating", Slots: 1, Phase: fleet.Serving}
		*state = *next
		slots.state = nil // the pointer of a new state differs
		slots.Refresh()
		require.Equal(t, acaciatally.InstanceID("b"), (<-granted).Worker)
	})
}

// Guards against a worker that fails fast and so looks the least loaded: after a failure it is used only when no other is free.
func TestFailingWorkerRests(t *testing.T) {
	bubble(t, func(t *testing.T) {
		slots, _ := newSlots(1, fleet.Instance{ID: "a", Slots: 100, Phase: fleet.Serving}, fleet.Instance{ID: "b", Slots: 100, Phase: fleet.Serving})
		failures := 0
		for range 100 {
			grant, err := acquire(slots, acaciatally.Normal, time.Second)
			require.NoError(t, err)
			if grant.Worker == "a" {
				failures++
				grant.Release(acaciatally.AttemptResult{Outcome: acaciatally.Unknown})
			}
		}
		require.Equal(t, 1, failures, "attempts on the failing worker within its rest")
		time.Sleep(failureRest)
		grant, err := acquire(slots, acaciatally.Normal, time.Second)
		require.NoError(t, err)
		require.Equal(t, acaciatally.InstanceID("a"), grant.Worker, "after its rest it is the less loaded one")
	})
}
