package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// Guards against calls that reach a later incarnation of their worker without a trace in the log.
func TestCallsAcrossRestartLogged(t *testing.T) {
	scheduler, eventLog := newScheduler()
	w, started := testWorker(1), time.Unix(100, 0)
	scheduler.SetDirectory([]acaciatally.Worker{w}, 0)
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: time.Minute, StartTime: started}, 0, time.Millisecond)
	renewals := scheduler.Renewals(time.Second)
	require.NotZero(t, renewals[0].Order.LeaseUntil)
	require.Zero(t, eventLog.counts["CallCrossedRestart Renewal"])
	scheduler.Report(w.ID, acaciatally.WorkerReport{Clock: time.Second, StartTime: started.Add(time.Hour)}, time.Second, 2*time.Second)
	require.Equal(t, 1, eventLog.counts["CallCrossedRestart Renewal"])
}
