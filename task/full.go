package task

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// taskBytes is the memory of a task without its command: its record, decisions, failures and the state of its attempt.
	taskBytes = 2 << 10
	// endedBytes is the memory of an ended task, which is kept until its row expires.
	endedBytes = 1 << 10
	// memoryShare is the share of an entry's memory for the tasks of all pools, any of which it may control.
	memoryShare = 0.2
	// minBytes is enough for some tasks with the largest command, however small the memory is.
	minBytes = 1 << 20
	// roomShare is the share of MaxBytes below which a pool that was full accepts tasks again.
	roomShare = 0.9
	// fullCheckInterval is how long a frontend uses what it has read about a pool.
	fullCheckInterval = 250 * time.Millisecond
	// fullRetryAfter is the time after which a task that was refused because its pool is full may be submitted again.
	fullRetryAfter = 10 * time.Second
	// fullPrefix is the prefix of rows without a value that mark the pools whose controller has no memory for more tasks.
	fullPrefix = "TaskFull/"
)

func fullKey(pool acaciatally.PoolName) string { return fullPrefix + string(pool) }

// DefaultMaxBytes returns the memory for the tasks of one of several pools, in an entry with the given memory in bytes; 0 is unlimited.
func DefaultMaxBytes(memory int64, pools int) int64 {
	if memory <= 0 {
		return 0
	}
	return max(minBytes, int64(memoryShare*float64(memory))/int64(max(1, pools)))
}

// resize counts the memory of a job after its record has changed.
func (s *Scheduler) resize(j *job) {
	size := taskBytes + int64(len(j.record.Spec.Command))
	if j.record.Phase.Ended() {
		size = endedBytes + int64(len(j.record.Spec.Command))
	}
	s.bytes += size - j.bytes
	j.bytes = size
}

// remove removes a task.
func (s *Scheduler) remove(id string) {
	if j := s.jobs[id]; j != nil {
		s.bytes -= j.bytes
	}
	delete(s.jobs, id)
	delete(s.live, id)
	delete(s.dirty, id)
}

// Full reports whether there is no memory for more tasks. Once it was full, a pool is full until some of its memory is free again.
func (s *Scheduler) Full() bool {
	if s.config.MaxBytes == 0 {
		return false
	}
	limit := s.config.MaxBytes
	if s.full {
		limit = int64(roomShare * float64(limit))
	}
	s.full = s.bytes >= limit
	return s.full
}

// mustWait reports whether a task that is not loaded has to wait in the inbox: it has never been placed, and there is no memory for it.
func (s *Scheduler) mustWait(record Record) bool {
	return record.Phase == Waiting && record.Attempt == 0 && s.jobs[record.Spec.ID] == nil && s.Full()
}

// fullPools is what a frontend has read about which pools are full.
type fullPools struct {
	full      map[acaciatally.PoolName]bool
	checkedAt map[acaciatally.PoolName]time.Time
}

// isFull returns whether a pool is full. While the table can't be read, it uses what it has read before.
func (f *Frontend) isFull(ctx context.Context, pool acaciatally.PoolName) bool {
	now := f.config.Clock.Now()
	if checked, known := f.pools.checkedAt[pool]; known && now.Sub(checked) < fullCheckInterval {
		return f.pools.full[pool]
	}
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	rows, err := f.config.Table.Read(ctx, fullKey(pool))
	f.pools.checkedAt[pool] = f.config.Clock.Now()
	if err == nil {
		f.pools.full[pool] = len(rows) > 0
	}
	return f.pools.full[pool]
}

// refuseFull settles the submissions to pools that are full: those that were accepted before as such, and the others with a refusal.
func (f *Frontend) refuseFull(ctx context.Context, batch []*submission) {
	var refused []*submission
	for _, call := range batch {
		if f.isFull(ctx, call.spec.Pool) {
			refused = append(refused, call)
		}
	}
	if len(refused) == 0 {
		return
	}
	ids := make([]string, 0, len(refused))
	for _, call := range refused {
		ids = append(ids, call.spec.ID)
	}
	found, err := f.find(ctx, ids)
	if err != nil {
		return // the transaction decides
	}
	settleFound(refused, found)
	for _, call := range refused {
		call.settle(Record{}, &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "the tasks that were accepted take all memory there is for them", RetryAfter: fullRetryAfter,
		})
	}
}
