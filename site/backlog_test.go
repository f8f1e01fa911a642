package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
	"github.com/acaciatally/acaciatally/site"
)

// smallBacklog is a limit on the memory of jobs that twelve jobs of smallJob reach.
const smallBacklog = 40 << 10

func smallJob() map[string]any { return emulator.Job(emulator.Step(4, 1000)) }

func quotePath(number int) string { return fmt.Sprintf("/quotes/%016x", number) }

// limitBacklog sets the limit of the processes that are started from now on.
func (d *deployment) limitBacklog(bytes int64) {
	d.adaptConfig = func(config *site.Config) { config.MaxBacklogBytes = bytes }
}

// submitQuotes submits jobs by turns at all entries and returns the paths of those that were accepted. All others have to be refused with a time to
// return.
func (d *deployment) submitQuotes(count int) (accepted []string) {
	d.t.Helper()
	for number := range count {
		status, _ := d.call(d.entries[number%len(d.entries)], http.MethodPost, quotePath(number), smallJob())
		if status == http.StatusOK {
			accepted = append(accepted, quotePath(number))
			continue
		}
		require.Equal(d.t, http.StatusTooManyRequests, status)
	}
	return accepted
}

// TestBacklogFull guards against jobs that take more and more memory of the leader: those beyond the limit are refused before they are accepted, and
// what was accepted runs once there are workers. A queue without jobs has room meanwhile.
func TestBacklogFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 0)
		d.limitBacklog(smallBacklog)
		for range 3 {
			d.addEntry()
		}
		time.Sleep(4 * time.Second)
		var accepted []string
		for round := range 20 {
			for number := range 5 {
				path := quotePath(round*5 + number)
				if status, _ := d.call(d.entries[number%3], http.MethodPost, path, smallJob()); status == http.StatusOK {
					accepted = append(accepted, path)
				}
			}
			time.Sleep(time.Second)
		}
		require.Less(t, len(accepted), 15, "a source may fill two thirds of the limit")
		require.GreaterOrEqual(t, len(accepted), 5)
		status, _ := d.call(d.entries[0], http.MethodPost, accepted[0], smallJob())
		require.Equal(t, http.StatusOK, status, "the repetition of an accepted call")
		status, _ = d.call(d.entries[1], http.MethodPost, "/plans/00000000000000aa", smallJob())
		require.Equal(t, http.StatusOK, status, "another queue")
		d.addInstances("intake", 2)
		for _, path := range accepted {
			d.awaitState(d.entries[2], path, "completed", 30*time.Second)
		}
		d.submit(d.entries[0], "/quotes/00000000000000bb", smallJob())
		d.checkNoDuplicateRuns()
	})
}

// TestInheritedBacklogBeyondMemory guards against a leader that takes over more jobs than fit into its memory: it leaves some in the record store until
// others have ended, refuses new ones, ends those that are cancelled, and loses none when the history of the store is gone.
func TestInheritedBacklogBeyondMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1) // without a limit
		time.Sleep(4 * time.Second)
		const jobs = 60
		accepted := d.submitQuotes(jobs)
		require.Len(t, accepted, jobs)
		d.limitBacklog(smallBacklog)
		log := &sharedLog{}
		d.log = log
		next := d.addEntry()
		time.Sleep(2 * time.Second)
		d.entries[0].stop()
		<-d.entries[0].done
		time.Sleep(5 * time.Second)
		require.Equal(t, next, d.leader())
		require.True(t, log.contains(`"Full":true`), "some jobs stay in the store")
		require.False(t, log.contains(`"Full":false`))
		for _, path := range accepted {
			require.Equal(t, "queued", d.state(next, path))
		}
		status, _ := d.call(next, http.MethodPost, accepted[0], smallJob())
		require.Equal(t, http.StatusOK, status, "the repetition of an accepted call")
		status, _ = d.call(next, http.MethodPost, "/plans/00000000000000aa", smallJob())
		require.Equal(t, http.StatusTooManyRequests, status)
		cancelled := accepted[jobs-5:]
		for _, path := range cancelled {
			status, _ = d.call(next, http.MethodDelete, path, nil)
			require.Equal(t, http.StatusOK, status)
		}
		for _, path := range cancelled {
			d.awaitState(next, path, "cancelled", 3*time.Second)
		}
		d.store.Compact()
		d.addInstances("intake", 2)
		for _, path := range accepted[:jobs-5] {
			d.awaitState(next, path, "completed", time.Minute)
		}
		d.checkNoDuplicateRuns()
		require.True(t, log.contains(`"Full":false`), "all are loaded")
		time.Sleep(2 * time.Second)
		d.submit(next, "/plans/00000000000000aa", smallJob())
		require.Empty(t, d.store.Rows("Waiting")[1:], "only the last job waits")
	})
}

// TestScheduledBacklog guards against a job whose occurrences take more memory than there is: those that do not fit are opened once others are done.
func TestScheduledBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 0)
		d.limitBacklog(smallBacklog)
		d.addEntry()
		time.Sleep(4 * time.Second)
		repeated := smallJob()
		repeated["repeatCount"], repeated["startAtMs"], repeated["intervalMs"] = 40, time.Now().UnixMilli(), 1
		d.submit(d.entries[0], quotePath(1), repeated)
		time.Sleep(3 * time.Second)
		d.addInstances("intake", 1)
		d.awaitState(d.entries[0], quotePath(1), "completed", time.Minute)
		d.checkNoDuplicateRuns()
	})
}
