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
	// callTimeout leaves room for a second renewal within the shortest term.
	callTimeout = 800 * time.Millisecond
	// repeatTimeout is for a renewal after one without answer, which the store may have been too slow to give.
	repeatTimeout = 1300 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	longestWait   = time.Second
)

// Journal takes a line for each change of the leader and of the contact with the store.
type Journal interface {
	// Leader notes who leads now; age is how old that knowledge is.
	Leader(row Row, version uint64, self bool)
	// EntryIgnored notes a record that can't be decoded.
	EntryIgnored(key acaciatally.RecordKey, version uint64, err error)
	// Tenure notes the begin or end of this entry's own right to act.
	Tenure(epoch uint64, leads bool, reason string)
}

// KeeperConfig is what a Keeper needs.
type KeeperConfig struct {
	Lease   Config
	Store   acaciatally.RecordStore
	Now     func() time.Duration // monotonic clock that counts suspension
	Journal Journal
	// Lead acts as the leader until ctx ends; it must not act after that.
	Lead func(ctx context.Context, epoch uint64)
}

// Keeper takes part in the election and leads while this entry holds the lease.
type Keeper struct {
	config KeeperConfig
	mutex  sync.Mutex
	lease  *Lease
	from   uint64 // newest version of the store that was read, from which the feed goes on
	tenure *tenure
	repeat bool // the last proposal had no answer
}

// tenure is a running call of Lead.
type tenure struct {
	epoch uint64
	stop  context.CancelFunc
	done  chan struct{}
}

// NewKeeper returns a keeper that is not yet running.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, lease: New(config.Lease)}
}

// Leads reports whether this entry may act as the leader of the epoch now.
func (k *Keeper) Leads(epoch uint64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Epoch() == epoch && k.lease.Leads(k.config.Now())
}

// Resign ends the tenure because another leader was noticed.
func (k *Keeper) Resign() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Resign()
}

// Run takes part in the election until ctx ends, and then gives up the lease.
func (k *Keeper) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("leadership").Wrapf(err, "keep lease") }()
	for ctx.Err() == nil {
		step, again := k.next()
		k.adjust(ctx)
		switch step {
		case Wait:
			k.wait(ctx, again)
		case Renew, Take:
			k.propose(ctx)
		case Demand:
			k.demand(ctx)
		}
		k.adjust(ctx)
	}
	k.end("stopping")
	k.release(context.WithoutCancel(ctx), "")
	return nil
}

func (k *Keeper) next() (step Step, again time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Next(k.config.Now())
}

// wait passes the time by waiting for a change of the lease.
func (k *Keeper) wait(ctx context.Context, again time.Duration) {
	again = min(again, longestWait)
	k.mutex.Lock()
	leads, seen := k.lease.Leads(k.config.Now()), k.lease.seen
	k.mutex.Unlock()
	if leads {
		acaciatally.Pause(ctx, again)
		return
	}
	if !seen {
		k.read(ctx)
		return
	}
	following, cancel := context.WithTimeout(ctx, again+callTimeout) // a silent store is asked again soon
	defer cancel()
	page, err := k.config.Store.Follow(following, Table, k.from, again)
	if errors.Is(err, acaciatally.ErrHistoryGone) {
		k.read(ctx)
		acaciatally.Pause(ctx, retryPause)
		return
	}
	k.contact(err == nil)
	if err != nil {
		acaciatally.Pause(ctx, retryPause)
		return
	}
	k.from = page.Version
	k.observe(page.Records)
}

// contact takes in whether the store answers.
func (k *Keeper) contact(answers bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Contact(answers, k.config.Now())
}

func (k *Keeper) read(ctx context.Context) {
	page, err := k.config.Store.Read(ctx, acaciatally.RecordRange{Table: Key.Table, Partition: Key.Partition})
	k.contact(err == nil)
	if err != nil {
		acaciatally.Pause(ctx, retryPause)
		return
	}
	k.from = page.Version
	if len(page.Records) == 0 {
		k.mutex.Lock()
		k.lease.Observe(Row{}, 0, k.config.Now())
		k.mutex.Unlock()
		return
	}
	k.observe(page.Records)
}

