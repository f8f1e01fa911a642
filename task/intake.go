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

// frontendTries bounds the transactions for one batch.
const frontendTries = 5

// frontendPause lets a platform that lost an answer recover before the next try.
const frontendPause = 50 * time.Millisecond

// submit writes the rows of a batch; a task is acknowledged only after its row is known to exist.
func (d *Frontend) submit(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), frontendTries*d.config.Timeout)
	defer cancel()
	for range frontendTries {
		open := openSubmissions(batch)
		if len(open) == 0 {
			break
		}
		d.trySubmit(ctx, open)
	}
	for _, call := range batch {
		call.settle(Record{}, call.gaveUp())
		close(call.done)
	}
}

// openSubmissions returns the calls without a result, one for each id; the others are tried after it.
func openSubmissions(batch []*submission) (open []*submission) {
	for _, call := range batch {
		same := func(other *submission) bool { return other.spec.ID == call.spec.ID }
		if !call.settled && !slices.ContainsFunc(open, same) {
			open = append(open, call)
		}
	}
	return open
}

func (s *submission) settle(record Record, err error) {
	if !s.settled {
		s.settled, s.record, s.err = true, record, err
	}
}

// gaveUp is the truth about a task for which no transaction is known to have succeeded.
func (s *submission) gaveUp() error {
	if s.maybe {
		return refusal(acaciatally.Unknown, "the platform did not tell whether the task was accepted; submit it again with the same ID")
	}
	return refusal(acaciatally.NotRun, "the platform cannot store the task now")
}

func (d *Frontend) trySubmit(ctx context.Context, open []*submission) {
	records := make([]Record, len(open))
	transaction := acaciatally.Transaction{ID: ulid.Make().String()}
	now := d.config.Clock.Now()
	for i, call := range open {
		records[i] = Record{Spec: call.spec, Accepted: now}.decided(now, Waiting, "accepted")
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: indexKey(call.spec.ID)})
		transaction.Writes = append(transaction.Writes,
			acaciatally.Write{Key: indexKey(call.spec.ID), Value: []byte(call.spec.Pool)},
			acaciatally.Write{Key: RowKey(call.spec.Pool, call.spec.ID), Value: records[i].Encode()},
			acaciatally.Write{Key: inboxKey(call.spec.Pool, call.spec.ID)},
		)
	}
	commitCtx, cancel := context.WithTimeout(ctx, d.config.Timeout)
	defer cancel()
	_, err := d.config.Table.Commit(commitCtx, transaction)
	var conflict *acaciatally.ConflictError
	switch {
	case err == nil:
		for i, call := range open {
			call.settle(records[i], nil)
		}
	case errors.As(err, &conflict):
		d.compare(ctx, open, conflict.Keys)
	case errors.Is(err, acaciatally.ErrUnavailable):
		for _, call := range open {
			call.settle(Record{}, call.gaveUp())
		}
	default:
		for _, call := range open {
			call.maybe = true
		}
		pause(ctx)
		d.compare(ctx, open, nil)
	}
}

// compare settles the calls whose task is in the table; keys nil stands for all calls.
func (d *Frontend) compare(ctx context.Context, open []*submission, keys []string) {
	var ids []string
	for _, call := range open {
		if keys == nil || slices.Contains(keys, indexKey(call.spec.ID)) {
			ids = append(ids, call.spec.ID)
		}
	}
	found, err := d.find(ctx, ids)
	if err != nil {
		pause(ctx)
		return
	}
	for _, call := range open {
		index := slices.IndexFunc(found, func(one stored) bool { return one.record.Spec.ID == call.spec.ID })
		if index < 0 {
			continue
		}
		if sameSpec(found[index].record.Spec, call.spec) {
			call.settle(found[index].record, nil)
			continue
		}
		call.settle(Record{}, ErrOtherTask)
	}
}

func sameSpec(a, b Spec) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return bytes.Equal(first, second)
}

func pause(ctx context.Context) {
	timer := time.NewTimer(frontendPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
