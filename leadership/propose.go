package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
)

// propose renews or acquires the lease.
func (e *Elector) propose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.proposalTimeout())
	defer cancel()
	e.mutex.Lock()
	row, version := e.lease.Proposal(e.config.Now())
	renews := e.lease.Leads(e.config.Now())
	e.mutex.Unlock()
	if renews {
		e.addPublished(&row)
	}
	transaction, err := proposalTransaction(row, version, renews)
	if err != nil {
		e.config.EventLog.LeadershipChanged(row.Epoch, false, err.Error())
		return
	}
	sent := e.config.Now()
	committed, err := e.config.Store.Commit(ctx, transaction)
	e.lastUnknown = errors.Is(err, acaciatally.ErrUnknownCommit)
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		e.mutex.Lock()
		e.lease.Committed(row, committed, sent, e.config.Now())
		e.mutex.Unlock()
	case errors.As(err, &conflict):
		e.resolveConflict(ctx, conflict, version)
	default:
		e.mutex.Lock()
		e.lease.RenewalFailed(sent+retryDelay-e.config.Lease.RenewEvery, e.config.Now())
		e.lease.SetStoreReachable(false, e.config.Now())
		e.mutex.Unlock()
		acaciatally.Sleep(ctx, retryDelay)
	}
}

// addPublished adds to a renewal what the leader publishes with the lease.
func (e *Elector) addPublished(row *Row) {
	if e.config.StartDelay != nil {
		row.StartDelay = e.config.StartDelay()
	}
	if e.config.Overload != nil {
		row.Overload = e.config.Overload()
	}
	if e.config.Backlog != nil {
		row.Backlog = e.config.Backlog()
	}
}

// proposalTimeout returns the timeout of the next proposal.
func (e *Elector) proposalTimeout() time.Duration {
	if e.lastUnknown {
		return retryTimeout
	}
	return callTimeout
}

// proposalTransaction returns the transaction that acquires the lease, or renews it unless a handover was requested.
func proposalTransaction(row Row, version uint64, renews bool) (transaction acaciatally.RecordTransaction, err error) {
	transaction, err = replaceLease(row, version)
	switch {
	case !renews:
		transaction.Deletes = []acaciatally.RecordKey{HandoverRequestKey} // a request to the previous holder
	case row.Lag >= minDelayGain:
		transaction.Conditions = append(transaction.Conditions, acaciatally.RecordCondition{RecordKey: HandoverRequestKey})
	}
	return transaction, err
}

// replaceLease returns the transaction that replaces the lease if it is still at the version.
func replaceLease(row Row, version uint64) (transaction acaciatally.RecordTransaction, err error) {
	value, err := json.Marshal(row)
	return acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: Key, Version: version}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: Key, Value: value}},
	}, err
}

// resolveConflict handles the records that conflict with a proposal on a version. A lease whose acquisition was applied without a response
// is acquired again with the next epoch.
func (e *Elector) resolveConflict(ctx context.Context, conflict *acaciatally.RecordConflictError, version uint64) {
	record, found := conflict.Find(Key)
	if !found {
		e.mutex.Lock()
		e.lease = e.lease.forgotten()
		e.mutex.Unlock()
		return
	}
	if request, requested := conflict.Find(HandoverRequestKey); requested && record.Version == version {
		e.handOver(ctx, request)
		return
	}
	if e.confirmRenewal(record) {
		return
	}
	e.observe([]acaciatally.Record{record})
}

// confirmRenewal extends the leadership and returns true if the record is a renewal of this entry whose response was lost.
func (e *Elector) confirmRenewal(record acaciatally.Record) bool {
	var row Row
	if json.Unmarshal(record.Value, &row) != nil {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.ConfirmRenewal(row, record.Version, e.config.Now())
}
