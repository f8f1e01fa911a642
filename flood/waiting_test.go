package flood

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestWaitingCount guards against callers that ask at the same time how many jobs wait, each of which took a copy of the list.
func TestWaitingCount(t *testing.T) {
	const waitingJobs, clients = 40_000, 300
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	for number := range waitingJobs {
		key := job.WaitingKey("plans", acaciatally.JobID(fmt.Sprintf("%016x", number)))
		store.PutRaw(emulator.Row{Table: key.Table, Part: key.Partition, Key: key.Key, Value: job.MarkerValue})
	}
	p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
	stop := p.watch()
	var asking sync.WaitGroup
	for range clients {
		asking.Go(func() { p.request(http.MethodGet, p.callers, "/plans/", "") })
	}
	asking.Wait()
	status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
	counted, count := p.request(http.MethodGet, p.callers, "/plans/", "")
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, status, content)
	require.Equal(t, http.StatusOK, counted, count)
	var waiting struct{ Pending int }
	require.NoError(t, json.Unmarshal([]byte(count), &waiting))
	require.Equal(t, waitingJobs, waiting.Pending)
}
