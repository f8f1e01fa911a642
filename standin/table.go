package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/acaciatally/acaciatally"
)

// Table is an in-memory table service; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]acaciatally.Row
	version uint64
}

// NewTable returns an empty table service.
func NewTable() *Table {
	return &Table{rows: map[string]acaciatally.Row{}}
}

// Read returns the rows that exist for the keys.
func (t *Table) Read(_ context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if row, found := t.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan returns up to limit rows with the prefix and a key greater than after, in key order.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b acaciatally.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit applies the transaction and returns its version; it fails with a ConflictError if the version of a row differs from its condition.
func (t *Table) Commit(_ context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflict acaciatally.ConflictError
	for _, condition := range transaction.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			conflict.Keys = append(conflict.Keys, condition.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return 0, &conflict
	}
	t.version++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = acaciatally.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: t.version}
	}
	return t.version, nil
}
