package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// InterferenceTable is the table that holds the record of the kinds of tasks that slow each other down.
const InterferenceTable = "Interference"

// interferenceSaveInterval is the minimum time between two writes of the record.
const interferenceSaveInterval = 5 * time.Second

// InterferenceKey is the key of the record in InterferenceTable.
var InterferenceKey = acaciatally.RecordKey{Table: InterferenceTable, Key: "Verdicts"}

// interferenceRecord is what a leader knows of the stored record.
type interferenceRecord struct {
	loaded     bool
	superseded bool          // a later leader has written the record
	storeStart time.Duration // difference of the store's clock and this leader's
	version    uint64
	saved      interference.Record
	inFlight   bool
	retryAt    time.Duration
}

// LoadInterference handles the record as it was read after the start of this leadership, or the zero value if there is none. storeNow is the time on the
// store's clock then, and now the same time on this leader's clock.
func (s *Scheduler) LoadInterference(stored interference.Record, version uint64, storeNow, now time.Duration) {
	i := s.interference
	if i == nil || i.published.loaded {
		return
	}
	i.published.loaded, i.published.version, i.published.saved, i.published.storeStart = true, version, stored, storeNow-now
	i.detector.Merge(stored, storeNow-stored.At, now)
}

// UnsavedInterference returns the record of the present verdicts, and its version in the store, if the stored one is out of date.
func (s *Scheduler) UnsavedInterference(now time.Duration) (record interference.Record, version uint64, unsaved bool) {
	i := s.interference
	if i == nil || !i.published.loaded || i.published.superseded || i.published.inFlight || now < i.published.retryAt {
		return record, 0, false
	}
	i.published.retryAt = now + checkInterval
	record = i.detector.Record(now + i.published.storeStart)
	record.Epoch = s.config.Epoch
	if !record.Differs(i.published.saved) {
		return record, 0, false
	}
	i.published.inFlight, i.published.retryAt = true, now+interferenceSaveInterval
	return record, i.published.version, true
}

// InterferenceSaved handles that the record is stored as the version.
func (s *Scheduler) InterferenceSaved(record interference.Record, version uint64) {
	published := &s.interference.published
	published.inFlight, published.version, published.saved = false, version, record
}

// InterferenceNotSaved handles that the record may not be stored; current is the stored one if it is known, else its version is 0. A record of
// a later leader is left as it is.
func (s *Scheduler) InterferenceNotSaved(current acaciatally.Record) {
	published := &s.interference.published
	published.inFlight = false
	if current.Version == 0 {
		return
	}
	published.version = current.Version
	stored, err := interference.DecodeRecord(current.Value)
	published.superseded = err == nil && stored.Epoch > s.config.Epoch
}
