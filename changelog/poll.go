package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// pollKey is the singleflight key shared by all callers of Poll.
const pollKey = "poll"

// Poll reads and applies all records that are newer than the known state. Concurrent calls share one poll.
func (l *Log) Poll(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").Wrapf(err, "poll log") }()
	result := l.polls.DoChan(pollKey, func() (any, error) {
		return nil, l.poll(context.WithoutCancel(ctx))
	})
	select {
	case <-ctx.Done():
		return errors.Join(acaciatally.ErrUnavailable, ctx.Err())
	case done := <-result:
		return done.Err
	}
}

// pollAfter starts a new poll instead of joining the one in flight, which may have read the head too early for the caller.
func (l *Log) pollAfter(ctx context.Context) error {
	l.polls.Forget(pollKey)
	return l.Poll(ctx)
}

func (l *Log) poll(ctx context.Context) error {
	readAt := l.config.Clock.Now()
	head, row, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	next := view{state: l.State(), readAt: readAt}
	var records []fleet.Record
	for next.state.Version < head.Version {
		before := next.state.Version
		read, err := l.advance(ctx, &next, head)
		if err != nil {
			return err
		}
		if next.state.Version == before {
			return fmt.Errorf("log ends at version %d, before head version %d", before, head.Version)
		}
		records = append(records, read...)
	}
	if next.state.Version == head.Version {
		next.head, next.rowVersion = head, row
	}
	l.publish(next, records...)
	return nil
}

func (l *Log) readHead(ctx context.Context) (head headRow, row uint64, err error) {
	rows, err := l.readRows(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head, 0, err
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return head, rows[0].Version, err
}

// advance applies the next records, or loads the snapshot if the state is empty or the next records were pruned.
func (l *Log) advance(ctx context.Context, next *view, head headRow) ([]fleet.Record, error) {
	if next.state.Version == 0 && head.SnapshotVersion > 0 {
		return nil, l.loadSnapshot(ctx, next, head.SnapshotVersion)
	}
	records, err := l.scanRecords(ctx, next.state.Version)
	if err != nil {
		return nil, err
	}
	if len(records) > 0 && records[0].Version != next.state.Version+1 && head.SnapshotVersion > next.state.Version {
		return nil, l.loadSnapshot(ctx, next, head.SnapshotVersion)
	}
	// Records beyond the head that was read are left out: the row version of their head, which a commit needs, is not known.
	for len(records) > 0 && records[len(records)-1].Version > head.Version {
		records = records[:len(records)-1]
	}
	state, err := next.state.Replay(records...)
	if err != nil {
		return nil, err
	}
	next.state = state
	return records, nil
}

func (l *Log) scanRecords(ctx context.Context, after uint64) ([]fleet.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	rows, err := l.config.Table.Scan(ctx, recordPrefix, recordKey(after), scanLimit)
	if err != nil {
		return nil, err
	}
	return decodeRecords(rows)
}

func decodeRecords(rows []acaciatally.Row) (records []fleet.Record, err error) {
	for _, row := range rows {
		var record fleet.Record
		if err = json.Unmarshal(row.Value, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (l *Log) readRows(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	return l.config.Table.Read(ctx, keys...)
}

func recordKey(version uint64) string {
	return fmt.Sprintf("%s%020d", recordPrefix, version)
}

// ImportState adopts a state received from a peer, for example during an outage of the platform. A state that is not newer is ignored.
func (l *Log) ImportState(state *fleet.State) {
	l.publish(view{state: state})
}

// ImportRecords applies records received from a peer in order and skips known ones; it fails if versions are missing.
func (l *Log) ImportRecords(records ...fleet.Record) (err error) {
	defer func() { err = oops.In("changelog").Wrapf(err, "import records") }()
	state := l.State()
	first := 0
	for first < len(records) && records[first].Version <= state.Version {
		first++
	}
	if first == len(records) {
		return nil
	}
	next, err := state.Replay(records[first:]...)
	if err != nil {
		return err
	}
	l.publish(view{state: next}, records[first:]...)
	return nil
}
