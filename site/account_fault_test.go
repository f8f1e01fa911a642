package site_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// accountDeployment returns a deployment with an account, whose key is in force, and an entry of it that does not lead.
func accountDeployment(t *testing.T) (d *deployment, e *entry) {
	d = newDeployment(t, 3)
	d.addInstances("intake", 2)
	d.configureAccounts(2, accountKeys{"a": {"a-1"}})
	time.Sleep(applyTime)
	return d, d.nonLeader()
}

// TestKeysAfterPause guards against an entry that wakes from a pause and accepts a removed key by the configuration that it had before, as soon as
// the store answers it again but before it has read the new configuration.
func TestKeysAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, e := accountDeployment(t)
		e.faults.HangTable("op")            // its answers are late
		time.Sleep(1100 * time.Millisecond) // until the call that was waiting for a change has ended
		d.configureAccounts(3, accountKeys{"a": {"a-2"}})
		e.paused.Add(int64(10 * time.Second))
		time.Sleep(500 * time.Millisecond) // the store has answered other calls
		require.Equal(t, http.StatusOK, d.status(e, http.MethodPost, openA, ""), "the store is reachable")
		require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodPost, quoteA, "a-1"))
		require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodPost, quoteA, "a-2"))
		e.faults.HangTable("")
		time.Sleep(applyTime)
		require.Equal(t, http.StatusUnauthorized, d.status(e, http.MethodPost, quoteA, "a-1"))
		require.Equal(t, http.StatusOK, d.status(e, http.MethodPost, quoteA, "a-2"))
	})
}

// TestKeysAfterLostResponses guards against an entry that uses an old configuration for longer than the platform allows, or that refuses valid keys,
// because responses to the calls with which it waits for changes are lost.
func TestKeysAfterLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.configureAccounts(2, accountKeys{"a": {"a-1"}, "b": {"b-1"}})
		time.Sleep(applyTime)
		e := d.nonLeader()
		e.faults.HangFeeds("op", 3)
		time.Sleep(1100 * time.Millisecond) // until the first of these calls was sent
		d.configureAccounts(3, accountKeys{"a": {"a-2"}, "b": {"b-1"}})
		publishedAt := time.Now()
		for time.Since(publishedAt) < 15*time.Second {
			require.Equal(t, http.StatusOK, d.status(e, http.MethodGet, "/quotes/", "b-1"), "after %s", time.Since(publishedAt))
			if time.Since(publishedAt) > applyTime {
				require.Equal(t, http.StatusOK, d.status(e, http.MethodGet, "/quotes/", "a-2"), "after %s", time.Since(publishedAt))
				require.Equal(t, http.StatusUnauthorized, d.status(e, http.MethodGet, "/quotes/", "a-1"), "after %s", time.Since(publishedAt))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestKeysWithSlowStore guards against refusals of valid keys, and against keys that take effect late, while the store is 60 or 200 times slower than
// usual.
func TestKeysWithSlowStore(t *testing.T) {
	for _, delay := range []time.Duration{240 * time.Millisecond, 750 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t, 2)
			d.configureAccounts(2, accountKeys{"a": {"a-1"}, "b": {"b-1"}})
			time.Sleep(applyTime)
			for _, e := range d.entries {
				e.faults.SetDelay(delay)
			}
			time.Sleep(2 * time.Second)
			d.configureAccounts(3, accountKeys{"a": {"a-2"}, "b": {"b-1"}})
			publishedAt := time.Now()
			for time.Since(publishedAt) < 15*time.Second {
				sentAt := time.Now()
				e := d.nonLeader()
				require.Equal(t, http.StatusOK, d.status(e, http.MethodGet, "/quotes/", "b-1"))
				removed := d.status(e, http.MethodGet, "/quotes/", "a-1")
				if sentAt.Sub(publishedAt) > applyTime {
					require.NotEqual(t, http.StatusOK, removed)
					require.Equal(t, http.StatusOK, d.status(e, http.MethodGet, "/quotes/", "a-2"))
				}
			}
		})
	}
}

