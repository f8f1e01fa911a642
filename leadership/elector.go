package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

const (
	// callTimeout leaves time for a second renewal within the short term.
	callTimeout = 800 * time.Millisecond
	// retryTimeout is the timeout of a proposal after one whose response was lost, possibly because the store is slow.
	retryTimeout = 1300 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
	// maxWait bounds a wait for changes of the lease.
	maxWait = time.Second
)

// EventLog logs the events of the election.
type EventLog interface {
	// LeaderChanged logs a change of the leader; self reports whether it is this entry.
	LeaderChanged(row Row, version uint64, self bool)
	// RecordIgnored logs a record that can't be decoded.
	RecordIgnored(key acaciatally.RecordKey, version uint64, err error)
	// LeadershipChanged logs the start or end of a tenure of this entry, or an error during one.
	LeadershipChanged(epoch uint64, leads bool, reason string)
}

// ElectorConfig is the configuration of a Keeper.
type ElectorConfig struct {
	Lease    Config
	Store    acaciatally.RecordStore
	Now      func() time.Duration // monotonic clock that also runs during system suspend
	EventLog EventLog
	// Lead runs the leader until ctx ends and must not act after that.
	Lead func(ctx context.Context, epoch uint64)
}

// Elector takes part in the election and calls Lead while this entry holds the lease.
type Elector struct {
	config      ElectorConfig
	mutex       sync.Mutex
	lease       *Lease
	readVersion uint64 // store version up to which the lease table was read
	tenure      *tenure
	lastUnknown bool // the outcome of the last proposal is unknown
}

// tenure is a running call of Lead.
type tenure struct {
	epoch  uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// NewElector returns a keeper that is not running yet.
func NewElector(config ElectorConfig) *Elector {
	return &Elector{config: config, lease: New(config.Lease)}
}

// Leads reports whether this entry may act now as the leader of the epoch.
func (k *Elector) Leads(epoch uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Epoch() == epoch && k.lease.Leads(k.config.Now())
}

// Resign ends the tenure at once, because another leader was noticed.
func (k *Elector) Resign() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Resign()
}

// Run takes part in the election until ctx ends, then releases the lease.
func (k *Elector) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("leadership").Wrapf(err, "run leader election") }()
	for ctx.Err() == nil {
		step, delay := k.next()
		k.syncTenure(ctx)
		switch step {
		case Wait:
			k.wait(ctx, delay)
		case Renew, Acquire:
			k.propose(ctx)
		case RequestHandover:
			k.requestHandover(ctx)
		}
		k.syncTenure(ctx)
	}
	k.endTenure("stopping")
	k.release(context.WithoutCancel(ctx), "")
	return nil
}

func (k *Elector) next() (step Step, delay time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Next(k.config.Now())
}

