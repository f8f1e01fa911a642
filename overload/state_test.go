package overload_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/overload"
)

func pressed(turn uint32, perMille int) *overload.State {
	return &overload.State{Turn: turn, Accounts: []overload.AccountState{
		{Account: "hot", PerMille: perMille, WaitMS: 2000, RetryMS: 5000, IntervalMS: 10_000},
	}}
}

func jobID(n int) acaciatally.JobID { return acaciatally.JobID(fmt.Sprintf("%016x", n)) }

// TestAdmit guards against entries that decide differently on a job, against refusals of accounts that are not published, and against a job
// that is refused at a higher share though it was admitted at a lower one.
func TestAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn, share := rapid.Uint32().Draw(t, "turn"), rapid.IntRange(0, 1000).Draw(t, "share")
		id := acaciatally.JobID(rapid.StringMatching("[0-9a-f]{16}").Draw(t, "id"))
		retryAfter, admitted := pressed(turn, share).Admit("hot", id, time.Second)
		encoded, err := json.Marshal(pressed(turn, share))
		require.NoError(t, err)
		elsewhere := &overload.State{}
		require.NoError(t, json.Unmarshal(encoded, elsewhere))
		retryElsewhere, admittedElsewhere := elsewhere.Admit("hot", id, time.Second)
		require.Equal(t, admitted, admittedElsewhere)
		require.Equal(t, retryAfter, retryElsewhere)
		if !admitted {
			require.GreaterOrEqual(t, retryAfter, 5*time.Second)
			require.Less(t, retryAfter, 15*time.Second)
			return
		}
		_, admitted = pressed(turn, min(1000, share+100)).Admit("hot", id, time.Second)
		require.True(t, admitted)
	})
	for _, account := range []acaciatally.AccountName{"", "other"} {
		_, admitted := pressed(1, 0).Admit(account, "1", 0)
		require.True(t, admitted)
	}
}

// TestAdmittedShare guards against a choice that differs from the published share, and against refusing jobs whose results would still be useful.
func TestAdmittedShare(t *testing.T) {
	tests := map[string]struct {
		slack time.Duration
		want  float64
	}{
		"useless after the wait":   {time.Second, 0.3},
		"slack as long":            {2 * time.Second, 0.3},
		"slack half longer":        {3 * time.Second, 0.65},
		"slack twice the wait":     {4 * time.Second, 1},
		"slack many times as long": {time.Minute, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const jobs = 20_000
			count := 0
			for n := range jobs {
				if _, admitted := pressed(3, 300).Admit("hot", jobID(n), test.slack); admitted {
					count++
				}
			}
			require.InDelta(t, test.want, float64(count)/jobs, 0.02)
		})
	}
}

// TestReturnsAreSpread guards against clients that return at the same moment: of the callers refused under one state, no second of the interval
// of ten seconds gets more than an eighth.
func TestReturnsAreSpread(t *testing.T) {
	bySecond, refused := map[int]int{}, 0
	for n := range 20_000 {
		if retryAfter, admitted := pressed(5, 100).Admit("hot", jobID(n), time.Second); !admitted {
			bySecond[int((retryAfter+time.Second-1)/time.Second)]++
			refused++
		}
	}
	require.Greater(t, refused, 17_000)
	for second, count := range bySecond {
		require.LessOrEqual(t, count, refused/8, "second %d", second)
	}
}

// TestReturningCallerGetsThrough guards against a choice by the job's ID alone, which refuses the same callers each time that they return.
func TestReturningCallerGetsThrough(t *testing.T) {
	const jobs, turns, share = 2000, 20, 300
	never := 0
	for n := range jobs {
		through := false
		for turn := range uint32(turns) {
			_, admitted := pressed(turn, share).Admit("hot", jobID(n), time.Second)
			through = through || admitted
		}
		if !through {
			never++
		}
	}
	require.Less(t, never, jobs/100) // 0.7 to the power of 20 is 0.0008
}

// TestSlack guards against a slack that leaves out the steps before the last one, or is so short that a normal wait exceeds it.
func TestSlack(t *testing.T) {
	queue := acaciatally.Queue{Objective: 600 * time.Millisecond, Stretch: 2}
	steps := []acaciatally.Step{
		{Estimate: time.Second}, {Estimate: 3 * time.Second}, {Estimate: 500 * time.Millisecond, After: []int{0}}, {After: []int{1, 2}},
	}
	require.Equal(t, 600*time.Millisecond+3*time.Second, overload.EstimatedSlack(&queue, steps))
	queue.Stretch = 1
	require.Equal(t, 500*time.Millisecond, overload.EstimatedSlack(&queue, steps))
}
