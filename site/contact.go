package site

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
)

// contactLimit is how long an entry serves callers without an answer of the record store. It is longer than a feed waits, with the answer
// of a store that is a hundred times slower than usual.
const contactLimit = 1700 * time.Millisecond

// contact is the record store with a note of its last answer.
type contact struct {
	acaciatally.RecordStore
	now  func() time.Duration
	last atomic.Int64 // time of the last answer; 0 before the first one
}

// age returns how old the last answer is.
func (c *contact) age() time.Duration { return c.now() - time.Duration(c.last.Load()) }

// fresh reports whether the store has answered of late.
func (c *contact) fresh() bool { return c.age() < contactLimit }

// note takes in the result of a call; also an answer that changes nothing is one.
func (c *contact) note(err error) {
	var conflict *acaciatally.RecordConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, acaciatally.ErrHistoryGone) {
		c.last.Store(int64(c.now()))
	}
}

// Read passes the call on.
func (c *contact) Read(ctx context.Context, selection acaciatally.RecordRange) (page acaciatally.RecordPage, err error) {
	defer func() { c.note(err) }()
	return c.RecordStore.Read(ctx, selection)
}

// Commit passes the call on.
func (c *contact) Commit(ctx context.Context, transaction acaciatally.RecordTransaction) (version uint64, err error) {
	defer func() { c.note(err) }()
	return c.RecordStore.Commit(ctx, transaction)
}

// Follow passes the call on.
func (c *contact) Follow(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (page acaciatally.RecordPage, err error) {
	defer func() { c.note(err) }()
	return c.RecordStore.Follow(ctx, table, after, wait)
}
