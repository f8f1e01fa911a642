package site

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/roster"
)

// recordStoreOfOne is a record store of one partition in memory, for reads of one record.
type recordStoreOfOne struct {
	acaciatally.RecordStore
	records map[acaciatally.RecordKey]acaciatally.Record
	version uint64
}

func (s *recordStoreOfOne) Read(_ context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	key := acaciatally.RecordKey{Table: selection.Table, Partition: selection.Partition, Key: selection.From}
	if record, found := s.records[key]; found {
		page.Records = []acaciatally.Record{record}
	}
	return page, nil
}

func (s *recordStoreOfOne) Commit(_ context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	conflict := &acaciatally.RecordConflictError{}
	failed := false
	for _, condition := range transaction.Conditions {
		record, found := s.records[condition.RecordKey]
		failed = failed || record.Version != condition.Version
		if found {
			conflict.Current = append(conflict.Current, record)
		}
	}
	if failed {
		return 0, conflict
	}
	s.version++
	for _, write := range transaction.Writes {
		s.records[write.RecordKey] = acaciatally.Record{RecordKey: write.RecordKey, Value: write.Value, Version: s.version}
	}
	return s.version, nil
}

// TestWaveRecordOfOtherLeaders guards against the progress of a wave that a write of an earlier leader replaces when it is applied late, and against
// a leader that overwrites the progress of a later one.
func TestWaveRecordOfOtherLeaders(t *testing.T) {
	const wave = 1
	record := func(begun string) roster.WaveRecord {
		return roster.WaveRecord{Number: wave, Begun: []acaciatally.InstanceID{acaciatally.InstanceID(begun)}}
	}
	store := &recordStoreOfOne{records: map[acaciatally.RecordKey]acaciatally.Record{}}
	status := func(int, bool) acaciatally.RecordWrite {
		return acaciatally.RecordWrite{RecordKey: acaciatally.RecordKey{Table: "status", Key: "wave"}, Value: []byte("{}")}
	}
	earlier, later := &waveStore{store: store, epoch: 3, status: status}, &waveStore{store: store, epoch: 4, status: status}
	ctx := t.Context()
	first := earlier.write(ctx, record("m-1"), 0)
	require.True(t, first.stored)

	read, seen, err := later.read(ctx, wave)
	require.NoError(t, err)
	require.Equal(t, record("m-1"), read)
	require.Equal(t, first.version, seen)
	second := earlier.write(ctx, record("m-2"), first.version) // applied after the later leader has read the record
	require.True(t, second.stored)
	changed := later.write(ctx, record("m-3"), seen)
	require.Equal(t, waveWriteResult{version: second.version}, changed, "the record has changed since it was read")
	stored := later.write(ctx, record("m-3"), changed.version)
	require.True(t, stored.stored)

	late := earlier.write(ctx, record("m-2"), second.version)
	require.Equal(t, waveWriteResult{version: stored.version, newerEpoch: later.epoch}, late)
	read, _, err = later.read(ctx, wave)
	require.NoError(t, err)
	require.Equal(t, record("m-3"), read)
}
