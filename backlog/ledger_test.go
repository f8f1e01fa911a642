package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const (
	testLimit = 1000 // bytes
	testQueue = acaciatally.QueueName("quotes")
)

var hot, calm = Source{Account: "hot"}, Source{Account: "calm"}

// TestState guards against one source that takes all memory, and against a record of the lease that grows while there is plenty.
func TestState(t *testing.T) {
	tests := map[string]struct {
		hot, calm int64
		left      bool
		wantNil   bool
		wantFree  int64 // of a source without jobs
		wantHot   int64
		wantCalm  int64
	}{
		"empty":                     {wantNil: true},
		"half":                      {hot: 500, wantNil: true},
		"one source alone":          {hot: 600, wantFree: 400, wantHot: 200, wantCalm: 400},
		"one source at its bound":   {hot: 667, wantFree: 333, wantHot: 0, wantCalm: 333},
		"two sources":               {hot: 500, calm: 100, wantFree: 400, wantHot: 300, wantCalm: 400},
		"beyond the limit":          {hot: 900, calm: 200, wantFree: 0, wantHot: 0, wantCalm: 0},
		"jobs left in the store":    {hot: 300, left: true, wantFree: 0, wantHot: 0, wantCalm: 0},
		"the other source has more": {hot: 100, calm: 550, wantFree: 350, wantHot: 350, wantCalm: 150},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(testLimit)
			ledger.Add(hot, testQueue, test.hot)
			ledger.Add(calm, testQueue, test.calm)
			state := ledger.State(test.left, time.Second)
			if test.wantNil {
				require.Nil(t, state)
				return
			}
			require.Equal(t, test.wantFree, state.of(Source{Queue: "plans"}).Free)
			require.Equal(t, test.wantHot, state.of(hot).Free)
			require.Equal(t, test.wantCalm, state.of(calm).Free)
		})
	}
}

// TestFits guards against a leader whose memory is full of the jobs of one queue, so that those of others never begin.
func TestFits(t *testing.T) {
	ledger := NewLedger(testLimit)
	ledger.Add(hot, testQueue, testLimit)
	require.False(t, ledger.Fits(testQueue, 1))
	require.True(t, ledger.Fits("plans", 125), "half of a quarter more for the second queue")
	require.False(t, ledger.Fits("plans", 126))
	require.False(t, ledger.Recovered(testQueue))
	require.True(t, ledger.Recovered("plans"), "it has nothing of its part")
	ledger.Add(hot, testQueue, -100)
	require.True(t, ledger.Recovered(testQueue))
	require.True(t, ledger.Fits(testQueue, 100))
	require.True(t, NewLedger(0).Fits(testQueue, 1<<40), "unlimited")
}

// TestRate guards against a time to return that is based on memory that was freed long ago, and against sources that are kept for ever.
func TestRate(t *testing.T) {
	ledger := NewLedger(testLimit)
	ledger.Add(hot, testQueue, 900)
	now := time.Duration(0)
	for range 60 {
		now += 500 * time.Millisecond
		ledger.Add(hot, testQueue, -10)
		ledger.Add(hot, testQueue, 10)
		ledger.State(false, now)
	}
	require.InDelta(t, 20, float64(ledger.State(false, now).of(hot).FreedPerSecond), 1)
	ledger.Add(hot, testQueue, -900)
	for range 240 {
		now += 500 * time.Millisecond
		ledger.State(false, now)
	}
	require.Empty(t, ledger.sources)
	require.Zero(t, ledger.Bytes())
}

// TestDefaultLimit guards against an entry that can't take over the jobs of one with more memory.
func TestDefaultLimit(t *testing.T) {
	require.Zero(t, DefaultLimit(0))
	require.Equal(t, int64(20<<20), DefaultLimit(100<<20))
	require.Equal(t, int64(MinLimit), DefaultLimit(1<<20))
	require.Equal(t, DefaultLimit(184<<20), DefaultLimit(1<<30))
}

// TestJobBytes guards against jobs whose memory is counted too low: by their texts, their steps, their tasks or their occurrences.
func TestJobBytes(t *testing.T) {
	small := acaciatally.JobSpec{Steps: []acaciatally.Step{{Count: 1}}}
	tests := map[string]struct {
		spec acaciatally.JobSpec
		open int
		more int64
	}{
		"payload":     {spec: acaciatally.JobSpec{Payload: "1234", Steps: small.Steps}, more: 4},
		"texts":       {spec: acaciatally.JobSpec{Steps: []acaciatally.Step{{Count: 1, Label: "12", NearRack: "345", Image: "6"}}}, more: 6},
		"tasks":       {spec: acaciatally.JobSpec{Steps: []acaciatally.Step{{Count: 11}}}, more: 10 * taskBytes},
		"steps":       {spec: acaciatally.JobSpec{Steps: []acaciatally.Step{{Count: 1}, {Count: 1, After: []int{0}}}}, more: stepBytes + taskBytes + indexBytes},
		"occurrences": {spec: small, open: 3, more: 2 * (occurrenceBytes + taskBytes)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, JobBytes(&small, 0)+test.more, JobBytes(&test.spec, test.open))
		})
	}
}
