package leadership

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/acaciatally/acaciatally"
)

// requestHandover stores a handover request, unless there is one already.
func (e *Elector) requestHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(HandoverRequest{Candidate: e.config.Lease.Self})
	if err != nil {
		e.config.EventLog.LeadershipChanged(0, false, "handover request failed: "+err.Error())
		return
	}
	_, err = e.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: HandoverRequestKey}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: HandoverRequestKey, Value: value}},
	})
	var conflict *acaciatally.RecordConflictError
	if err != nil && !errors.As(err, &conflict) {
		e.setStoreReachable(false)
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease.HandoverRequested()
}

// handOver ends the leadership and releases the lease for the entry that requested it.
func (e *Elector) handOver(ctx context.Context, record acaciatally.Record) {
	var request HandoverRequest
	if err := json.Unmarshal(record.Value, &request); err != nil {
		e.config.EventLog.RecordIgnored(record.RecordKey, record.Version, err) // without a candidate, any entry may acquire the lease at once
	}
	e.endLeadership("handed over to " + request.Candidate)
	e.release(ctx, request.Candidate)
}

// release releases the lease, so that another entry can acquire it without waiting for the end of the term.
func (e *Elector) release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.tryRelease(ctx, successor)
	var conflict *acaciatally.RecordConflictError
	if errors.As(err, &conflict) {
		if record, found := conflict.Find(Key); found && e.confirmRenewal(record) { // the last renewal was applied, but its response was lost
			err = e.tryRelease(ctx, successor)
		}
	}
	if err == nil {
		return
	}
	e.mutex.Lock()
	epoch := e.lease.Epoch()
	e.mutex.Unlock()
	e.Resign(0)
	e.config.EventLog.LeadershipChanged(epoch, false, "lease release failed: "+err.Error())
}

func (e *Elector) tryRelease(ctx context.Context, successor string) (err error) {
	e.mutex.Lock()
	leads := e.lease.Leads(e.config.Now())
	row, version := e.lease.ReleaseProposal(successor)
	e.mutex.Unlock()
	if !leads {
		return nil
	}
	transaction, err := replaceLease(row, version)
	if err != nil {
		return err
	}
	transaction.Deletes = []acaciatally.RecordKey{HandoverRequestKey}
	if version, err = e.config.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease.Observe(row, version, e.config.Now())
	return nil
}
