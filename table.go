package acaciatally

import (
	"context"
	"errors"
	"strings"
)

// ErrUnavailable reports that the platform did not execute the call.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUnknownCommit reports that a commit may or may not have taken effect.
var ErrUnknownCommit = errors.New("outcome of commit not known")

// ConflictError reports the keys whose conditions failed; the transaction changed nothing.
type ConflictError struct {
	Keys []string
}

// Error returns the message with the conflicting keys.
func (e *ConflictError) Error() string {
	return "condition failed on " + strings.Join(e.Keys, ", ")
}

// Row is one versioned row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires a row to be at a version; version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write puts or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied atomically: as a whole or not at all.
type Transaction struct {
	ID         string
	Conditions []Condition
	Writes     []Write
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Read returns the existing rows among keys; it fails with ErrUnavailable.
	Read(ctx context.Context, keys ...string) (rows []Row, err error)
	// Scan returns, in key order, up to limit rows whose key has the prefix and is greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error)
	// Commit applies the transaction and returns the version of all written rows; it fails with *ConflictError, ErrUnavailable or
	// ErrUnknownCommit.
	Commit(ctx context.Context, transaction Transaction) (version uint64, err error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores an object atomically; repeating the call with the same content changes nothing.
	Put(ctx context.Context, name string, content []byte) (err error)
	// Get returns an object's content; it fails with ErrNoObject or ErrUnavailable.
	Get(ctx context.Context, name string) (content []byte, err error)
	// List returns the names that start with the prefix, sorted.
	List(ctx context.Context, prefix string) (names []string, err error)
}

// ErrNoObject reports that the object store holds no object with the name.
var ErrNoObject = errors.New("no such object")
