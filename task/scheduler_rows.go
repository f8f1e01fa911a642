package task

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
)

// RowWrite is a row to be written under the condition that it still has the version.
type RowWrite struct {
	Key      string
	Version  uint64
	Value    []byte // empty deletes the row
	IndexKey string // key of the index row to be deleted with it; empty for none
}

// Load updates the tasks from rows of the table; a row whose version is already known changes nothing. It returns the IDs of tasks that have to
// wait in the inbox, because there is no memory for them, and the error of the last row that could not be decoded.
func (s *Scheduler) Load(rows []acaciatally.Row, now time.Time) (waiting []string, err error) {
	prefix := RowKey(s.config.Pool, "")
	for _, row := range rows {
		if known, found := s.jobs[strings.TrimPrefix(row.Key, prefix)]; found && known.version >= row.Version {
			known.readAt = now
			continue
		}
		record, decodeErr := Decode(row.Value)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		if s.mustWait(record) {
			waiting = append(waiting, record.Spec.ID)
			continue
		}
		s.loadRecord(record, row.Version, now)
	}
	return waiting, err
}

func (s *Scheduler) loadRecord(record Record, version uint64, now time.Time) {
	id := record.Spec.ID
	known, found := s.jobs[id]
	if record.Phase.Ended() && s.expire(record, version, now) {
		return
	}
	if !found {
		known = &job{useDeclared: s.config.Baseline != FullPolicy}
		s.jobs[id] = known
		s.observeLoadedRecord(record)
	}
	ownWrite := known.next != nil && bytes.Equal(known.next.Encode(), record.Encode())
	known.next = nil
	delete(s.dirty, id)
	s.setRecord(known, record, version, now, ownWrite)
}

// expire removes an ended task and schedules the deletion of its row; it returns false and does nothing if the retention has not passed.
func (s *Scheduler) expire(record Record, version uint64, now time.Time) bool {
	if now.Sub(record.Ended) < s.config.Retention {
		return false
	}
	s.expiredRows = append(s.expiredRows, RowWrite{
		Key: RowKey(s.config.Pool, record.Spec.ID), Version: version, IndexKey: indexKey(record.Spec.ID),
	})
	s.remove(record.Spec.ID)
	return true
}

// PendingWrites returns up to limit rows to be written, the most urgent tasks first. It sets the end of ended tasks to now, so that an
// outage of the table does not use up the retention.
func (s *Scheduler) PendingWrites(now time.Time, limit int) (writes []RowWrite) {
	pending := make([]*job, 0, len(s.dirty))
	for _, j := range s.dirty {
		pending = append(pending, j)
	}
	slices.SortFunc(pending, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.record.Spec.Urgency, b.record.Spec.Urgency), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range pending[:min(limit, len(pending))] {
		if j.next.Phase.Ended() {
			j.next.Ended = now
		}
		writes = append(writes, RowWrite{Key: RowKey(s.config.Pool, j.record.Spec.ID), Version: j.version, Value: j.next.Encode()})
	}
	expired := min(limit-len(writes), len(s.expiredRows))
	writes = append(writes, s.expiredRows[:expired]...)
	s.expiredRows = s.expiredRows[expired:]
	return writes
}

// ApplyWriteResults updates the scheduler after the rows were written with the given version.
func (s *Scheduler) ApplyWriteResults(writes []RowWrite, version uint64, now time.Time) {
	for _, write := range writes {
		record, err := Decode(write.Value)
		if err != nil || len(write.Value) == 0 {
			continue
		}
		j, found := s.jobs[record.Spec.ID]
		if !found || j.version >= version {
			continue
		}
		j.next, j.pendingDecisions = nil, nil
		delete(s.dirty, record.Spec.ID)
		s.setRecord(j, record, version, now, true)
	}
}

// rereadInterval is the interval at which the rows of live attempts are reread. It bounds how long a cancelled attempt keeps running
// when its stop order was lost. It is as long as the lease of an attempt, since each read uses the platform's budget: about 15 bytes a
// second for a running task.
const rereadInterval = time.Minute

// StaleKeys returns up to limit keys of tasks with live attempts whose rows have not been read for rereadInterval.
func (s *Scheduler) StaleKeys(now time.Time, limit int) (keys []string) {
	for _, j := range s.sortedLive() {
		if len(keys) < limit && now.Sub(j.readAt) >= rereadInterval {
			keys = append(keys, RowKey(s.config.Pool, j.record.Spec.ID))
		}
	}
	return keys
}

// WaitingKeys returns up to limit keys of waiting tasks, the oldest first.
func (s *Scheduler) WaitingKeys(limit int) (keys []string) {
	var waiting []*job
	for _, j := range s.jobs {
		if j.record.Phase == Waiting && j.next == nil {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(a.record.Accepted.Compare(b.record.Accepted), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range waiting[:min(limit, len(waiting))] {
		keys = append(keys, RowKey(s.config.Pool, j.record.Spec.ID))
	}
	return keys
}

// RowDeleted removes the task of a row that no longer exists.
func (s *Scheduler) RowDeleted(key string) {
	id, _ := strings.CutPrefix(key, RowKey(s.config.Pool, ""))
	s.remove(id)
}
