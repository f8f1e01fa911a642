package dispatch

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/acaciatally/acaciatally"
)

// A new leader has to wait until the lease of a worker that does not answer is surely over before it starts the worker's tasks again. It can't know when
// the leases were last extended, so it counts from its own start. Where leaders follow each other quickly, none of them would wait for long
// enough. So a leader stores which workers it has not reached since its start, and its successor goes on counting from there.

// SilenceTable is the table that holds the record of the workers that the leader has not reached.
const SilenceTable = "Silence"

// silenceNoticeTime is how long a worker with recorded runs may take to answer a new leader before it is stored as silent.
const silenceNoticeTime = time.Second

// SilenceKey is the key of the record in SilenceTable.
var SilenceKey = acaciatally.RecordKey{Table: SilenceTable, Key: "Workers"}

// Silence is the stored form of the workers with runs that the leader of an epoch has not reached since its start.
type Silence struct {
	Epoch uint64
	// Since holds, for each worker, a time on the store's clock after which no leader has extended its lease.
	Since map[acaciatally.WorkerID]time.Duration
}

// EncodeSilence returns the stored form of the record.
func EncodeSilence(record Silence) []byte {
	content, _ := json.Marshal(record) // a map of numbers always encodes
	return content
}

// silence is what a leader knows of silent workers.
type silence struct {
	loaded      bool
	startedAt   time.Duration                          // a time on the store's clock after the start of this leadership
	inherited   map[acaciatally.WorkerID]time.Duration // silent since the term of the leader before, on the store's clock
	silentSince map[acaciatally.WorkerID]time.Duration // the same on this leader's clock
	version     uint64                                 // of the stored record
	saved       map[acaciatally.WorkerID]time.Duration // stored by this leader
	mayBeStored map[acaciatally.WorkerID]bool          // named in the record of this leader, or in one whose outcome is not known
	inFlight    bool
	retryAt     time.Duration // of the next check
}

// LoadSilence handles the record as it was read after the start of this leadership, or the zero value if there is none. storeNow is the time on the
// store's clock then, and now a time on this leader's clock that is not earlier.
func (s *Scheduler) LoadSilence(stored Silence, version uint64, storeNow, now time.Duration) {
	if s.silence.loaded {
		return
	}
	s.silence.loaded, s.silence.version, s.silence.startedAt = true, version, storeNow
	if stored.Epoch+1 != s.config.Epoch {
		return // a leader in between may have reached these workers
	}
	s.silence.inherited = stored.Since
	s.silence.silentSince = map[acaciatally.WorkerID]time.Duration{}
	for id, since := range stored.Since {
		s.silence.silentSince[id] = now - max(0, storeNow-since)
	}
}

// lastExtension returns the latest time at which an earlier leader may have extended the lease of a worker that has not answered this one.
func (s *Scheduler) lastExtension(id acaciatally.WorkerID) time.Duration {
	if since, found := s.silence.silentSince[id]; found {
		return min(since, s.config.LeadershipStart)
	}
	return s.config.LeadershipStart
}

// UnsavedSilence returns the record of the workers that are silent now, and its version in the store, if the stored one is out of date.
func (s *Scheduler) UnsavedSilence(now time.Duration) (record Silence, version uint64, unsaved bool) {
	if !s.silence.loaded || s.silence.inFlight || now < s.silence.retryAt || now < s.config.LeadershipStart+silenceNoticeTime {
		return record, 0, false
	}
	s.silence.retryAt = now + checkInterval
	record = Silence{Epoch: s.config.Epoch, Since: map[acaciatally.WorkerID]time.Duration{}}
	for id, w := range s.workers {
		if len(w.runs) > 0 && !w.lost && w.reportedAt == 0 && w.restartedAt == 0 {
			record.Since[id] = s.silence.startedAt
			if since, found := s.silence.inherited[id]; found {
				record.Since[id] = since
			}
		}
	}
	outcomesKnown := len(s.silence.mayBeStored) == len(s.silence.saved)
	if outcomesKnown && maps.Equal(record.Since, s.silence.saved) {
		return record, 0, false
	}
	s.silence.inFlight = true
	for id := range record.Since {
		s.silence.mayBeStored[id] = true
	}
	return record, s.silence.version, true
}

// SilenceSaved handles that the record is stored as the version.
func (s *Scheduler) SilenceSaved(record Silence, version uint64) {
	s.silence.inFlight, s.silence.version, s.silence.saved = false, version, record.Since
	clear(s.silence.mayBeStored)
	for id := range record.Since {
		s.silence.mayBeStored[id] = true
	}
}

// SilenceNotSaved handles that the record may not be stored; version is that of the stored one, or 0 if it is not known.
func (s *Scheduler) SilenceNotSaved(version uint64, retryAt time.Duration) {
	s.silence.inFlight, s.silence.retryAt = false, retryAt
	if version > 0 {
		s.silence.version = version
	}
}
