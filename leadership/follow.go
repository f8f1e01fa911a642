package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
)

// maxWait bounds a wait for changes of the lease.
const maxWait = time.Second

// wait waits for a change of the lease, at most for the delay. A leader only sleeps.
func (e *Elector) wait(ctx context.Context, delay time.Duration) {
	delay = min(delay, maxWait)
	e.mutex.Lock()
	leads, known := e.lease.Leads(e.config.Now()), e.lease.known
	e.mutex.Unlock()
	if leads {
		acaciatally.Sleep(ctx, delay)
		return
	}
	if !known {
		e.readLease(ctx)
		return
	}
	followCtx, cancel := context.WithTimeout(ctx, delay+callTimeout) // bounds a call that the store does not answer
	defer cancel()
	page, err := e.config.Store.Follow(followCtx, Table, e.readVersion, delay)
	if errors.Is(err, acaciatally.ErrHistoryGone) {
		e.readLease(ctx)
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	e.setStoreReachable(err == nil)
	if err != nil {
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	e.readVersion = page.Version
	e.observe(page.Records)
}

// setStoreReachable records whether the last call of the store succeeded.
func (e *Elector) setStoreReachable(reachable bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease.SetStoreReachable(reachable, e.config.Now())
}

// readLease reads the current lease from the store.
func (e *Elector) readLease(ctx context.Context) {
	page, err := e.config.Store.Read(ctx, acaciatally.RecordRange{Table: Key.Table, Partition: Key.Partition})
	e.setStoreReachable(err == nil)
	if err != nil {
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	e.readVersion = page.Version
	if len(page.Records) == 0 {
		e.mutex.Lock()
		e.lease.Observe(Row{}, 0, e.config.Now())
		e.mutex.Unlock()
		return
	}
	e.observe(page.Records)
}

// observe passes the changes of the lease among the records on to its state machine.
func (e *Elector) observe(records []acaciatally.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, record := range records {
		var row Row
		if record.RecordKey != Key || record.Deleted {
			continue
		}
		if err := json.Unmarshal(record.Value, &row); err != nil {
			e.config.EventLog.RecordIgnored(record.RecordKey, record.Version, err)
			e.lease.ObserveUndecodable(record.Version, e.config.Now())
			continue
		}
		if row.Epoch != e.lease.row.Epoch {
			e.config.EventLog.LeaderChanged(row, record.Version, row.Holder == e.config.Lease.Self)
		}
		e.lease.Observe(row, record.Version, e.config.Now())
	}
}
