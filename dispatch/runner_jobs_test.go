package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// slowReader returns the records of a partition as they were when it was asked, a second later.
type slowReader struct {
	callCounter
	accepted []acaciatally.Record
}

func (s *slowReader) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	if selection.Table == job.AcceptedTable {
		page.Records, page.Version = s.accepted, 10
		time.Sleep(time.Second)
	}
	return page, nil
}

func acceptedRecord(t *testing.T, id string, version uint64) acaciatally.Record {
	t.Helper()
	value, err := job.EncodeAccepted(job.Accepted{Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(1, 1000)}}, Queue: acaciatally.Queue{Name: "new"}})
	require.NoError(t, err)
	return acaciatally.Record{RecordKey: job.AcceptedKey("new", acaciatally.JobID(id)), Value: value, Version: version}
}

// TestRecordsDuringLoad guards against jobs and cancellations that the leader never sees because they are recorded while it reads the
// partition of a queue that had no jobs before: the job was not run until the next leader, and a cancelled one was run.
func TestRecordsDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := acceptedRecord(t, "0000000000000001", 10)
		second := acceptedRecord(t, "0000000000000002", 11)
		cancel := acaciatally.Record{RecordKey: job.CancelKey("new", "0000000000000001"), Value: job.MarkerValue, Version: 12}
		_, eventLog := newScheduler()
		ctx, stop := context.WithCancel(t.Context())
		r := NewRunner(RunnerConfig{
			Store: &slowReader{accepted: []acaciatally.Record{first}}, Leads: func() bool { return true }, Now: func() time.Duration { return time.Second },
			Configuration: func() *acaciatally.Configuration { return nil }, Scheduler: Config{Epoch: 1, EventLog: eventLog},
		})
		go func() { _ = r.eventLoop(ctx) }()
		r.Post(ctx, func() { r.handleJobRecords(ctx, []acaciatally.Record{first}) })
		time.Sleep(500 * time.Millisecond)
		r.Post(ctx, func() { r.handleJobRecords(ctx, []acaciatally.Record{second, cancel}) })
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, eventLog.counts["JobLoaded"])
		require.Equal(t, 1, eventLog.counts["JobEnded "+string(acaciatally.JobCancelled)])
		stop()
		r.calls.Wait()
	})
}
