package leadership

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Table holds the leases.
const Table = "Lease"

// Key is the key of the lease on dispatching.
var Key = acaciatally.RecordKey{Table: Table, Key: "Dispatch"}

// Row is the recorded lease.
type Row struct {
	Holder string // empty after the holder has given it up
	Epoch  uint64 // rises with each change of holder
}

// Step is what to do next.
type Step int

// The steps of an election.
const (
	Wait Step = iota
	Renew
	Take
)

// Config is what a Lease needs.
type Config struct {
	Self        string
	Term        time.Duration
	RenewEvery  time.Duration
	TakeOverLag time.Duration // added to the term before this entry takes a lease over, so that not all try at once
}

// Lease decides when this entry leads; times are those of a clock that counts suspension.
type Lease struct {
	config  Config
	row     Row
	version uint64
	seen    bool
	since   time.Duration // when this version was first seen
	until   time.Duration // end of this entry's own right to act
	renewed time.Duration // when the last renewal was sent
}

// New returns a lease of which nothing is known yet.
func New(config Config) *Lease { return &Lease{config: config} }

// Observe takes in the record as it was read; version 0 means that there is none.
func (l *Lease) Observe(row Row, version uint64, now time.Duration) {
	if l.seen && version <= l.version {
		return
	}
	l.row, l.version, l.seen, l.since = row, version, true, now
	if row.Holder != l.config.Self {
		l.until = 0
	}
}

// Next returns what to do at the time, and when to ask again at the latest.
func (l *Lease) Next(now time.Duration) (step Step, again time.Duration) {
	if !l.seen {
		return Wait, l.config.RenewEvery
	}
	if l.Leads(now) {
		due := l.renewed + l.config.RenewEvery
		if now >= due {
			return Renew, 0
		}
		return Wait, due - now
	}
	due := l.since + l.config.TakeOverLag
	if l.row.Holder != "" && l.row.Holder != l.config.Self {
		due += l.config.Term
	}
	if now >= due {
		return Take, 0
	}
	return Wait, due - now
}

// Proposal returns the row to commit on the condition that the record is at the version. A tenure that has lapsed is not continued, but
// begun anew under the next epoch, since fencing tokens count from the beginning of a tenure.
func (l *Lease) Proposal(now time.Duration) (row Row, version uint64) {
	row = l.row
	if l.row.Holder != l.config.Self || !l.Leads(now) {
		row = Row{Holder: l.config.Self, Epoch: l.row.Epoch + 1}
	}
	return row, l.version
}

// Committed takes in that the proposal was committed; sent is when the commit was sent.
func (l *Lease) Committed(row Row, version uint64, sent, now time.Duration) {
	l.Observe(row, version, now)
	if row.Holder == l.config.Self {
		l.until, l.renewed = sent+l.config.Term, sent
	}
}

// Tried takes in that a renewal was sent without success.
func (l *Lease) Tried(sent time.Duration) { l.renewed = sent }

// Leads reports whether this entry may act as the leader.
func (l *Lease) Leads(now time.Duration) bool { return now < l.until }

// Epoch returns the epoch of the row last seen.
func (l *Lease) Epoch() uint64 { return l.row.Epoch }

// Until returns the end of this entry's right to act.
func (l *Lease) Until() time.Duration { return l.until }

// Resign gives up the right to act, since another leader was noticed.
func (l *Lease) Resign() { l.until = 0 }
