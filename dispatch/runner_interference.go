package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// interferenceLoadRetry is the delay after a failed read of the record. Nothing waits for it.
const interferenceLoadRetry = time.Second

// loadInterference reads the record of the kinds of tasks that slow each other down. Dispatching does not wait for it.
func (r *Runner) loadInterference(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{
			Table: InterferenceKey.Table, From: InterferenceKey.Key, To: InterferenceKey.Key + "\x00",
		})
		if err != nil {
			acaciatally.Sleep(ctx, interferenceLoadRetry)
			continue
		}
		var stored interference.Record
		var version uint64
		for _, record := range page.Records {
			version = record.Version
			if stored, err = interference.DecodeRecord(record.Value); err != nil {
				r.config.Scheduler.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			}
		}
		now := r.config.Now()
		r.Post(ctx, func() { r.scheduler.LoadInterference(stored, version, page.Now, now) })
		return
	}
}

// storeInterference stores the record in place of a version of it. After a failure, the scheduler returns it again later.
func (r *Runner) storeInterference(ctx context.Context, record interference.Record, seen uint64) {
	if !r.config.Leads() {
		r.Post(ctx, func() { r.scheduler.InterferenceNotSaved(acaciatally.Record{}) })
		return
	}
	version, err := r.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: InterferenceKey, Version: seen}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: InterferenceKey, Value: record.Encode()}},
	})
	if err == nil {
		r.Post(ctx, func() { r.scheduler.InterferenceSaved(record, version) })
		return
	}
	var conflict *acaciatally.RecordConflictError
	var current acaciatally.Record
	if errors.As(err, &conflict) {
		current, _ = conflict.Find(InterferenceKey)
	}
	r.Post(ctx, func() { r.scheduler.InterferenceNotSaved(current) })
}
