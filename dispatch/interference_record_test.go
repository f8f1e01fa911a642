package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// TestInterferenceRecord guards against a record that is written before the stored one is known, too often, again after each failure, or over that of a later
// leader; and against a next leader that does not know the verdicts.
func TestInterferenceRecord(t *testing.T) {
	scheduler := knownInterference(t, interference.ModeAvoid)
	_, _, unsaved := scheduler.UnsavedInterference(time.Second)
	require.False(t, unsaved, "the record is up to date")

	s := newInterferenceSimulation(interference.ModeObserve, 10, 2)
	for s.victimsDone < maxVictimRuns {
		s.run(time.Second)
	}
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now)
	require.False(t, unsaved, "the stored record is not known")
	s.scheduler.LoadInterference(interference.Record{}, 3, time.Hour, s.now)
	record, version, unsaved := s.scheduler.UnsavedInterference(s.now)
	require.True(t, unsaved)
	require.Equal(t, uint64(3), version)
	require.Equal(t, uint64(1), record.Epoch)
	require.Equal(t, time.Hour, record.At)
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now + time.Minute)
	require.False(t, unsaved, "a write is in flight")
	s.scheduler.InterferenceNotSaved(acaciatally.Record{})
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now + interferenceSaveInterval - time.Millisecond)
	require.False(t, unsaved, "too early after the failure")
	_, version, unsaved = s.scheduler.UnsavedInterference(s.now + interferenceSaveInterval)
	require.True(t, unsaved)
	require.Equal(t, uint64(3), version)
	s.scheduler.InterferenceNotSaved(acaciatally.Record{Version: 5, Value: interference.Record{Epoch: 1}.Encode()})
	record, version, unsaved = s.scheduler.UnsavedInterference(s.now + 2*interferenceSaveInterval)
	require.True(t, unsaved)
	require.Equal(t, uint64(5), version, "an earlier attempt took effect, or another leader wrote")
	s.scheduler.InterferenceSaved(record, 6)
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now + 4*interferenceSaveInterval)
	require.False(t, unsaved, "nothing has changed")

	next, eventLog := interferenceScheduler(interference.ModeAvoid)
	next.LoadInterference(record, 6, time.Hour+time.Second, 0)
	next.sweepInterference(0)
	require.Equal(t, 1, eventLog.counts[verdictFound])
	reportIdle(next, testWorker(1), testWorker(2))
	first := placeOne(next, "aa", imageStep("aggressor"))
	require.NotEqual(t, first, placeOne(next, "bb", imageStep("victim")))

	s.scheduler.interference.published.saved = interference.Record{}
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now + 5*interferenceSaveInterval)
	require.True(t, unsaved)
	s.scheduler.InterferenceNotSaved(acaciatally.Record{Version: 8, Value: interference.Record{Epoch: 2}.Encode()})
	_, _, unsaved = s.scheduler.UnsavedInterference(s.now + 9*interferenceSaveInterval)
	require.False(t, unsaved, "a later leader has written")
}

// TestInterferenceOff guards against work, records and a crash where interference is not observed.
func TestInterferenceOff(t *testing.T) {
	for _, mode := range []interference.Mode{"", interference.ModeOff} {
		scheduler, _ := interferenceScheduler(mode)
		require.Nil(t, scheduler.interference)
		scheduler.LoadInterference(knownRecord(), 1, time.Minute, 0)
		_, _, unsaved := scheduler.UnsavedInterference(time.Minute)
		require.False(t, unsaved)
		reportIdle(scheduler, testWorker(1))
		require.Len(t, placeOne(scheduler, "aa", imageStep("victim")), 1)
		require.Nil(t, scheduler.workers["i-1"].neighbours)
	}
}
