package site

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
)

// maxResponseAge is how long after the last response of the record store an entry still serves callers. It exceeds followTimeout plus the
// response time of a store that is a hundred times slower than usual.
const maxResponseAge = 1700 * time.Millisecond

// monitoredStore is a record store that records the time of its last response.
type monitoredStore struct {
	acaciatally.RecordStore
	now          func() time.Duration
	lastResponse atomic.Int64 // time of the last response in nanoseconds of the clock; 0 before the first one
}

// sinceLastResponse returns the time since the last response.
func (s *monitoredStore) sinceLastResponse() time.Duration {
	return s.now() - time.Duration(s.lastResponse.Load())
}

// reachable reports whether the last response is more recent than maxResponseAge.
func (s *monitoredStore) reachable() bool { return s.sinceLastResponse() < maxResponseAge }

// recordResult updates the time of the last response. Conflicts and compacted history are responses too.
func (s *monitoredStore) recordResult(err error) {
	var conflict *acaciatally.RecordConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, acaciatally.ErrHistoryGone) {
		s.lastResponse.Store(int64(s.now()))
	}
}

// Read calls the store and records the result.
func (s *monitoredStore) Read(ctx context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	defer func() { s.recordResult(err) }()
	return s.RecordStore.Read(ctx, selection)
}

// Commit calls the store and records the result.
func (s *monitoredStore) Commit(ctx context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	defer func() { s.recordResult(err) }()
	return s.RecordStore.Commit(ctx, transaction)
}

// Follow calls the store and records the result.
func (s *monitoredStore) Follow(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (page acaciatally.RecordPage, err error) {
	defer func() { s.recordResult(err) }()
	return s.RecordStore.Follow(ctx, table, after, wait)
}
