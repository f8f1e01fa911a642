package leadership

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/overload"
)

// Table is the table that holds the lease and the handover request.
const Table = "Lease"

// Key is the key of the dispatch lease.
var Key = acaciatally.RecordKey{Table: Table, Key: "Dispatch"}

// HandoverRequestKey is the key of a request by an entry with a shorter takeover delay that the holder hand over the lease.
var HandoverRequestKey = acaciatally.RecordKey{Table: Table, Key: "Claim"}

// Row is the stored lease.
type Row struct {
	Holder    string        // empty after the holder has released the lease
	Epoch     uint64        // incremented with each change of holder
	Term      time.Duration `json:",omitempty"` // validity of this version; 0 stands for the configured term
	Lag       time.Duration `json:",omitempty"` // takeover delay of the holder; longer for entries with less processor time or a slower link
	Successor string        `json:",omitempty"` // entry for which the lease was released; empty if any may acquire it
	// StartDelay is how long the tasks of a job submitted now would wait for the leader to start them; 0 while it keeps up.
	StartDelay time.Duration `json:",omitempty"`
	// Overload is the admission of the new jobs of accounts under pressure; nil while there are none.
	Overload *overload.State `json:",omitempty"`
	// Backlog is the room for new jobs in the leader's memory; nil while there is plenty.
	Backlog *backlog.State `json:",omitempty"`
}

// HandoverRequest is a stored request that the holder hand over the lease.
type HandoverRequest struct{ Candidate string }

const (
	// minDelayGain is how much longer the takeover delay of the holder has to be for a handover request, since each handover costs
	// the start of a new term of leadership.
	minDelayGain = 200 * time.Millisecond
	// handoverDelay is the age of an epoch before a handover is requested, so that a new leader can first read all jobs.
	handoverDelay = time.Second
	// shortTermAfter is how long all renewals have to be fast before the short term is proposed.
	shortTermAfter = 5 * time.Second
	// fastCommit is the longest duration of a fast commit.
	fastCommit = 100 * time.Millisecond
	// successorTimeout is how long other entries leave the lease to the named successor.
	successorTimeout = time.Second
)

// Step is the next action of an entry in the election.
type Step int

// The steps of the election.
const (
	Wait Step = iota
	Renew
	Acquire
	RequestHandover // ask a holder with a longer takeover delay to hand over the lease
)

// Config is the configuration of a Lease.
type Config struct {
	Self          string
	Term          time.Duration // proposed while renewals are slow or fail
	ShortTerm     time.Duration // proposed while renewals are fast; 0 stands for Term
	RenewEvery    time.Duration
	TakeoverDelay time.Duration // added to the term before this entry acquires an expired lease
}

// Lease decides when this entry leads. It does no I/O; all times come from a monotonic clock that also runs during system suspend.
type Lease struct {
	config         Config
	row            Row
	version        uint64
	known          bool          // the record was read
	versionSeenAt  time.Duration // when version was first seen
	epochSeenAt    time.Duration // when the epoch of row was first seen
	storeDown      bool          // the last call of the store failed
	storeUpAt      time.Duration // when the store became reachable again
	requestedEpoch uint64        // last epoch for which a handover was requested
	minEpoch       uint64        // highest epoch that has ended or was seen outside the lease; only a higher one is valid
	validUntil     time.Duration // end of the time in which this entry may act as the leader
	renewedAt      time.Duration // when the last renewal was sent; earlier after a failed one, so that the next is due soon
	proposedAt     time.Duration // when the first proposal after the last committed one was made
	unanswered     bool          // no proposal was committed since proposedAt
	slowAt         time.Duration // when a proposal was last slow or failed
}

// New returns a lease whose record was not read yet.
func New(config Config) *Lease { return &Lease{config: config} }

// forgotten returns a lease whose record was not read yet, for a record that has disappeared. Epochs go on from the last one seen.
func (l *Lease) forgotten() *Lease {
	return &Lease{config: l.config, minEpoch: max(l.minEpoch, l.row.Epoch)}
}

