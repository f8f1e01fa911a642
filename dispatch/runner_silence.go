package dispatch

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/acaciatally/acaciatally"
)

// loadSilence reads the record of silent workers and returns the version of the store then.
func (r *Runner) loadSilence(ctx context.Context) (version uint64, err error) {
	page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: SilenceKey.Table, From: SilenceKey.Key, To: SilenceKey.Key + "\x00"})
	if err != nil {
		return 0, err
	}
	var stored Silence
	var recordVersion uint64
	for _, record := range page.Records {
		recordVersion = record.Version
		if err := json.Unmarshal(record.Value, &stored); err != nil {
			r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			stored = Silence{}
		}
	}
	now := r.config.Now()
	r.Post(ctx, func() { r.scheduler.LoadSilence(stored, recordVersion, page.Now, now) })
	return page.Version, nil
}

// storeSilence stores the record of silent workers in place of a version of it.
func (r *Runner) storeSilence(ctx context.Context, record Silence, seen uint64) {
	version, err := r.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: SilenceKey, Version: seen}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: SilenceKey, Value: EncodeSilence(record)}},
	})
	if err == nil {
		r.Post(ctx, func() { r.scheduler.SilenceSaved(record, version) })
		return
	}
	var conflict *acaciatally.RecordConflictError
	current := uint64(0)
	if errors.As(err, &conflict) {
		found, _ := conflict.Find(SilenceKey)
		current = found.Version
	}
	r.Post(ctx, func() { r.scheduler.SilenceNotSaved(current, r.config.Now()+commitRetry) })
}