// wait waits for a change of the lease, at most for the delay. A leader only sleeps.
func (k *Elector) wait(ctx context.Context, delay time.Duration) {
	delay = min(delay, maxWait)
	k.mutex.Lock()
	leads, known := k.lease.Leads(k.config.Now()), k.lease.known
	k.mutex.Unlock()
	if leads {
		acaciatally.Sleep(ctx, delay)
		return
	}
	if !known {
		k.readLease(ctx)
		return
	}
	followCtx, cancel := context.WithTimeout(ctx, delay+callTimeout) // bounds a call that the store does not answer
	defer cancel()
	page, err := k.config.Store.Follow(followCtx, Table, k.readVersion, delay)
	if errors.Is(err, acaciatally.ErrHistoryGone) {
		k.readLease(ctx)
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	k.setStoreReachable(err == nil)
	if err != nil {
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	k.readVersion = page.Version
	k.observe(page.Records)
}

// setStoreReachable records whether the last call of the store succeeded.
func (k *Elector) setStoreReachable(reachable bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.SetStoreReachable(reachable, k.config.Now())
}

func (k *Elector) readLease(ctx context.Context) {
	page, err := k.config.Store.Read(ctx, acaciatally.RecordRange{Table: Key.Table, Partition: Key.Partition})
	k.setStoreReachable(err == nil)
	if err != nil {
		acaciatally.Sleep(ctx, retryDelay)
		return
	}
	k.readVersion = page.Version
	if len(page.Records) == 0 {
		k.mutex.Lock()
		k.lease.Observe(Row{}, 0, k.config.Now())
		k.mutex.Unlock()
		return
	}
	k.observe(page.Records)
}

func (k *Elector) observe(records []acaciatally.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range records {
		var row Row
		if record.RecordKey != Key || record.Deleted {
			continue
		}
		if err := json.Unmarshal(record.Value, &row); err != nil {
			row = Row{} // a corrupt lease has no holder; its epoch is fenced by the owner records of the jobs
		}
		if row.Epoch != k.lease.row.Epoch {
			k.config.EventLog.LeaderChanged(row, record.Version, row.Holder == k.config.Lease.Self)
		}
		k.lease.Observe(row, record.Version, k.config.Now())
	}
}

// propose renews or acquires the lease.
func (k *Elector) propose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.proposalTimeout())
	defer cancel()
	k.mutex.Lock()
	row, version := k.lease.Proposal(k.config.Now())
	renews := k.lease.Leads(k.config.Now())
	k.mutex.Unlock()
	transaction, err := proposalTransaction(row, version, renews)
	if err != nil {
		k.config.EventLog.LeadershipChanged(row.Epoch, false, err.Error())
		return
	}
	sent := k.config.Now()
	committed, err := k.config.Store.Commit(ctx, transaction)
	k.lastUnknown = errors.Is(err, acaciatally.ErrUnknownCommit)
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		k.mutex.Lock()
		k.lease.Committed(row, committed, sent, k.config.Now())
		k.mutex.Unlock()
	case errors.As(err, &conflict):
		k.resolveConflict(ctx, conflict, version)
	default:
		k.mutex.Lock()
		k.lease.RenewalFailed(sent+retryDelay-k.config.Lease.RenewEvery, k.config.Now())
		k.lease.SetStoreReachable(false, k.config.Now())
		k.mutex.Unlock()
		acaciatally.Sleep(ctx, retryDelay)
	}
}

func (k *Elector) proposalTimeout() time.Duration {
	if k.lastUnknown {
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
func (k *Elector) resolveConflict(ctx context.Context, conflict *acaciatally.RecordConflictError, version uint64) {
	record, found := conflict.Find(Key)
	if !found {
		k.mutex.Lock()
		k.lease = New(k.config.Lease)
		k.mutex.Unlock()
		return
	}
	if request, requested := conflict.Find(HandoverRequestKey); requested && record.Version == version {
		k.handOver(ctx, request)
		return
	}
	if k.confirmRenewal(record) {
		return
	}
	k.observe([]acaciatally.Record{record})
}

// confirmRenewal extends the tenure and returns true if the record is a renewal of this entry whose response was lost.
func (k *Elector) confirmRenewal(record acaciatally.Record) bool {
	var row Row
	if json.Unmarshal(record.Value, &row) != nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.ConfirmRenewal(row, record.Version, k.config.Now())
}

// syncTenure starts or ends the tenure according to the lease.
func (k *Elector) syncTenure(ctx context.Context) {
	k.mutex.Lock()
	leads, epoch := k.lease.Leads(k.config.Now()), k.lease.Epoch()
	k.mutex.Unlock()
	if k.tenure != nil && (!leads || k.tenure.epoch != epoch) {
		k.endTenure("lease lost")
	}
	if !leads || k.tenure != nil || ctx.Err() != nil {
		return
	}
	k.config.EventLog.LeadershipChanged(epoch, true, "lease acquired")
	leadCtx, cancel := context.WithCancel(ctx)
	k.tenure = &tenure{epoch: epoch, cancel: cancel, done: make(chan struct{})}
	go func(done chan struct{}) {
		defer close(done)
		k.config.Lead(leadCtx, epoch)
	}(k.tenure.done)
}

func (k *Elector) endTenure(reason string) {
	if k.tenure == nil {
		return
	}
	k.config.EventLog.LeadershipChanged(k.tenure.epoch, false, reason)
	k.tenure.cancel()
	<-k.tenure.done
	k.tenure = nil
}
