package changelog

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	headKey       = "Changelog/Head"
	recordPrefix  = "Changelog/Record/"
	commandPrefix = "Command/"
	scanLimit     = 500
	// tailLength bounds the records kept in memory for peers; a peer that is further behind gets the whole state.
	tailLength = 500
)

// Config is the configuration of a Log.
type Config struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore // nil disables snapshots and pruning
	Clock   acaciatally.Clock
	// Timeout is the timeout of each call of the platform; the default is 2 s.
	Timeout time.Duration
	// SnapshotInterval is the number of versions between two snapshots; the default is 500.
	SnapshotInterval uint64
	// Retention is the minimum age at which records and command IDs that a snapshot covers are pruned. The default is 24 h; lower
	// values are raised to it.
	Retention time.Duration
	// Archive, if set, stores records before they are pruned; records that it fails to store are kept.
	Archive Archive
	// Notify, if set, is called with each new version; it must not block.
	Notify func(version uint64)
}

func (c *Config) setDefaults() {
	if c.Clock == nil {
		c.Clock = acaciatally.SystemClock{}
	}
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	if c.SnapshotInterval == 0 {
		c.SnapshotInterval = 500
	}
	c.Retention = max(c.Retention, 24*time.Hour)
}

// Log reads the ordered log and appends to it; it is safe for concurrent use.
type Log struct {
	config     Config
	view       atomic.Pointer[view]
	polls      singleflight.Group
	commitSlot chan struct{} // semaphore that serializes the commits of this process
	count      counters

	mu   sync.Mutex // guards tail and the replacement of view; never held during I/O
	tail []fleet.Record
}

// view is a state with the head row from which it was read.
type view struct {
	state      *fleet.State
	head       headRow
	rowVersion uint64 // row version of the head row that belongs to state; 0 if the state came from a peer
	readAt     time.Time
}

type headRow struct {
	Version         uint64
	SnapshotVersion uint64 `json:",omitempty"`
}

type commandRow struct {
	Version uint64
}

// New returns a log with an empty state.
func New(config Config) *Log {
	config.setDefaults()
	log := &Log{config: config, commitSlot: make(chan struct{}, 1)}
	log.view.Store(&view{state: fleet.New()})
	return log
}

// State returns the newest known state without blocking; its version never decreases.
func (l *Log) State() *fleet.State {
	return l.view.Load().state
}

// HeadReadAt returns the start time of the last successful read of the head, or the zero time before the first one.
func (l *Log) HeadReadAt() time.Time {
	return l.view.Load().readAt
}

// RecordsSince returns the records after a version; complete is false if some of them are no longer in memory.
func (l *Log) RecordsSince(after uint64) (records []fleet.Record, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := l.State().Version
	if after >= version {
		return nil, true
	}
	for _, record := range l.tail {
		if record.Version > after {
			records = append(records, record)
		}
	}
	return records, uint64(len(records)) == version-after
}

// publish replaces the current view by next if next has a newer version or, at the same version, a newer head row. The latest read time is
// kept in any case.
func (l *Log) publish(next view, records ...fleet.Record) {
	l.mu.Lock()
	old := l.view.Load()
	if next.readAt.Before(old.readAt) {
		next.readAt = old.readAt
	}
	newer := next.state.Version > old.state.Version
	if !newer && (next.state.Version < old.state.Version || next.rowVersion <= old.rowVersion) {
		kept := *old
		kept.readAt = next.readAt
		next = kept
	}
	l.view.Store(&next)
	if newer {
		l.extendTail(old.state.Version, next.state.Version, records)
	}
	l.mu.Unlock()
	if newer && l.config.Notify != nil {
		l.config.Notify(next.state.Version)
	}
}

// extendTail adds records to the tail, which always ends at the published version, and starts it anew after a gap.
func (l *Log) extendTail(from, to uint64, records []fleet.Record) {
	var added []fleet.Record
	for _, record := range records {
		if record.Version > from && record.Version <= to {
			added = append(added, record)
		}
	}
	if uint64(len(added)) != to-from {
		l.tail = added
	} else {
		l.tail = append(l.tail, added...)
	}
	if excess := len(l.tail) - tailLength; excess > 0 {
		l.tail = append([]fleet.Record(nil), l.tail[excess:]...)
	}
}

// Counters counts calls and events since the start of the process.
type Counters struct {
	Reads, Writes, Conflicts, UnknownCommits, Snapshots, Pruned uint64
}

type counters struct {
	reads, writes, conflicts, unknown, snapshots, pruned atomic.Uint64
}

// Counters returns the current counts.
func (l *Log) Counters() Counters {
	return Counters{
		Reads: l.count.reads.Load(), Writes: l.count.writes.Load(), Conflicts: l.count.conflicts.Load(),
		UnknownCommits: l.count.unknown.Load(), Snapshots: l.count.snapshots.Load(), Pruned: l.count.pruned.Load(),
	}
}
