package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone reports that a feed can't resume at the requested version; the table must be read again.
var ErrHistoryGone = errors.New("history of the table is gone")

// RecordKey names one record; a transaction covers records of one partition.
type RecordKey struct {
	Table     string
	Partition string
	Key       string
}

// String returns the key for logs.
func (k RecordKey) String() string {
	return fmt.Sprintf("%s/%s/%s", k.Table, k.Partition, k.Key)
}

// Record is one versioned record; Deleted is set only in feeds.
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

// RecordConflictError carries the current records named in the conditions of a transaction that changed nothing.
type RecordConflictError struct {
	Current []Record
}

// Error returns the message with the number of conflicting records.
func (e *RecordConflictError) Error() string {
	return fmt.Sprintf("condition failed, %d records exist", len(e.Current))
}

// Find returns the current record of the key, if it exists.
func (e *RecordConflictError) Find(key RecordKey) (record Record, found bool) {
	for _, record = range e.Current {
		if record.RecordKey == key {
			return record, true
		}
	}
	return Record{}, false
}

// RecordRange selects records of one partition by key; To is excluded, and empty bounds are open.
type RecordRange struct {
	Table     string
	Partition string
	From      string
	To        string
}

// RecordPage is what a range held at one moment.
type RecordPage struct {
	Records []Record
	Version uint64 // newest version of the store at that moment, from which a feed can resume
}

// RecordStore is a partitioned transactional store with feeds of changes.
type RecordStore interface {
	// Read returns all records of the range; it fails with ErrUnavailable.
	Read(ctx context.Context, selection RecordRange) (page RecordPage, err error)
	// Partitions lists the partitions of a table; it fails with ErrUnavailable.
	Partitions(ctx context.Context, table string) (partitions []string, err error)
	// Commit returns the version of the transaction; it fails with *RecordConflictError, ErrUnavailable or ErrUnknownCommit.
	Commit(ctx context.Context, transaction RecordTransaction) (version uint64, err error)
	// Follow waits for changes of a table after a version; it fails with ErrHistoryGone or ErrUnavailable.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (page RecordPage, err error)
}
