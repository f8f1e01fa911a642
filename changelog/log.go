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
	// tailLength bounds the records kept for peers; a peer that is further behind takes the whole state.
	tailLength = 500
)

// Config is what a Log needs.
type Config struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore // nil keeps all records and takes no snapshots
	Clock   acaciatally.Clock
	// Timeout bounds each call of the platform; the default is 2 s.
	Timeout time.Duration
	// SnapshotInterval is the number of versions between two snapshots; the default is 500.
	SnapshotInterval uint64
	// Retention is how long records and command ids are kept after a snapshot covers them; the default and least value is 24 h.
	Retention time.Duration
	// Archive, when set, stores records before they are pruned; an error keeps them.
	Archive Archive
	// Notify, when set, is told each new version; it must not block.
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

// Log reads and extends the ordered log; it is safe for concurrent use.
type Log struct {
	config  Config
	view    atomic.Pointer[view]
	polls   singleflight.Group
	commits chan struct{} // holds one token; commits of one process do not race with each other
	count   counters

	mu   sync.Mutex // guards tail and publishing, never held during I/O
	tail []fleet.Record
}

// view is a state together with what is known of the head row.
type view struct {
	state  *fleet.State
	head   headRow
	row    uint64 // row version of the head at state's version; 0 when the state came from a peer
	readAt time.Time
}

type headRow struct {
	Version         uint64
	SnapshotVersion uint64 `json:",omitempty"`
}

type commandRow struct {
	Version uint64
}

// New returns a log with the empty state.
func New(config Config) *Log {
	config.setDefaults()
	log := &Log{config: config, commits: make(chan struct{}, 1)}
	log.view.Store(&view{state: fleet.New()})
	return log
}

// State returns the newest known state, which never goes back to a lower version; it never blocks.
func (l *Log) State() *fleet.State {
	return l.view.Load().state
}

// HeadReadAt returns when the last successful read of the head began; it is zero before the first one.
func (l *Log) HeadReadAt() time.Time {
	return l.view.Load().readAt
}

// Tail returns the records after a version; whole is false when some of them are no longer kept in memory.
func (l *Log) Tail(after uint64) (records []fleet.Record, whole bool) {
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

// publish makes the view the current one unless a newer one is known.
func (l *Log) publish(next view, records ...fleet.Record) {
	l.mu.Lock()
	old := l.view.Load()
	if next.readAt.Before(old.readAt) {
		next.readAt = old.readAt
	}
	newer := next.state.Version > old.state.Version
	if !newer && (next.state.Version < old.state.Version || next.row <= old.row) {
		kept := *old
		kept.readAt = next.readAt
		next = kept
	}
	l.view.Store(&next)
	if newer {
		l.remember(old.state.Version, next.state.Version, records)
	}
	l.mu.Unlock()
	if newer && l.config.Notify != nil {
		l.config.Notify(next.state.Version)
	}
}

// remember extends the tail, which always ends at the published version.
func (l *Log) remember(from, to uint64, records []fleet.Record) {
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

// Counters are the numbers of calls and events since the start.
type Counters struct {
	Reads, Writes, Conflicts, UnknownCommits, Snapshots, Pruned uint64
}

type counters struct {
	reads, writes, conflicts, unknown, snapshots, pruned atomic.Uint64
}

// Counters returns the present counts.
func (l *Log) Counters() Counters {
	return Counters{
		Reads: l.count.reads.Load(), Writes: l.count.writes.Load(), Conflicts: l.count.conflicts.Load(),
		UnknownCommits: l.count.unknown.Load(), Snapshots: l.count.snapshots.Load(), Pruned: l.count.pruned.Load(),
	}
}
