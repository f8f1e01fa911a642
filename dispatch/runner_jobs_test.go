package dispatch

import (
	"context"
	"sync"
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

// lateQueueStore is a store in which the first job of a queue is accepted right after the partitions were listed for the first time.
type lateQueueStore struct {
	callCounter
	mutex    sync.Mutex
	accepted acaciatally.Record
	written  bool
}

func (s *lateQueueStore) Partitions(context.Context, string) (partitions []string, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.written {
		return []string{s.accepted.Partition}, nil
	}
	s.written = true
	return nil, nil
}

// page returns the accepted record if it is written and newer than a version.
func (s *lateQueueStore) page(after uint64) (page acaciatally.RecordPage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page.Version = s.accepted.Version - 1
	if s.written {
		page.Version = s.accepted.Version
	}
	if s.written && s.accepted.Version > after {
		page.Records = []acaciatally.Record{s.accepted}
	}
	return page
}

func (s *lateQueueStore) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	page = s.page(0)
	if selection.Table != job.AcceptedTable {
		page.Records = nil
	}
	return page, nil
}

func (s *lateQueueStore) Follow(_ context.Context, _ string, after uint64, wait time.Duration) (page acaciatally.RecordPage, err error) {
	time.Sleep(wait)
	return s.page(after), nil
}

// TestFirstJobDuringTakeover guards against a job that never runs because it is the first one of its queue and was accepted after a new
// leader had listed the partitions, but before it knew from which version to follow them.
func TestFirstJobDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, eventLog := newScheduler()
		ctx, stop := context.WithCancel(t.Context())
		store := &lateQueueStore{accepted: acceptedRecord(t, "0000000000000001", 10)}
		r := NewRunner(RunnerConfig{
			Store: store, Orders: store, Leads: func() bool { return true }, Now: func() time.Duration { return time.Second },
			Configuration: func() *acaciatally.Configuration { return nil }, Scheduler: Config{Epoch: 1, EventLog: eventLog},
		})
		r.runCall(func() { _ = r.eventLoop(ctx) })
		r.runCall(func() { _ = r.followJobs(ctx) })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		stop()
		r.calls.Wait()
		require.Equal(t, 1, eventLog.counts["JobLoaded"])
	})
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
		synctest.Wait()
		require.Equal(t, 2, eventLog.counts["JobLoaded"])
		require.Equal(t, 1, eventLog.counts["JobEnded "+string(acaciatally.JobCancelled)])
		stop()
		r.calls.Wait()
	})
}