// Observe updates the lease from a record that was read; version 0 means that the record does not exist. Older versions are ignored.
func (l *Lease) Observe(row Row, version uint64, now time.Duration) {
	if l.known && version <= l.version {
		return
	}
	if !l.known || row.Epoch != l.row.Epoch {
		l.epochSeenAt = now
	}
	l.row, l.version, l.known, l.versionSeenAt = row, version, true, now
	if row.Holder != l.config.Self {
		l.validUntil = 0
	}
}

// Next returns the step due at the time now and, for Wait, the longest delay until the next call.
func (l *Lease) Next(now time.Duration) (step Step, delay time.Duration) {
	if !l.known {
		return Wait, l.config.RenewEvery
	}
	if l.Leads(now) {
		due := l.renewedAt + l.config.RenewEvery
		if now >= due {
			return Renew, 0
		}
		return Wait, due - now
	}
	if l.storeDown {
		return Wait, 0
	}
	due := l.acquireAt()
	if now >= due {
		return Acquire, 0
	}
	if requestAt, wanted := l.handoverRequestAt(); wanted {
		if now >= requestAt {
			return RequestHandover, 0
		}
		due = min(due, requestAt)
	}
	return Wait, due - now
}

// acquireAt returns when this entry may acquire the lease. After an outage of the store the takeover delay counts from the end of the
// outage; otherwise the first entry to notice the end would lead, whatever its delay.
func (l *Lease) acquireAt() time.Duration {
	due := l.versionSeenAt
	switch {
	case l.row.Holder == l.config.Self:
	case l.row.Holder != "":
		due += l.termOf(l.row)
	case l.row.Successor == l.config.Self:
		return due
	case l.row.Successor != "":
		due += successorTimeout
	}
	return max(due, l.storeUpAt) + l.config.TakeoverDelay
}

// termOf returns the validity of a version of the lease.
func (l *Lease) termOf(row Row) time.Duration {
	if row.Term > 0 {
		return row.Term
	}
	return l.config.Term
}

// nextTerm returns the term to propose: a short one allows a fast takeover, a long one tolerates a store that is slow or loses responses.
func (l *Lease) nextTerm(now time.Duration) time.Duration {
	if l.config.ShortTerm > 0 && now-l.slowAt > shortTermAfter {
		return l.config.ShortTerm
	}
	return l.config.Term
}

// handoverRequestAt returns when this entry requests a handover; wanted is false when the holder is suitable or was asked already.
func (l *Lease) handoverRequestAt() (at time.Duration, wanted bool) {
	if l.row.Holder == "" || l.requestedEpoch == l.row.Epoch || l.row.Lag-l.config.TakeoverDelay < minDelayGain {
		return 0, false
	}
	return l.epochSeenAt + handoverDelay + l.config.TakeoverDelay, true
}

// HandoverRequested records that a handover was requested in the current epoch, by this entry or another one.
func (l *Lease) HandoverRequested() { l.requestedEpoch = l.row.Epoch }

// SetStoreReachable records whether the last call of the store succeeded.
func (l *Lease) SetStoreReachable(reachable bool, now time.Duration) {
	if l.storeDown && reachable {
		l.storeUpAt = now
	}
	l.storeDown = !reachable
}

// Proposal returns the row to commit on the condition that the record is at the version. An expired leadership is not extended but replaced
// by one with the next epoch, since fencing tokens are counted from the start of a term of leadership. The proposal may be applied although
// its response is lost, so this entry stops acting as the leader at the end of the proposed term at the latest.
func (l *Lease) Proposal(now time.Duration) (row Row, version uint64) {
	row = l.row
	if l.row.Holder != l.config.Self || !l.Leads(now) {
		// The backlog of the last leader is also that of the next one, which can't tell its own delay before it has read all jobs.
		row = Row{Holder: l.config.Self, Epoch: max(l.row.Epoch, l.minEpoch) + 1, Lag: l.config.TakeoverDelay, StartDelay: l.row.StartDelay, Backlog: l.row.Backlog}
		row.Overload = l.inheritedOverload(now)
		l.slowAt = now
	}
	row.Term = l.nextTerm(now)
	l.validUntil = min(l.validUntil, now+row.Term)
	if !l.unanswered {
		l.proposedAt, l.unanswered = now, true
	}
	return row, l.version
}

