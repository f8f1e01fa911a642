package changelog_test

import (
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// TestSnapshots guards against a log that is unreadable after pruning, and against pruning too early.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store := newTable(), &memoryObjects{content: map[string][]byte{}}
		config := changelog.Config{Table: shared, Objects: store, SnapshotInterval: 10}
		writer, lagging := changelog.New(config), changelog.New(config)
		commitAll(t, writer, 1, 3)
		require.NoError(t, lagging.Poll(t.Context()))
		commitAll(t, writer, 4, 25)
		require.NoError(t, writer.Compact(t.Context()))
		require.Equal(t, uint64(1), writer.Counters().Snapshots)
		require.Zero(t, writer.Counters().Pruned, "records younger than the retention stay")
		time.Sleep(25 * time.Hour)
		commitAll(t, writer, 26, 28)
		require.NoError(t, writer.Compact(t.Context()))
		require.Equal(t, uint64(25), writer.Counters().Pruned)
		rows, err := shared.Scan(t.Context(), "Command/", "", 100)
		require.NoError(t, err)
		require.Len(t, rows, 3)
		for name, log := range map[string]*changelog.Log{"new": changelog.New(config), "lagging": lagging} {
			require.NoError(t, log.Poll(t.Context()), name)
			require.Equal(t, encode(t, writer.State()), encode(t, log.State()), name)
		}
	})
}

func encode(t *testing.T, state *fleet.State) string {
	t.Helper()
	content, err := json.Marshal(state)
	require.NoError(t, err)
	return string(content)
}

// TestImportState guards against a view whose version decreases, and against commits based on a view that was not read from the platform.
func TestImportState(t *testing.T) {
	shared := newTable()
	first, second := changelog.New(changelog.Config{Table: shared}), changelog.New(changelog.Config{Table: shared})
	commitAll(t, first, 1, 2)
	old := first.State()
	commitAll(t, first, 3, 5)
	shared.setDown(true)
	second.ImportState(old)
	records, complete := first.RecordsSince(2)
	require.True(t, complete)
	require.Error(t, second.ImportRecords(records[1:]...), "records after a gap are rejected")
	require.NoError(t, second.ImportRecords(records...))
	second.ImportState(old)
	require.Equal(t, uint64(5), second.State().Version)
	_, err := second.Commit(t.Context(), putTeam("6", 6))
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	shared.setDown(false)
	commitAll(t, second, 6, 6)
	require.NoError(t, first.Poll(t.Context()))
	require.Equal(t, encode(t, first.State()), encode(t, second.State()))
}

// TestHangingPlatform guards against reads of the state that block on the platform, and against concurrent polls.
func TestHangingPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		shared.delay = time.Hour
		log := changelog.New(changelog.Config{Table: shared})
		group := sync.WaitGroup{}
		for range 20 {
			group.Go(func() { _ = log.Poll(t.Context()) })
		}
		group.Go(func() { _, _ = log.Commit(t.Context(), putTeam("1", 1)) })
		synctest.Wait()
		start := time.Now()
		require.Zero(t, log.State().Version)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, shared.calls)
		group.Wait()
		require.LessOrEqual(t, time.Since(start), 5*time.Second)
	})
}
