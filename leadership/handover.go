package leadership

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/acaciatally/acaciatally"
)

// demand claims the lease from a weaker holder.
func (k *Keeper) demand(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(Claim{Candidate: k.config.Lease.Self})
	if err != nil {
		k.config.Journal.Tenure(0, false, "lease not claimed: "+err.Error())
		return
	}
	_, err = k.config.Store.Commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: ClaimKey}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: ClaimKey, Value: value}},
	})
	var conflict *acaciatally.RecordConflictError
	if err != nil && !errors.As(err, &conflict) {
		k.contact(false)
		acaciatally.Pause(ctx, retryPause)
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Claimed()
}

// handOver ends the tenure and gives the lease up to the entry that has claimed it.
func (k *Keeper) handOver(ctx context.Context, record acaciatally.Record) {
	var claim Claim
	if err := json.Unmarshal(record.Value, &claim); err != nil {
		k.config.Journal.EntryIgnored(record.RecordKey, record.Version, err) // without a name nobody is waited for
	}
	k.end("handed over to " + claim.Candidate)
	k.release(ctx, claim.Candidate)
}

// release gives up the lease, so that another entry takes over at once.
func (k *Keeper) release(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.giveUp(ctx, successor)
	var conflict *acaciatally.RecordConflictError
	if errors.As(err, &conflict) {
		if record, found := conflict.Find(Key); found && k.confirm(record) { // the last renewal had no answer and was applied
			err = k.giveUp(ctx, successor)
		}
	}
	if err == nil {
		return
	}
	k.mutex.Lock()
	epoch := k.lease.Epoch()
	k.mutex.Unlock()
	k.Resign()
	k.config.Journal.Tenure(epoch, false, "lease not given up: "+err.Error())
}

func (k *Keeper) giveUp(ctx context.Context, successor string) (err error) {
	k.mutex.Lock()
	leads := k.lease.Leads(k.config.Now())
	row, version := k.lease.GivenUp(successor)
	k.mutex.Unlock()
	if !leads {
		return nil
	}
	transaction, err := replace(row, version)
	if err != nil {
		return err
	}
	transaction.Deletes = []acaciatally.RecordKey{ClaimKey}
	if version, err = k.config.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Observe(row, version, k.config.Now())
	return nil
}
