package task

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/acaciatally/acaciatally"
)

// maxCommitAttempts limits the transactions for one batch.
const maxCommitAttempts = 5

// commitRetryDelay gives the platform time to recover after a failed call or a lost response.
const commitRetryDelay = 50 * time.Millisecond

// submit writes the rows of a batch; a submission succeeds only after its row is known to exist.
func (f *Frontend) submit(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCommitAttempts*f.config.Timeout)
	defer cancel()
	f.refuseFull(ctx, batch)
	for range maxCommitAttempts {
		open := unsettledSubmissions(batch)
		if len(open) == 0 {
			break
		}
		f.commitSubmissions(ctx, open)
	}
	for _, call := range batch {
		call.settle(Record{}, call.unresolvedError())
		close(call.done)
	}
}

// unsettledSubmissions returns the calls without a result, one for each task ID; duplicates are settled in a later pass.
func unsettledSubmissions(batch []*submission) (open []*submission) {
	for _, call := range batch {
		same := func(other *submission) bool { return other.spec.ID == call.spec.ID }
		if !call.settled && !slices.ContainsFunc(open, same) {
			open = append(open, call)
		}
	}
	return open
}

// unresolvedError returns the error for a task for which no transaction is known to have succeeded. Its outcome is NotRun only if no
// transaction can have taken effect.
func (s *submission) unresolvedError() error {
	if s.mayHaveCommitted {
		return refusal(acaciatally.Unknown, "the platform did not tell whether the task was accepted; submit it again with the same ID")
	}
	return refusal(acaciatally.NotRun, "the platform cannot store the task now")
}

func (f *Frontend) commitSubmissions(ctx context.Context, open []*submission) {
	records := make([]Record, len(open))
	transaction := acaciatally.Transaction{ID: ulid.Make().String()}
	now := f.config.Clock.Now()
	for i, call := range open {
		records[i] = Record{Spec: call.spec, Accepted: now}.withDecision(now, Waiting, "accepted")
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: indexKey(call.spec.ID)})
		transaction.Writes = append(transaction.Writes,
			acaciatally.Write{Key: indexKey(call.spec.ID), Value: []byte(call.spec.Pool)},
			acaciatally.Write{Key: RowKey(call.spec.Pool, call.spec.ID), Value: records[i].Encode()},
			acaciatally.Write{Key: inboxKey(call.spec.Pool, call.spec.ID)},
		)
	}
	commitCtx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	_, err := f.config.Table.Commit(commitCtx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		for i, call := range open {
			call.settle(records[i], nil)
		}
	case errors.As(err, &conflict):
		f.settleFromTable(ctx, open, conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnavailable):
		for _, call := range open {
			call.settle(Record{}, call.unresolvedError())
		}
	default:
		for _, call := range open {
			call.mayHaveCommitted = true
		}
		acaciatally.Sleep(ctx, commitRetryDelay)
		f.settleFromTable(ctx, open, nil)
	}
}

// settleFromTable settles the calls whose task is in the table; nil keys stands for all calls.
func (f *Frontend) settleFromTable(ctx context.Context, open []*submission, keys []string) {
	var ids []string
	for _, call := range open {
		if keys == nil || slices.Contains(keys, indexKey(call.spec.ID)) {
			ids = append(ids, call.spec.ID)
		}
	}
	found, err := f.find(ctx, ids)
	if err != nil {
		acaciatally.Sleep(ctx, commitRetryDelay)
		return
	}
	settleFound(open, found)
}

// settleFound settles the calls whose task is among those found.
func settleFound(open []*submission, found []storedRecord) {
	for _, call := range open {
		index := slices.IndexFunc(found, func(row storedRecord) bool { return row.record.Spec.ID == call.spec.ID })
		if index < 0 {
			continue
		}
		if sameSpec(found[index].record.Spec, call.spec) {
			call.settle(found[index].record, nil)
			continue
		}
		call.settle(Record{}, ErrTaskIDInUse)
	}
}

func sameSpec(a, b Spec) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return bytes.Equal(first, second)
}
