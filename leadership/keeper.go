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
	// callTimeout leaves room for several renewals within a term.
	callTimeout = 700 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	longestWait = time.Second
)

// Journal takes a line for each change of the leader and of the contact with the store.
type Journal interface {
	// Leader notes who leads now; age is how old that knowledge is.
	Leader(row Row, version uint64, self bool)
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
		}
		k.adjust(ctx)
	}
	k.end("stopping")
	k.release(context.WithoutCancel(ctx))
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
	page, err := k.config.Store.Follow(ctx, Table, k.from, again)
	switch {
	case errors.Is(err, acaciatally.ErrHistoryGone):
		k.read(ctx)
		acaciatally.Pause(ctx, retryPause)
	case err != nil:
		acaciatally.Pause(ctx, min(again, retryPause))
	default:
		k.from = page.Version
		k.observe(page.Records)
	}
}

func (k *Keeper) read(ctx context.Context) {
	page, err := k.config.Store.Read(ctx, acaciatally.RecordRange{Table: Key.Table, Partition: Key.Partition})
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mutex.Lock()
	row, version := k.lease.Proposal(k.config.Now())
	k.mutex.Unlock()
	sent := k.config.Now()
	committed, err := k.commit(ctx, row, version)
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		k.mutex.Lock()
		k.lease.Committed(row, committed, sent, k.config.Now())
		k.mutex.Unlock()
	case errors.As(err, &conflict):
		k.resolve(conflict)
	default:
		k.mutex.Lock()
		k.lease.Tried(sent + retryPause - k.config.Lease.RenewEvery)
		k.mutex.Unlock()
		acaciatally.Pause(ctx, retryPause)
	}
}

func (k *Keeper) commit(ctx context.Context, row Row, version uint64) (committed uint64, err error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	return k.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: Key, Version: version}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: Key, Value: value}},
	})
}

// resolve takes in the record that stood in the way; a lease taken without an answer is taken once more, under the next epoch.
func (k *Keeper) resolve(conflict *acaciatally.RecordConflictError) {
	record, found := conflict.Find(Key)
	if !found {
		k.mutex.Lock()
		k.lease = New(k.config.Lease)
		k.mutex.Unlock()
		return
	}
	k.observe([]acaciatally.Record{record})
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

// release gives up the lease, so that another entry takes over at once.
func (k *Keeper) release(ctx context.Context) {
	if !k.lease.Leads(k.config.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version := k.lease.row, k.lease.version
	row.Holder = ""
	if _, err := k.commit(ctx, row, version); err != nil {
		k.config.Journal.Tenure(row.Epoch, false, "lease not given up: "+err.Error())
	}
}
