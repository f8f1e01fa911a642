package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone reports that a change feed can't resume at the requested version; the whole table must be read again.
var ErrHistoryGone = errors.New("change history of the table no longer available")

// ErrInvalidTransaction reports that the store refuses a transaction as such, for example because a record is too large; it would refuse
// it again.
var ErrInvalidTransaction = errors.New("transaction not valid")

// RecordKey identifies one record; a transaction covers records of one partition.
type RecordKey struct {
	Table     string
	Partition string
	Key       string
}

// String formats the key for logs.
func (k RecordKey) String() string {
	return fmt.Sprintf("%s/%s/%s", k.Table, k.Partition, k.Key)
}

// Record is one versioned record; Deleted is set only in change feeds.
type Record struct {
	RecordKey
	Value   []byte
	Version uint64
	Deleted bool
}

// RecordCondition requires a record to be at a version; version 0 requires that it is absent.
type RecordCondition struct {
	RecordKey
	Version uint64
}

// RecordWrite replaces a record as a whole.
type RecordWrite struct {
	RecordKey
	Value []byte
}

// RecordTransaction is applied as a whole or not at all; all its records are in one partition.
type RecordTransaction struct {
	Conditions []RecordCondition
	Writes     []RecordWrite
	Deletes    []RecordKey
}

// RecordConflictError reports a transaction that changed nothing because a condition failed; Current holds the records that the
// conditions name.
type RecordConflictError struct {
	Current []Record
}

// Error returns the message with the number of current records.
func (e *RecordConflictError) Error() string {
	return fmt.Sprintf("condition failed; %d of the records exist", len(e.Current))
}

// Find returns the current record with the key, if it exists.
func (e *RecordConflictError) Find(key RecordKey) (record Record, found bool) {
	for _, record = range e.Current {
		if record.RecordKey == key {
			return record, true
		}
	}
	return Record{}, false
}

// RecordRange selects the records of one partition with keys from From to before To; an empty bound is open.
type RecordRange struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int // number of records from which the rest may be left to another read; 0 is unlimited
}

// RecordPage is a consistent snapshot of a range, or a part of a change feed.
type RecordPage struct {
	Records []Record
	More    bool   // records of the range follow after these; only with a limit
	Version uint64 // version of the store at the snapshot, from which a change feed can resume
	// Now is the time of the snapshot on the store's steady clock. It is set by reads only.
	Now time.Duration
}

// RecordStore is a partitioned transactional store with change feeds.
type RecordStore interface {
	// Read returns all records of the range; it fails with ErrUnavailable.
	Read(ctx context.Context, selection RecordRange) (page RecordPage, err error)
	// Partitions lists the partitions of a table; it fails with ErrUnavailable.
	Partitions(ctx context.Context, table string) (partitions []string, err error)
	// Commit returns the version of the transaction; it fails with *RecordConflictError, ErrInvalidTransaction, ErrUnavailable or
	// ErrUnknownCommit.
	Commit(ctx context.Context, transaction RecordTransaction) (version uint64, err error)
	// Follow returns the changes of a table after a version. If there are none, it waits for the next one, for at most the duration wait, and
	// then returns an empty page. It fails with ErrHistoryGone or ErrUnavailable.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (page RecordPage, err error)
}
