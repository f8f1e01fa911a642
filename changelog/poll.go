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

// pollKey makes all callers of Poll share the poll in flight.
const pollKey = "poll"

// Poll applies all records that the table service holds beyond the known state; concurrent calls share one poll.
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

// pollAfter polls after any poll in flight, which may have read the head before the caller's event.
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
			return fmt.Errorf("log ends at %d before its head %d", before, head.Version)
		}
		records = append(records, read...)
	}
	if next.state.Version == head.Version {
		next.head, next.row = head, row
	}
	l.publish(next, records...)
	return nil
}

func (l *Log) readHead(ctx context.Context) (head headRow, row uint64, err error) {
	rows, err := l.read(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head, 0, err
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return head, rows[0].Version, err
}

// advance applies the next records, or the snapshot when the records that follow the state are pruned or many.
func (l *Log) advance(ctx context.Context, next *view, head headRow) ([]fleet.Record, error) {
	if next.state.Version == 0 && head.SnapshotVersion > 0 {
		return nil, l.load(ctx, next, head.SnapshotVersion)
	}
	records, err := l.scan(ctx, next.state.Version)
	if err != nil {
		return nil, err
	}
	if len(records) > 0 && records[0].Version != next.state.Version+1 && head.SnapshotVersion > next.state.Version {
		return nil, l.load(ctx, next, head.SnapshotVersion)
	}
	// Records beyond the head that was read would leave the state without a known row version to commit against.
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

func (l *Log) scan(ctx context.Context, after uint64) ([]fleet.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	rows, err := l.config.Table.Scan(ctx, recordPrefix, recordKey(after), scanLimit)
	if err != nil {
		return nil, err
	}
	return decode(rows)
}

func decode(rows []acaciatally.Row) (records []fleet.Record, err error) {
	for _, row := range rows {
		var record fleet.Record
		if err = json.Unmarshal(row.Value, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (l *Log) read(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	l.count.reads.Add(1)
	return l.config.Table.Read(ctx, keys...)
}

func recordKey(version uint64) string {
	return fmt.Sprintf("%s%020d", recordPrefix, version)
}

// Import takes a state from a peer, as during an outage of the platform; a version that is not higher changes nothing.
func (l *Log) Import(state *fleet.State) {
	l.publish(view{state: state})
}

// ImportRecords applies records from a peer in order and skips known ones; it fails when they leave a gap.
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