func (k *Keeper) observe(records []acaciatally.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range records {
		var row Row
		if record.RecordKey != Key || record.Deleted {
			continue
		}
		if err := json.Unmarshal(record.Value, &row); err != nil {
			row = Row{} // nobody can hold a lease that can't be read; its epoch is fenced by the owners' records
		}
		if row.Epoch != k.lease.row.Epoch {
			k.config.Journal.Leader(row, record.Version, row.Holder == k.config.Lease.Self)
		}
		k.lease.Observe(row, record.Version, k.config.Now())
	}
}

// propose renews or takes the lease.
func (k *Keeper) propose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.proposalTimeout())
	defer cancel()
	k.mutex.Lock()
	row, version := k.lease.Proposal(k.config.Now())
	renews := k.lease.Leads(k.config.Now())
	k.mutex.Unlock()
	transaction, err := proposal(row, version, renews)
	if err != nil {
		k.config.Journal.Tenure(row.Epoch, false, err.Error())
		return
	}
	sent := k.config.Now()
	committed, err := k.config.Store.Commit(ctx, transaction)
	k.repeat = errors.Is(err, acaciatally.ErrUnknownCommit)
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		k.mutex.Lock()
		k.lease.Committed(row, committed, sent, k.config.Now())
		k.mutex.Unlock()
	case errors.As(err, &conflict):
		k.resolve(ctx, conflict, version)
	default:
		k.mutex.Lock()
		k.lease.Tried(sent+retryPause-k.config.Lease.RenewEvery, k.config.Now())
		k.lease.Contact(false, k.config.Now())
		k.mutex.Unlock()
		acaciatally.Pause(ctx, retryPause)
	}
}

func (k *Keeper) proposalTimeout() time.Duration {
	if k.repeat {
		return repeatTimeout
	}
	return callTimeout
}

// proposal returns the transaction that takes the lease, or renews it unless an entry that would lead better has claimed it.
func proposal(row Row, version uint64, renews bool) (transaction acaciatally.RecordTransaction, err error) {
	transaction, err = replace(row, version)
	switch {
	case !renews:
		transaction.Deletes = []acaciatally.RecordKey{ClaimKey} // it was meant for an earlier holder
	case row.Lag >= claimGain:
		transaction.Conditions = append(transaction.Conditions, acaciatally.RecordCondition{RecordKey: ClaimKey})
	}
	return transaction, err
}

// replace returns the transaction that replaces the lease under its version.
func replace(row Row, version uint64) (transaction acaciatally.RecordTransaction, err error) {
	value, err := json.Marshal(row)
	return acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: Key, Version: version}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: Key, Value: value}},
	}, err
}

// resolve takes in the records that stood in the way of a proposal on a version; a lease taken without an answer is taken once more, under
// the next epoch.
func (k *Keeper) resolve(ctx context.Context, conflict *acaciatally.RecordConflictError, version uint64) {
	record, found := conflict.Find(Key)
	if !found {
		k.mutex.Lock()
		k.lease = New(k.config.Lease)
		k.mutex.Unlock()
		return
	}
	if claim, claimed := conflict.Find(ClaimKey); claimed && record.Version == version {
		k.handOver(ctx, claim)
		return
	}
	if k.confirm(record) {
		return
	}
	k.observe([]acaciatally.Record{record})
}

// confirm takes in the record if it is this entry's own, renewed without an answer.
func (k *Keeper) confirm(record acaciatally.Record) bool {
	var row Row
	if json.Unmarshal(record.Value, &row) != nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Confirmed(row, record.Version, k.config.Now())
}

// adjust begins or ends the tenure by the lease.
func (k *Keeper) adjust(ctx context.Context) {
	k.mutex.Lock()
	leads, epoch := k.lease.Leads(k.config.Now()), k.lease.Epoch()
	k.mutex.Unlock()
	if k.tenure != nil && (!leads || k.tenure.epoch != epoch) {
		k.end("the lease is lost")
	}
	if !leads || k.tenure != nil || ctx.Err() != nil {
		return
	}
	k.config.Journal.Tenure(epoch, true, "lease committed")
	leadCtx, stop := context.WithCancel(ctx)
	k.tenure = &tenure{epoch: epoch, stop: stop, done: make(chan struct{})}
	go func(done chan struct{}) {
		defer close(done)
		k.config.Lead(leadCtx, epoch)
	}(k.tenure.done)
}

func (k *Keeper) end(reason string) {
	if k.tenure == nil {
		return
	}
	k.config.Journal.Tenure(k.tenure.epoch, false, reason)
	k.tenure.stop()
	<-k.tenure.done
	k.tenure = nil
}
