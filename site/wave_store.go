package site

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/roster"
)

// waveTable is the table with the progress of each maintenance wave.
const waveTable = "Wave"

// waveStore reads and writes the stored progress of waves for one leader.
type waveStore struct {
	store  acaciatally.RecordStore
	epoch  uint64 // of the leader
	status func(number int, completed bool) (write acaciatally.RecordWrite)
}

// storedWave is the stored form of the progress of a wave.
type storedWave struct {
	roster.WaveRecord
	Epoch uint64 // of the leader that wrote it
}

func waveKey(number int) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: waveTable, Key: strconv.Itoa(number)}
}

// read returns the stored progress of a wave and the version of its record, which are zero if there is none.
func (s *waveStore) read(ctx context.Context, number int) (record roster.WaveRecord, version uint64, err error) {
	key := waveKey(number)
	page, err := s.store.Read(ctx, acaciatally.RecordRange{Table: key.Table, From: key.Key, To: key.Key + "\x00"})
	if err != nil || len(page.Records) == 0 {
		return record, 0, err
	}
	var stored storedWave
	err = json.Unmarshal(page.Records[0].Value, &stored)
	return stored.WaveRecord, page.Records[0].Version, err
}

// waveWriteResult is the result of writing the progress of a wave.
type waveWriteResult struct {
	stored     bool
	version    uint64 // of the record as it is now; 0 if that is not known
	newerEpoch uint64 // epoch of a later leader that has written the record; 0 if there is none
}

// write stores the progress of a wave in place of the version that this leader has seen, with the operators' status. A write of an earlier leader
// that is applied late does not replace it.
func (s *waveStore) write(ctx context.Context, record roster.WaveRecord, seen uint64) (result waveWriteResult) {
	key := waveKey(record.Number)
	value, err := json.Marshal(storedWave{WaveRecord: record, Epoch: s.epoch})
	if err != nil {
		return result
	}
	version, err := s.store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: key, Version: seen}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: key, Value: value}, s.status(record.Number, record.Completed)},
	})
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		return waveWriteResult{stored: true, version: version}
	case errors.As(err, &conflict):
		return s.resolveConflict(key, conflict)
	}
	return result
}

// resolveConflict returns the version of a record that has changed since this leader saw it: by an earlier attempt of its own whose answer was lost,
// by a late write of an earlier leader, or by a later leader.
func (s *waveStore) resolveConflict(key acaciatally.RecordKey, conflict *acaciatally.RecordConflictError) (result waveWriteResult) {
	current, found := conflict.Find(key)
	if !found {
		return result
	}
	result.version = current.Version
	var stored storedWave
	if json.Unmarshal(current.Value, &stored) == nil && stored.Epoch > s.epoch {
		result.newerEpoch = stored.Epoch
	}
	return result
}
