package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// memoryStore is a record store in memory, with a partition that is slow to read.
type memoryStore struct {
	mutex         sync.Mutex
	rows          map[acaciatally.RecordKey]acaciatally.Record
	version       uint64
	slowPartition string
	slowFor       time.Duration
	historyGone   bool            // the next call of Follow fails
	hidden        map[string]bool // partitions whose changes no feed shows
}

func (s *memoryStore) write(key acaciatally.RecordKey, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[key] = acaciatally.Record{RecordKey: key, Value: value, Version: s.version}
}

func (s *memoryStore) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	if selection.Partition == s.slowPartition && selection.Partition != "" && selection.Table == job.ProgressTable {
		time.Sleep(s.slowFor)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page.Version = s.version
	for key, record := range s.rows {
		if key.Table == selection.Table && key.Partition == selection.Partition {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

func (s *memoryStore) Partitions(_ context.Context, table string) (partitions []string, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]bool{}
	for key := range s.rows {
		if key.Table == table && !found[key.Partition] {
			found[key.Partition] = true
			partitions = append(partitions, key.Partition)
		}
	}
	return partitions, nil
}

func (s *memoryStore) Commit(_ context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		if s.rows[condition.RecordKey].Version != condition.Version {
			return 0, &acaciatally.RecordConflictError{Current: []acaciatally.Record{s.rows[condition.RecordKey]}}
		}
	}
	s.version++
	for _, write := range transaction.Writes {
		s.rows[write.RecordKey] = acaciatally.Record{RecordKey: write.RecordKey, Value: write.Value, Version: s.version}
	}
	for _, key := range transaction.Deletes {
		delete(s.rows, key)
	}
	return s.version, nil
}

func (s *memoryStore) Follow(_ context.Context, table string, after uint64, wait time.Duration) (page acaciatally.RecordPage, err error) {
	time.Sleep(wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.historyGone && table == job.AcceptedTable {
		s.historyGone = false
		return page, acaciatally.ErrHistoryGone
	}
	page.Version = s.version
	for key, record := range s.rows {
		if key.Table == table && record.Version > after && !s.hidden[key.Partition] {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// memoryWorkers are workers whose runs end only when they are stopped.
type memoryWorkers struct {
	acaciatally.WorkerOrders
	mutex  sync.Mutex
	runs   map[acaciatally.WorkerID]map[acaciatally.TaskRef]int
	starts []time.Time
}

func (w *memoryWorkers) Start(_ context.Context, worker acaciatally.Worker, order acaciatally.StartOrder) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[worker.ID][order.Task] = order.Attempt
	w.starts = append(w.starts, time.Now())
	return nil
}

func (w *memoryWorkers) Stop(_ context.Context, worker acaciatally.Worker, order acaciatally.RunOrder) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.runs[worker.ID], order.Task)
	return nil
}

func (w *memoryWorkers) Renew(
	_ context.Context, worker acaciatally.Worker, order acaciatally.RenewOrder,
) (report acaciatally.WorkerReport, err error) {
	time.Sleep(order.Wait)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	report = acaciatally.WorkerReport{Clock: time.Hour, StartTime: worker.StartTime}
	for task, attempt := range w.runs[worker.ID] {
		report.Running = append(report.Running, acaciatally.RunningTask{Task: task, Attempt: attempt, Percent: 100})
	}
	return report, nil
}

// count returns the number of runs on all workers.
func (w *memoryWorkers) count() (runs int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, onWorker := range w.runs {
		runs += len(onWorker)
	}
	return runs
}

// writeJob records a job of testAccount in the partition of a queue.
func (s *memoryStore) writeJob(t *testing.T, queue acaciatally.QueueName, id acaciatally.JobID, progress job.Progress, tasks int) {
	t.Helper()
	step := testStep(tasks, 1000)
	step.LongRunning = true // is never stopped as stalled
	accepted := accountAccepted(testAccount, step)
	accepted.Queue.Name = queue
	value, err := job.EncodeAccepted(accepted)
	require.NoError(t, err)
	encoded, err := job.EncodeProgress(progress)
	require.NoError(t, err)
	s.write(job.ProgressKey(queue, id), encoded)
	s.write(job.AcceptedKey(queue, id), value)
}

// TestMaximumAcrossLoads guards against starts beyond an account's maximum by a leader that does not know all runs: while it still reads a
// partition, and when partitions appear later or are found when the history of the store is gone.
func TestMaximumAcrossLoads(t *testing.T) {
	const loadTime = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		_, eventLog := newScheduler()
		store := &memoryStore{
			rows: map[acaciatally.RecordKey]acaciatally.Record{}, slowPartition: "slow", slowFor: loadTime, hidden: map[string]bool{"unseen": true},
		}
		workers := &memoryWorkers{runs: map[acaciatally.WorkerID]map[acaciatally.TaskRef]int{"i-1": {}, "i-2": {{Job: "02"}: 1}}}
		for _, w := range []acaciatally.Worker{testWorker(1), testWorker(2)} {
			value, err := json.Marshal(w)
			require.NoError(t, err)
			store.write(acaciatally.RecordKey{Table: "Workers", Key: string(w.ID)}, value)
		}
		queued := job.Progress{State: acaciatally.JobQueued}
		store.writeJob(t, "fast", "01", queued, 5)
		store.writeJob(t, "slow", "02", progressWith(acaciatally.JobRunning, "i-2"), 1)
		var configuration atomic.Pointer[acaciatally.Configuration]
		configure := func(version uint64, processors int) {
			configuration.Store(&acaciatally.Configuration{Version: version, Accounts: map[acaciatally.AccountName]acaciatally.Account{
				testAccount: {Name: testAccount, Maximum: acaciatally.ResourceVector{Processors: processors}},
			}})
		}
		configure(1, 3000)
		ctx, stop := context.WithCancel(t.Context())
		r := NewRunner(RunnerConfig{
			Store: store, Orders: workers, WorkerTable: "Workers", Leads: func() bool { return true }, Configuration: configuration.Load,
			Now: func() time.Duration { return time.Hour + time.Since(begin) }, OnLeadershipLost: func(uint64) {},
			DecodeWorker: func(record acaciatally.Record) (w acaciatally.Worker, err error) {
				return w, json.Unmarshal(record.Value, &w)
			},
			Scheduler: Config{
				Epoch: 1, WorkerLease: 6 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute, EventLog: eventLog, LeadershipStart: time.Hour,
			},
		})
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(loadTime + 2*time.Second)
		synctest.Wait()
		require.Equal(t, 3, workers.count(), "the account has its maximum")
		require.GreaterOrEqual(t, workers.starts[0].Sub(begin), loadTime, "nothing is placed before all partitions are loaded")
		store.writeJob(t, "later", "03", queued, 5) // its partition appears in the feed
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, 3, workers.count())
		store.writeJob(t, "unseen", "04", queued, 5) // its partition is found once the history is gone
		store.mutex.Lock()
		store.historyGone = true
		store.mutex.Unlock()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, 3, workers.count())
		require.Equal(t, 4, eventLog.counts["JobLoaded"])
		configure(2, 12_000)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 12, workers.count(), "jobs of all partitions start")
		stop()
		require.NoError(t, <-done)
		require.Positive(t, eventLog.counts["AccountUsage"])
	})
}
