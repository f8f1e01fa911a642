package leadership

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Table holds the leases.
const Table = "Lease"

// Key is the key of the lease on dispatching.
var Key = acaciatally.RecordKey{Table: Table, Key: "Dispatch"}

// ClaimKey is the key of a claim on the lease by an entry that would lead better than its holder.
var ClaimKey = acaciatally.RecordKey{Table: Table, Key: "Claim"}

// Row is the recorded lease.
type Row struct {
	Holder    string        // empty after the holder has given it up
	Epoch     uint64        // rises with each change of holder
	Term      time.Duration `json:",omitempty"` // for which this version holds
	Lag       time.Duration `json:",omitempty"` // of the holder; the weaker it is, the longer
	Successor string        `json:",omitempty"` // to whom the lease was given up
}

// Claim is a recorded claim.
type Claim struct{ Candidate string }

const (
	// claimGain is how much longer the holder's lag has to be for a claim; a handover costs the start of a tenure.
	claimGain = 200 * time.Millisecond
	// claimAfter is how long an epoch is seen before it is claimed, so that a new leader has read all jobs.
	claimAfter = time.Second
	// calmTime is how long renewals have to be answered quickly before the term gets short.
	calmTime = 5 * time.Second
	// quickAnswer is the longest time of a quick answer.
	quickAnswer = 100 * time.Millisecond
	// successorTime is how long the others wait for the successor to take the lease.
	successorTime = time.Second
)

// Step is what to do next.
type Step int

// The steps of an election.
const (
	Wait Step = iota
	Renew
	Take
	Demand // claim the lease from a weaker holder
)

// Config is what a Lease needs.
type Config struct {
	Self        string
	Term        time.Duration // while renewals are answered late or not at all
	QuickTerm   time.Duration // while they are answered quickly; 0 is Term
	RenewEvery  time.Duration
	TakeOverLag time.Duration // added to the term before this entry takes a lease over; the weaker the entry, the longer
}

// Lease decides when this entry leads; times are those of a clock that counts suspension.
type Lease struct {
	config   Config
	row      Row
	version  uint64
	seen     bool
	since    time.Duration // when this version was first seen
	epochAt  time.Duration // when this epoch was first seen
	lost     bool          // the store does not answer
	regained time.Duration // when the store answered again
	claimed  uint64        // epoch that was claimed last
	until    time.Duration // end of this entry's own right to act
	renewed  time.Duration // when the last renewal was sent
	asked    time.Duration // when the first proposal since the last answered one was sent
	open     bool          // a proposal has no answer
	troubled time.Duration // when a renewal was last answered late or not at all
}

// New returns a lease of which nothing is known yet.
func New(config Config) *Lease { return &Lease{config: config} }

// Observe takes in the record as it was read; version 0 means that there is none.
func (l *Lease) Observe(row Row, version uint64, now time.Duration) {
	if l.seen && version <= l.version {
		return
	}
	if !l.seen || row.Epoch != l.row.Epoch {
		l.epochAt = now
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
	if l.lost {
		return Wait, 0
	}
	due := l.takeOverAt()
	if now >= due {
		return Take, 0
	}
	if claim, wanted := l.claimAt(); wanted {
		if now >= claim {
			return Demand, 0
		}
		due = min(due, claim)
	}
	return Wait, due - now
}

// takeOverAt returns when this entry may take the lease. While the store was away nobody could, and the lag counts from its return; else
// the first of all entries to notice it would lead, however weak.
func (l *Lease) takeOverAt() time.Duration {
	due := l.since
	switch {
	case l.row.Holder == l.config.Self:
	case l.row.Holder != "":
		due += l.termOf(l.row)
	case l.row.Successor == l.config.Self:
		return due
	case l.row.Successor != "":
		due += successorTime
	}
	return max(due, l.regained) + l.config.TakeOverLag
}

// termOf returns how long a version of the lease holds.
func (l *Lease) termOf(row Row) time.Duration {
	if row.Term > 0 {
		return row.Term
	}
	return l.config.Term
}

// nextTerm returns the term to propose: a short one lets others take over soon, a long one outlasts a store that is slow or loses answers.
func (l *Lease) nextTerm(now time.Duration) time.Duration {
	if l.config.QuickTerm > 0 && now-l.troubled > calmTime {
		return l.config.QuickTerm
	}
	return l.config.Term
}

// claimAt returns when this entry claims the lease from a weaker holder.
func (l *Lease) claimAt() (at time.Duration, wanted bool) {
	if l.row.Holder == "" || l.claimed == l.row.Epoch || l.row.Lag-l.config.TakeOverLag < claimGain {
		return 0, false
	}
	return l.epochAt + claimAfter + l.config.TakeOverLag, true
}

// Claimed takes in that the present epoch was claimed, by this entry or another one.
func (l *Lease) Claimed() { l.claimed = l.row.Epoch }

// Contact takes in whether the store answers.
func (l *Lease) Contact(answers bool, now time.Duration) {
	if l.lost && answers {
		l.regained = now
	}
	l.lost = !answers
}

// Proposal returns the row to commit on the condition that the record is at the version. A tenure that has lapsed is not continued, but
// begun anew under the next epoch, since fencing tokens count from the beginning of a tenure. Since the proposal may be applied without an
// answer, this entry's right to act ends with the proposed term at the latest.
func (l *Lease) Proposal(now time.Duration) (row Row, version uint64) {
	row = l.row
	if l.row.Holder != l.config.Self || !l.Leads(now) {
		row = Row{Holder: l.config.Self, Epoch: l.row.Epoch + 1, Lag: l.config.TakeOverLag}
		l.troubled = now
	}
	row.Term = l.nextTerm(now)
	l.until = min(l.until, now+row.Term)
	if !l.open {
		l.asked, l.open = now, true
	}
	return row, l.version
}

// Committed takes in that the proposal was committed; sent is when the commit was sent.
func (l *Lease) Committed(row Row, version uint64, sent, now time.Duration) {
	l.Observe(row, version, now)
	if row.Holder == l.config.Self {
		l.until, l.renewed, l.open = sent+l.termOf(row), sent, false
	}
	if now-sent > quickAnswer {
		l.troubled = now
	}
}

// Confirmed takes in that the record is an earlier renewal of this tenure, whose answer was lost; false means that it is not.
func (l *Lease) Confirmed(row Row, version uint64, now time.Duration) bool {
	if row.Holder != l.config.Self || row.Epoch != l.row.Epoch || !l.Leads(now) || !l.open {
		return false
	}
	l.Committed(row, version, l.asked, now)
	return true
}

// GivenUp returns the row that gives the lease up; an empty successor leaves it to the first to take it.
func (l *Lease) GivenUp(successor string) (row Row, version uint64) {
	return Row{Epoch: l.row.Epoch, Successor: successor}, l.version
}

// Tried takes in that a renewal was sent without success.
func (l *Lease) Tried(sent, now time.Duration) { l.renewed, l.troubled = sent, now }

// Leads reports whether this entry may act as the leader.
func (l *Lease) Leads(now time.Duration) bool { return now < l.until }

// Epoch returns the epoch of the row last seen.
func (l *Lease) Epoch() uint64 { return l.row.Epoch }

// Until returns the end of this entry's right to act.
func (l *Lease) Until() time.Duration { return l.until }

// Resign gives up the right to act, since another leader was noticed.
func (l *Lease) Resign() { l.until = 0 }
