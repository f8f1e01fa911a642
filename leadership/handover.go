package leadership

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/acaciatally/acaciatally"
)

// requestHandover stores a handover request, unless there is one already.
func (k *Elector) requestHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(HandoverRequest{Candidate: k.config.Lease.Self})
	if err != nil {
		k.config.EventLog.LeadershipChanged(0, false, "handover request failed: "+err.Error())
		return
	}
	_, err = k.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: HandoverRequestKey}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: HandoverRequestKey, Value: value}},
	})
	var conflict *acaciatally.RecordConflictError
	if err != nil && !errors.As(err, &conflict) {
		k.setStoreReachable(false)
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.HandoverRequested()
}

// handOver ends the tenure and releases the lease for the entry that requested it.
func (k *Elector) handOver(ctx context.Context, record acaciatally.Record) {
	var request HandoverRequest
	if err := json.Unmarshal(record.Value, &request); err != nil {
		k.config.EventLog.RecordIgnored(record.RecordKey, record.Version, err) // without a candidate, any entry may acquire the lease at once
	}
	k.endTenure("handed over to " + request.Candidate)
	k.release(ctx, request.Candidate)
}

// release releases the lease, so that another entry can acquire it without waiting for the end of the term.
func (k *Elector) release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.tryRelease(ctx, successor)
	var conflict *acaciatally.RecordConflictError
	if errors.As(err, &conflict) {
		if record, found := conflict.Find(Key); found && k.confirmRenewal(record) { // the last renewal was applied, but its response was lost
			err = k.tryRelease(ctx, successor)
		}
	}
	if err == nil {
		return
	}
	k.mutex.Lock()
	epoch := k.lease.Epoch()
	k.mutex.Unlock()
	k.Resign()
	k.config.EventLog.LeadershipChanged(epoch, false, "lease release failed: "+err.Error())
}

func (k *Elector) tryRelease(ctx context.Context, successor string) (err error) {
	k.mutex.Lock()
	leads := k.lease.Leads(k.config.Now())
	row, version := k.lease.ReleaseProposal(successor)
	k.mutex.Unlock()
	if !leads {
		return nil
	}
	transaction, err := replaceLease(row, version)
	if err != nil {
		return err
	}
	transaction.Deletes = []acaciatally.RecordKey{HandoverRequestKey}
	if version, err = k.config.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Observe(row, version, k.config.Now())
	return nil
}