// Committed records that the proposal was committed; sent is when the commit was sent. A proposal that was in flight when this entry resigned
// does not bring its leadership back.
func (l *Lease) Committed(row Row, version uint64, sent, now time.Duration) {
	l.Observe(row, version, now)
	if row.Holder == l.config.Self && row.Epoch > l.minEpoch {
		l.validUntil, l.renewedAt, l.unanswered = sent+l.termOf(row), sent, false
	}
	if now-sent > fastCommit {
		l.slowAt = now
	}
}

// ConfirmRenewal extends the leadership and returns true if the record is a renewal of this leadership whose response was lost.
func (l *Lease) ConfirmRenewal(row Row, version uint64, now time.Duration) bool {
	if row.Holder != l.config.Self || row.Epoch != l.row.Epoch || !l.Leads(now) || !l.unanswered {
		return false
	}
	l.Committed(row, version, l.proposedAt, now)
	return true
}

// ReleaseProposal returns the row that releases the lease and the version that it replaces. With an empty successor any entry may acquire
// the lease.
func (l *Lease) ReleaseProposal(successor string) (row Row, version uint64) {
	return Row{Epoch: l.row.Epoch, Successor: successor, StartDelay: l.row.StartDelay, Overload: l.row.Overload, Backlog: l.row.Backlog}, l.version
}

// RenewalFailed records that a proposal failed; sent is the send time from which the next renewal is scheduled.
func (l *Lease) RenewalFailed(sent, now time.Duration) { l.renewedAt, l.slowAt = sent, now }

// Leads reports whether this entry may act as the leader at the time now.
func (l *Lease) Leads(now time.Duration) bool { return now < l.validUntil }

// maxStartDelayAge is the age of a version of the lease from which its StartDelay says nothing any more.
const maxStartDelayAge = 3 * time.Second

// StartDelay returns the leader's StartDelay, or 0 if it was not seen lately.
func (l *Lease) StartDelay(now time.Duration) time.Duration {
	if now > l.versionSeenAt+maxStartDelayAge {
		return 0
	}
	return l.row.StartDelay
}

const (
	// maxOverloadAge is the age of a version of the lease up to which its Overload is applied. It covers a takeover: the longest term of 2.5 s,
	// takeover delays of up to 1.1 s and the commit.
	maxOverloadAge = 4 * time.Second
	// maxInheritedOverloadAge is the age up to which the next leader continues with it; surges last 5 to 8 s.
	maxInheritedOverloadAge = 8 * time.Second
)

// Overload returns the admission of the accounts under pressure, or nil if there is none or the leader was not seen lately.
func (l *Lease) Overload(now time.Duration) *overload.State {
	if now > l.versionSeenAt+maxOverloadAge {
		return nil
	}
	return l.row.Overload
}

// Backlog returns the room for new jobs, or nil if there is plenty, and the version of the lease. It holds until the next version, also while there is
// no leader: the jobs are those of the next one.
func (l *Lease) Backlog() (state *backlog.State, version uint64) { return l.row.Backlog, l.version }

// inheritedOverload returns the admission with which this entry starts to lead.
func (l *Lease) inheritedOverload(now time.Duration) *overload.State {
	if now > l.versionSeenAt+maxInheritedOverloadAge {
		return nil
	}
	return l.row.Overload
}

// Epoch returns the epoch of the last row seen.
func (l *Lease) Epoch() uint64 { return l.row.Epoch }

// Until returns when this entry has to stop acting as the leader.
func (l *Lease) Until() time.Duration { return l.validUntil }

// Resign ends the leadership of this entry at once, because another leader was noticed. Its epoch is that in which it has fenced a record;
// the next epoch of this entry is higher, also if the lease was damaged and shows a lower one.
func (l *Lease) Resign(epoch uint64) {
	l.validUntil = 0
	l.minEpoch = max(l.minEpoch, epoch, l.row.Epoch)
}

// unknownHolder stands for the holder of a lease that can't be decoded.
const unknownHolder = "unknown"

// ObserveUndecodable updates the lease from a record that can't be decoded. Its holder may still act, so it is waited for as for any other,
// and epochs go on from the last one seen.
func (l *Lease) ObserveUndecodable(version uint64, now time.Duration) {
	l.Observe(Row{Holder: unknownHolder, Epoch: l.row.Epoch}, version, now)
}
