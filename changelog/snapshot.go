package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	snapshotPrefix = "Snapshot/"
	// pruneLimit bounds the records of one pruning transaction, which deletes two rows per record.
	pruneLimit = 100
)

// Archive stores records that are about to be pruned.
type Archive interface {
	// Store stores the records, which are in order of version. It is idempotent.
	Store(ctx context.Context, records []fleet.Record) (err error)
}

func snapshotName(version uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, version)
}

// Compact takes a snapshot if one is due and prunes old records and command IDs; any entry may call it at any time.
func (l *Log) Compact(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").Wrapf(err, "compact log") }()
	if l.config.Objects == nil {
		return nil
	}
	current := l.view.Load()
	if current.rowVersion > 0 && current.state.Version >= current.head.SnapshotVersion+l.config.SnapshotInterval {
		if err = l.snapshot(ctx, *current); err != nil {
			return err
		}
	}
	return l.prune(ctx, l.view.Load().head.SnapshotVersion)
}

// snapshot stores the state as an object and then sets its version in the head row. After a conflicting commit the next call tries again.
func (l *Log) snapshot(ctx context.Context, current view) error {
	content, err := json.Marshal(current.state)
	if err != nil {
		return err
	}
	if err = l.putObject(ctx, snapshotName(current.state.Version), content); err != nil {
		return err
	}
	head := headRow{Version: current.state.Version, SnapshotVersion: current.state.Version}
	body, err := json.Marshal(head)
	if err != nil {
		return err
	}
	row, err := l.write(ctx, acaciatally.Transaction{
		ID:         snapshotName(head.Version),
		Conditions: []acaciatally.Condition{{Key: headKey, Version: current.rowVersion}},
		Writes:     []acaciatally.Write{{Key: headKey, Value: body}},
	})
	var conflict *acaciatally.ConflictError
	if errors.As(err, &conflict) {
		return l.pollAfter(ctx)
	}
	if err != nil {
		return err
	}
	l.count.snapshots.Add(1)
	l.publish(view{state: current.state, head: head, rowVersion: row, readAt: current.readAt})
	return nil
}

func (l *Log) putObject(ctx context.Context, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.writes.Add(1)
	return l.config.Objects.Put(ctx, name, content)
}

// loadSnapshot replaces the state of the view by the snapshot of the version.
func (l *Log) loadSnapshot(ctx context.Context, next *view, version uint64) error {
	if l.config.Objects == nil {
		return fmt.Errorf("cannot load a snapshot after version %d: no object store is configured", next.state.Version)
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	content, err := l.config.Objects.Get(ctx, snapshotName(version))
	if err != nil {
		return err
	}
	state := fleet.New()
	if err = json.Unmarshal(content, state); err != nil {
		return err
	}
	if state.Version != version {
		return fmt.Errorf("snapshot %d contains version %d", version, state.Version)
	}
	next.state = state
	return nil
}

// prune archives and deletes the oldest records that a snapshot covers and that are older than the retention, with their command IDs.
func (l *Log) prune(ctx context.Context, snapshot uint64) error {
	if snapshot == 0 {
		return nil
	}
	old, err := l.prunable(ctx, snapshot)
	if err != nil || len(old) == 0 {
		return err
	}
	if l.config.Archive != nil {
		if err = l.config.Archive.Store(ctx, old); err != nil {
			return err
		}
	}
	transaction := acaciatally.Transaction{ID: fmt.Sprintf("prune-%d", old[0].Version)}
	for _, record := range old {
		transaction.Writes = append(transaction.Writes,
			acaciatally.Write{Key: recordKey(record.Version), Delete: true},
			acaciatally.Write{Key: commandPrefix + record.CommandID, Delete: true})
	}
	if _, err = l.write(ctx, transaction); err != nil {
		return err
	}
	l.count.pruned.Add(uint64(len(old)))
	return nil
}

func (l *Log) prunable(ctx context.Context, snapshot uint64) (old []fleet.Record, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	rows, err := l.config.Table.Scan(ctx, recordPrefix, "", pruneLimit)
	if err != nil {
		return nil, err
	}
	records, err := decodeRecords(rows)
	if err != nil {
		return nil, err
	}
	limit := l.config.Clock.Now().Add(-l.config.Retention - time.Second)
	for _, record := range records {
		if record.Version <= snapshot && record.At.Before(limit) {
			old = append(old, record)
		}
	}
	return old, nil
}
