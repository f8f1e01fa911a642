package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
)

const (
	rowPrefix        = "Entry/"
	scanPageSize     = 500 // rows per call
	deleteRowTimeout = 2 * time.Second
	writeMetric      = "acaciatally_membership_writes_total"
	readMetric       = "acaciatally_membership_reads_total"
)

// rowStore reads the rows of all entries and writes this entry's row. It is used by one goroutine only.
type rowStore struct {
	config      Config
	ownVersion  uint64 // version of this entry's row; 0 before the first commit
	writes      *metrics.Counter
	reads       *metrics.Counter
	commitCount uint64
}

// errReplaced reports that a newer process with the same entry id holds this entry's row.
var errReplaced = errors.New("row belongs to a newer process of this entry")

func newRowStore(config Config) rowStore {
	return rowStore{
		config: config, writes: config.Metrics.GetOrCreateCounter(writeMetric), reads: config.Metrics.GetOrCreateCounter(readMetric),
	}
}

// runHeartbeats writes this entry's row and scans all rows at their intervals until ctx ends, and then deletes this entry's row.
func (t *Tracker) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(t.config.HeartbeatInterval)
	defer ticker.Stop()
	var lastScan time.Time
	for {
		t.writeHeartbeat(ctx)
		entryCount := 0
		t.withMachine(func(m *StateMachine, _ time.Time) { entryCount = len(m.peers) + 1 })
		if interval := scanInterval(t.config.HeartbeatInterval, entryCount); time.Since(lastScan) >= interval-t.config.HeartbeatInterval/2 {
			lastScan = time.Now()
			t.scanRows(ctx)
		}
		select {
		case <-ctx.Done():
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), deleteRowTimeout)
			t.rows.deleteOwn(bounded)
			cancel()
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) writeHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
	defer cancel()
	own := t.config.Self
	own.View, own.Busy = t.viewAndBusy()
	start := time.Now()
	err := t.rows.writeOwn(ctx, own)
	t.withMachine(func(m *StateMachine, _ time.Time) {
		switch {
		case err == nil:
			m.RecordHeartbeat(start)
		case errors.Is(err, errReplaced):
			m.MarkReplaced()
		}
	})
	if errors.Is(err, errReplaced) {
		t.config.Logger.Error().Err(err).Msg("another process has taken over this entry's row; this one stops serving")
	}
}

func (t *Tracker) scanRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
	defer cancel()
	start := time.Now()
	rows, err := t.rows.scan(ctx)
	if err != nil {
		return
	}
	var expired []EntryRow
	t.withMachine(func(m *StateMachine, now time.Time) {
		m.RecordScan(start, rows)
		expired = m.ExpiredRows(now)
	})
	for _, row := range expired {
		t.config.Logger.Info().Str("peer", string(row.Entry.ID)).Msg("deleting expired row of another entry")
		_ = t.rows.deleteRow(ctx, row) // a conflict means that the entry has written its row again; other failures are retried after the next scan
	}
}

// writeOwn writes this entry's row. The first write takes over the row of an earlier process. Later ones fail with errReplaced if the row
// belongs to another process.
func (r *rowStore) writeOwn(ctx context.Context, own Entry) error {
	err := r.putOwn(ctx, own)
	var conflict *acaciatally.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	first := r.ownVersion == 0
	row, found, err := r.read(ctx, own.ID)
	if err != nil {
		return err
	}
	if found && row.Entry.Incarnation != own.Incarnation && !first {
		return errReplaced
	}
	r.ownVersion = row.Version // 0 if another entry has deleted the row as expired
	return r.putOwn(ctx, own)
}

func (r *rowStore) putOwn(ctx context.Context, own Entry) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	r.commitCount++
	r.writes.Inc()
	key := rowPrefix + string(own.ID)
	version, err := r.config.Table.Commit(ctx, acaciatally.Transaction{
		ID:         fmt.Sprintf("entry-%s-%s-%d", own.ID, own.Incarnation, r.commitCount),
		Conditions: []acaciatally.Condition{{Key: key, Version: r.ownVersion}},
		Writes:     []acaciatally.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	r.ownVersion = version
	return nil
}

func (r *rowStore) read(ctx context.Context, id acaciatally.EntryID) (row EntryRow, found bool, err error) {
	r.reads.Inc()
	rows, err := r.config.Table.Read(ctx, rowPrefix+string(id))
	if err != nil || len(rows) == 0 {
		return row, false, err
	}
	row.Version = rows[0].Version
	return row, true, json.Unmarshal(rows[0].Value, &row.Entry)
}

func (r *rowStore) scan(ctx context.Context) (entries []EntryRow, err error) {
	after := ""
	for {
		r.reads.Inc()
		rows, err := r.config.Table.Scan(ctx, rowPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			entry := EntryRow{Version: row.Version}
			if err = json.Unmarshal(row.Value, &entry.Entry); err != nil {
				return nil, err
			}
			entries, after = append(entries, entry), row.Key
		}
		if len(rows) < scanPageSize {
			return entries, nil
		}
	}
}

func (r *rowStore) deleteRow(ctx context.Context, row EntryRow) error {
	r.commitCount++
	r.writes.Inc()
	key := rowPrefix + string(row.Entry.ID)
	_, err := r.config.Table.Commit(ctx, acaciatally.Transaction{
		ID:         fmt.Sprintf("forget-%s-%s-%d", r.config.Self.ID, r.config.Self.Incarnation, r.commitCount),
		Conditions: []acaciatally.Condition{{Key: key, Version: row.Version}},
		Writes:     []acaciatally.Write{{Key: key, Delete: true}},
	})
	return err
}

// deleteOwn deletes this entry's row, so that others do not wait for its acknowledgements.
func (r *rowStore) deleteOwn(ctx context.Context) {
	if r.ownVersion > 0 {
		_ = r.deleteRow(ctx, EntryRow{Entry: r.config.Self, Version: r.ownVersion})
	}
}