// TestCallsWithAccounts guards against calls to the store that accounts cause while nothing has failed, and against calls without a pause while the
// newest configuration can't be decoded.
func TestCallsWithAccounts(t *testing.T) {
	callsIn := func(configure func(d *deployment)) (reads, feeds int) {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t, 2)
			configure(d)
			time.Sleep(10 * time.Second)
			e := d.nonLeader()
			reads, feeds = e.faults.Calls("/-/rows-get"), e.faults.Calls("/-/rows-feed")
			time.Sleep(time.Minute)
			reads, feeds = e.faults.Calls("/-/rows-get")-reads, e.faults.Calls("/-/rows-feed")-feeds
		})
		return reads, feeds
	}
	reads, feeds := callsIn(func(*deployment) {})
	readsWith, feedsWith := callsIn(func(d *deployment) { d.configureAccounts(2, accountKeys{"a": {"a-1"}}) })
	const phase = 2 // calls by which the minutes may differ
	require.InDelta(t, reads, readsWith, phase)
	require.InDelta(t, feeds, feedsWith, phase)
	readsWith, feedsWith = callsIn(func(d *deployment) {
		d.configureAccounts(2, accountKeys{"a": {"a-1"}})
		time.Sleep(time.Second)
		d.store.PutRaw(emulator.Row{Table: "op", Key: "config", Value: []byte("{")})
	})
	require.InDelta(t, reads, readsWith, phase)
	require.InDelta(t, feeds, feedsWith, phase)
}

// TestStartDuringOutage guards against an entry that starts while the store is not available and answers about keys, and against one that does not
// serve afterwards.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.configureAccounts(2, accountKeys{"a": {"a-1"}})
		time.Sleep(applyTime)
		d.entries[0].faults.FailWithStatus(http.StatusServiceUnavailable)
		e := d.addEntryWithFaults(func(f *emulator.Faults) { f.Hang(true) })
		time.Sleep(100 * time.Millisecond) // until it listens
		for range 20 {
			for _, key := range []string{"a-1", "c-1", ""} {
				require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodPost, quoteA, key))
			}
			time.Sleep(500 * time.Millisecond)
		}
		e.faults.Hang(false)
		time.Sleep(applyTime)
		require.Equal(t, http.StatusOK, d.status(e, http.MethodPost, quoteA, "a-1"))
		require.Equal(t, http.StatusUnauthorized, d.status(e, http.MethodPost, quoteA, "c-1"))
	})
}

// TestEntryCutFromStore guards against an entry that uses a removed key while it can't reach the store at all, and against a 401 to a valid key
// once it can again.
func TestEntryCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, e := accountDeployment(t)
		e.faults.Hang(true)
		cutAt := time.Now()
		d.configureAccounts(3, accountKeys{"a": {"a-2"}})
		for time.Since(cutAt) < 10*time.Second {
			if time.Since(cutAt) > applyTime {
				require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodPost, quoteA, "a-1"))
				require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodPost, quoteA, "a-2"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		e.faults.Hang(false)
		for range 60 {
			require.NotEqual(t, http.StatusUnauthorized, d.status(e, http.MethodPost, quoteA, "a-2"))
			require.NotEqual(t, http.StatusOK, d.status(e, http.MethodPost, quoteB, "a-1"))
			time.Sleep(50 * time.Millisecond)
		}
		require.Equal(t, http.StatusOK, d.status(e, http.MethodPost, quoteA, "a-2"))
		require.Equal(t, http.StatusUnauthorized, d.status(e, http.MethodPost, quoteB, "a-1"))
	})
}

// TestUndecodableConfigurationWithKeys guards against keys that stay valid for good because the configuration that removes them can't be decoded, and
// against a deployment that stops for callers of public queues because of it.
func TestUndecodableConfigurationWithKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2)
		d.addInstances("intake", 2)
		d.configureAccounts(2, accountKeys{"a": {"a-1"}})
		time.Sleep(applyTime)
		d.store.PutRaw(emulator.Row{Table: "op", Key: "config", Value: []byte(`{"version":3,"tenants":"?"}`)})
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, d.status(d.entries[0], http.MethodPost, quoteA, "a-1"), "the last configuration stays in force")
		time.Sleep(revocationTime)
		d.store.Compact() // a new read of the table does not make the configuration newer
		time.Sleep(2 * time.Second)
		for _, e := range d.entries {
			require.Equal(t, http.StatusServiceUnavailable, d.status(e, http.MethodGet, quoteA, "a-1"))
			require.Equal(t, http.StatusOK, d.status(e, http.MethodPost, openA, ""))
		}
		d.configureAccounts(4, accountKeys{"a": {"a-1"}})
		time.Sleep(applyTime)
		require.Equal(t, http.StatusOK, d.status(d.entries[0], http.MethodGet, quoteA, "a-1"))
	})
}
