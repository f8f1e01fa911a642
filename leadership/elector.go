package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/overload"
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
	// LeaderChanged logs a change of the leader; version is that of the lease record, and self is true if the leader is this entry.
	LeaderChanged(row Row, version uint64, self bool)
	// RecordIgnored logs a record that can't be decoded.
	RecordIgnored(key acaciatally.RecordKey, version uint64, err error)
	// LeadershipChanged logs that this entry starts or stops leading, or that it failed to propose or release the lease or to request a
	// handover. The epoch is that of the lease, or 0 for a failed handover request.
	LeadershipChanged(epoch uint64, leads bool, reason string)
}

// ElectorConfig is the configuration of an Elector.
type ElectorConfig struct {
	Lease    Config
	Store    acaciatally.RecordStore
	Now      func() time.Duration // monotonic clock that also runs during system suspend
	EventLog EventLog
	// StartDelay returns the delay to publish with the lease while this entry leads; nil if there is none.
	StartDelay func() time.Duration
	// Overload returns the admission to publish with the lease while this entry leads; nil if there is none.
	Overload func() *overload.State
	// Backlog returns the room for new jobs to publish with the lease while this entry leads; nil if there is none.
	Backlog func() *backlog.State
	// Lead runs the leader until ctx ends and must not act after that.
	Lead func(ctx context.Context, epoch uint64)
}

// Elector takes part in the election and calls Lead while this entry holds the lease.
type Elector struct {
	config      ElectorConfig
	mutex       sync.Mutex
	lease       *Lease
	readVersion uint64          // store version up to which the lease table was read
	leadership  *leadershipTerm // nil while this entry does not lead
	lastUnknown bool            // the outcome of the last proposal is unknown
}

// leadershipTerm is a running call of Lead.
type leadershipTerm struct {
	epoch  uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// NewElector returns an elector that is not running yet.
func NewElector(config ElectorConfig) *Elector {
	return &Elector{config: config, lease: New(config.Lease)}
}

// Leads reports whether this entry may act now as the leader of the epoch.
func (e *Elector) Leads(epoch uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Epoch() == epoch && e.lease.Leads(e.config.Now())
}

// StartDelay returns how long the tasks of a job submitted now would wait for the leader to start them.
func (e *Elector) StartDelay() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.StartDelay(e.config.Now())
}

// Backlog returns the room for new jobs, or nil if there is plenty, and the version of the lease with which it was published.
func (e *Elector) Backlog() (state *backlog.State, version uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Backlog()
}

// Overload returns the admission of the new jobs of accounts under pressure, or nil.
func (e *Elector) Overload() *overload.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Overload(e.config.Now())
}

// Resign ends the leadership at once, because another leader was noticed; epoch is its epoch, or 0 if it is not known.
func (e *Elector) Resign(epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease.Resign(epoch)
}

// Run takes part in the election until ctx ends, then releases the lease.
func (e *Elector) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("leadership").Wrapf(err, "run leader election") }()
	for ctx.Err() == nil {
		step, delay := e.next()
		e.syncLeadership(ctx)
		switch step {
		case Wait:
			e.wait(ctx, delay)
		case Renew, Acquire:
			e.propose(ctx)
		case RequestHandover:
			e.requestHandover(ctx)
		}
		e.syncLeadership(ctx)
	}
	e.endLeadership("stopping")
	e.release(context.WithoutCancel(ctx), "")
	return nil
}

func (e *Elector) next() (step Step, delay time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Next(e.config.Now())
}

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

// propose renews or acquires the lease.
func (e *Elector) propose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.proposalTimeout())
	defer cancel()
	e.mutex.Lock()
	row, version := e.lease.Proposal(e.config.Now())
	renews := e.lease.Leads(e.config.Now())
	e.mutex.Unlock()
	if renews && e.config.StartDelay != nil {
		row.StartDelay = e.config.StartDelay()
	}
	if renews && e.config.Overload != nil {
		row.Overload = e.config.Overload()
	}
	if renews && e.config.Backlog != nil {
		row.Backlog = e.config.Backlog()
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

// syncLeadership starts or ends the leadership according to the lease.
func (e *Elector) syncLeadership(ctx context.Context) {
	e.mutex.Lock()
	leads, epoch := e.lease.Leads(e.config.Now()), e.lease.Epoch()
	e.mutex.Unlock()
	if e.leadership != nil && (!leads || e.leadership.epoch != epoch) {
		e.endLeadership("lease lost")
	}
	if !leads || e.leadership != nil || ctx.Err() != nil {
		return
	}
	e.config.EventLog.LeadershipChanged(epoch, true, "lease acquired")
	leadCtx, cancel := context.WithCancel(ctx)
	e.leadership = &leadershipTerm{epoch: epoch, cancel: cancel, done: make(chan struct{})}
	go func(done chan struct{}) {
		defer close(done)
		e.config.Lead(leadCtx, epoch)
	}(e.leadership.done)
}

func (e *Elector) endLeadership(reason string) {
	if e.leadership == nil {
		return
	}
	e.config.EventLog.LeadershipChanged(e.leadership.epoch, false, reason)
	e.leadership.cancel()
	<-e.leadership.done
	e.leadership = nil
}
