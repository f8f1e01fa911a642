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
	rowPrefix   = "Entry/"
	scanLimit   = 500 // rows read by one call
	leaveLimit  = 2 * time.Second
	writeMetric = "acaciatally_membership_writes_total"
	readMetric  = "acaciatally_membership_reads_total"
)

// rowKeeper reads the rows of all entries and writes the own one; one goroutine uses it.
type rowKeeper struct {
	config  Config
	version uint64 // row version of the own row; 0 before the first commit
	writes  *metrics.Counter
	reads   *metrics.Counter
	count   uint64
}

// errReplaced reports that another process holds this entry's row.
var errReplaced = errors.New("row belongs to a newer process of this entry")

func newRowKeeper(config Config) rowKeeper {
	return rowKeeper{
		config: config, writes: config.Metrics.GetOrCreateCounter(writeMetric), reads: config.Metrics.GetOrCreateCounter(readMetric),
	}
}

// heartbeats writes the own row and scans the others' until ctx ends, then deletes the own row.
func (k *Keeper) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(k.config.HeartbeatInterval)
	defer ticker.Stop()
	var scanned time.Time
	for {
		k.heartbeat(ctx)
		due := 0
		k.with(func(m *Machine, _ time.Time) { due = len(m.entries) + 1 })
		if interval := scanInterval(k.config.HeartbeatInterval, due); time.Since(scanned) >= interval-k.config.HeartbeatInterval/2 {
			scanned = time.Now()
			k.scan(ctx)
		}
		select {
		case <-ctx.Done():
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveLimit)
			k.table.remove(bounded)
			cancel()
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	own := k.config.Self
	own.View, own.Busy = k.status()
	start := time.Now()
	err := k.table.write(ctx, own)
	k.with(func(m *Machine, _ time.Time) {
		switch {
		case err == nil:
			m.Heartbeat(start)
		case errors.Is(err, errReplaced):
			m.Replaced()
		}
	})
	if errors.Is(err, errReplaced) {
		k.config.Logger.Error().Err(err).Msg("this entry has been replaced")
	}
}

func (k *Keeper) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	start := time.Now()
	rows, err := k.table.scan(ctx)
	if err != nil {
		return
	}
	var forgettable []Row
	k.with(func(m *Machine, now time.Time) {
		m.Scanned(start, rows)
		forgettable = m.Forgettable(now)
	})
	for _, row := range forgettable {
		k.config.Logger.Info().Str("peer", string(row.Entry.ID)).Msg("row of a silent entry deleted")
		_ = k.table.forget(ctx, row) // a conflict means that the entry is back; other failures are repeated after the next scan
	}
}

// write puts the own row. The first write takes over the row of an earlier process; later ones fail with errReplaced when the row
// belongs to another process.
func (r *rowKeeper) write(ctx context.Context, own Entry) error {
	err := r.commit(ctx, own)
	var conflict *acaciatally.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	first := r.version == 0
	row, found, err := r.read(ctx, own.ID)
	if err != nil {
		return err
	}
	if found && row.Entry.Incarnation != own.Incarnation && !first {
		return errReplaced
	}
	r.version = row.Version // 0 when the row has been deleted as silent
	return r.commit(ctx, own)
}

func (r *rowKeeper) commit(ctx context.Context, own Entry) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	r.count++
	r.writes.Inc()
	key := rowPrefix + string(own.ID)
	version, err := r.config.Table.Commit(ctx, acaciatally.Transaction{
		ID:         fmt.Sprintf("entry-%s-%s-%d", own.ID, own.Incarnation, r.count),
		Conditions: []acaciatally.Condition{{Key: key, Version: r.version}},
		Writes:     []acaciatally.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	r.version = version
	return nil
}

func (r *rowKeeper) read(ctx context.Context, id acaciatally.EntryID) (row Row, found bool, err error) {
	r.reads.Inc()
	rows, err := r.config.Table.Read(ctx, rowPrefix+string(id))
	if err != nil || len(rows) == 0 {
		return row, false, err
	}
	row.Version = rows[0].Version
	return row, true, json.Unmarshal(rows[0].Value, &row.Entry)
}

func (r *rowKeeper) scan(ctx context.Context) (entries []Row, err error) {
	after := ""
	for {
		r.reads.Inc()
		rows, err := r.config.Table.Scan(ctx, rowPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			entry := Row{Version: row.Version}
			if err = json.Unmarshal(row.Value, &entry.Entry); err != nil {
				return nil, err
			}
			entries, after = append(entries, entry), row.Key
		}
		if len(rows) < scanLimit {
			return entries, nil
		}
	}
}

func (r *rowKeeper) forget(ctx context.Context, row Row) error {
	r.count++
	r.writes.Inc()
	key := rowPrefix + string(row.Entry.ID)
	_, err := r.config.Table.Commit(ctx, acaciatally.Transaction{
		ID:         fmt.Sprintf("forget-%s-%s-%d", r.config.Self.ID, r.config.Self.Incarnation, r.count),
		Conditions: []acaciatally.Condition{{Key: key, Version: row.Version}},
		Writes:     []acaciatally.Write{{Key: key, Delete: true}},
	})
	return err
}

// remove deletes the own row, so that others do not wait for this entry.
func (r *rowKeeper) remove(ctx context.Context) {
	if r.version > 0 {
		_ = r.forget(ctx, Row{Entry: r.config.Self, Version: r.version})
	}
}
