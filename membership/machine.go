package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciatally/acaciatally"
)

const (
	// fullMeshLimit is the number of entries up to which each sends Hellos to every other one.
	fullMeshLimit = 12
	// pickedPartners is the number of partners that each entry picks beyond fullMeshLimit. Hellos go in both directions, so that an entry
	// has about six partners.
	pickedPartners = 3
	// maxHints bounds the memory for hints.
	maxHints = 4096
)

// Limits holds the time limits of a StateMachine; Default replaces zero values.
type Limits struct {
	ViewLimit      time.Duration // age up to which a view is fresh and a contact counts as recent, default 2.5 s
	HeartbeatLimit time.Duration // time after which a heartbeat has expired, default 4 s (two intervals)
	ExpireAfter    time.Duration // time without heartbeat and contact after which an entry's row is deleted, default 30 s
	HintTerm       time.Duration // time after the last sighting at which a hint expires, default 60 s
}

// Default replaces zero values by their defaults.
func (l *Limits) Default() {
	defaults := map[*time.Duration]time.Duration{
		&l.ViewLimit: 2500 * time.Millisecond, &l.HeartbeatLimit: 4 * time.Second,
		&l.ExpireAfter: 30 * time.Second, &l.HintTerm: time.Minute,
	}
	for value, defaultValue := range defaults {
		if *value == 0 {
			*value = defaultValue
		}
	}
}

// Entry is what an entry publishes about itself in its row and its Hellos.
type Entry struct {
	ID          acaciatally.EntryID
	Incarnation string // distinguishes the processes of one entry
	Address     netip.AddrPort
	DataCentre  acaciatally.DataCentre
	View        uint64                   // version of the control state in force at the entry
	Busy        []acaciatally.InstanceID // leaving instances with requests in progress
}

// hash identifies a process of an entry in the digest of a Hello.
func (e Entry) hash() uint32 {
	return uint32(xxhash.Sum64String(string(e.ID) + "\x00" + e.Incarnation))
}

// peerState is the known state of one other entry.
type peerState struct {
	row         Entry
	registered  bool      // the last scan found its row, or the settings name the entry and no scan has succeeded yet
	rowVersion  uint64    // version of the row
	rowSeenAt   time.Time // start of the scan that first returned this version
	hello       Entry
	heardAt     time.Time // lower bound of the creation time of its last Hello
	relayedAt   time.Time // lower bound of its last contact with other entries, as relayed by them
	headReadAt  time.Time // lower bound of the time at which its view was known to be the newest
	stopping    bool
	lastStamp   time.Duration // newest stamp received from it: the time since its process started
	lastStampAt time.Time
}

func (p *peerState) lastContact() time.Time {
	if p.relayedAt.After(p.heardAt) {
		return p.relayedAt
	}
	return p.heardAt
}

// identity returns what the entry published last: its last Hello, or its row if no Hello has arrived.
func (p *peerState) identity() Entry {
	if p.hello.Incarnation != "" {
		return p.hello
	}
	return p.row
}

// StateMachine holds the membership rules and their state. It is not safe for concurrent use.
type StateMachine struct {
	limits        Limits
	self          Entry
	started       time.Time
	peers         map[acaciatally.EntryID]*peerState
	hints         map[acaciatally.InstanceID]time.Time // last sighting of each leaving instance
	lastScan      time.Time                            // start of the last scan
	lastHeadRead  time.Time                            // start of this entry's last read of the head of the change log
	lastHeartbeat time.Time                            // start of the last commit of this entry's row
	replaced      bool
	stopping      bool
	partnerCache  partnerCache
}

// NewStateMachine returns a state machine that knows only this entry and the seeds.
func NewStateMachine(limits Limits, now time.Time, self Entry, seeds []Entry) *StateMachine {
	limits.Default()
	m := &StateMachine{
		limits: limits, self: self, started: now,
		peers: map[acaciatally.EntryID]*peerState{}, hints: map[acaciatally.InstanceID]time.Time{},
	}
	for _, seed := range seeds {
		if seed.ID != self.ID {
			m.peer(seed.ID).row = seed
			m.peer(seed.ID).registered = true
		}
	}
	return m
}

// peer returns the state of another entry and creates it if necessary.
func (m *StateMachine) peer(id acaciatally.EntryID) *peerState {
	peer := m.peers[id]
	if peer == nil {
		peer = &peerState{row: Entry{ID: id}}
		m.peers[id] = peer
	}
	return peer
}

// SetView records the version in force in this entry and the leaving instances on which it has requests in progress.
func (m *StateMachine) SetView(view uint64, busy []acaciatally.InstanceID) {
	m.self.View = max(m.self.View, view)
	m.self.Busy = busy
}

// RecordHeadRead records that this entry has applied the head of the change log from a read that began at the given time.
func (m *StateMachine) RecordHeadRead(at time.Time) {
	if at.After(m.lastHeadRead) {
		m.lastHeadRead = at
	}
}

// RecordHeartbeat records that the commit of this entry's row that began at the given time took effect.
func (m *StateMachine) RecordHeartbeat(at time.Time) { m.lastHeartbeat = at }

// MarkReplaced records that another process has taken over this entry's row.
func (m *StateMachine) MarkReplaced() { m.replaced = true }

// MarkStopping records that this entry is shutting down.
func (m *StateMachine) MarkStopping() { m.stopping = true }

// EntryRow is the scanned row of an entry.
type EntryRow struct {
	Entry   Entry
	Version uint64
}

// RecordScan records the rows of all entries from a scan that began at start.
func (m *StateMachine) RecordScan(start time.Time, rows []EntryRow) {
	m.lastScan = start
	present := map[acaciatally.EntryID]bool{}
	for _, row := range rows {
		if row.Entry.ID == m.self.ID {
			continue
		}
		present[row.Entry.ID] = true
		peer := m.peer(row.Entry.ID)
		if peer.rowVersion != row.Version {
			peer.rowVersion, peer.rowSeenAt = row.Version, start
		}
		if peer.hello.Incarnation != row.Entry.Incarnation && peer.row.Incarnation != row.Entry.Incarnation {
			peer.hello, peer.heardAt, peer.relayedAt, peer.headReadAt = Entry{}, time.Time{}, time.Time{}, time.Time{}
		}
		peer.row, peer.registered = row.Entry, true
	}
	for id, peer := range m.peers {
		if present[id] {
			continue
		}
		departed := peer.registered && peer.stopping // an entry that shuts down deletes its row after its last request
		peer.registered = false
		if departed || start.Sub(peer.lastContact()) > m.limits.ExpireAfter {
			delete(m.peers, id)
		}
	}
}

// ExpiredRows returns the rows to delete, whose entries have shown neither a heartbeat nor contact for ExpireAfter. It returns none unless
// this entry is the live one with the lowest id, has a fresh view and may serve, so that one entry deletes the rows.
func (m *StateMachine) ExpiredRows(now time.Time) (rows []EntryRow) {
	if !m.Fresh(now) || !m.MayServe(now) {
		return nil
	}
	for _, other := range m.Live(now) {
		if other.ID < m.self.ID {
			return nil
		}
	}
	for _, peer := range m.peers {
		expired := m.lastScan.Sub(peer.rowSeenAt) > m.limits.ExpireAfter && now.Sub(peer.lastContact()) > m.limits.ExpireAfter
		if peer.registered && peer.rowVersion > 0 && expired {
			rows = append(rows, EntryRow{Entry: peer.row, Version: peer.rowVersion})
		}
	}
	return rows
}

// RegisteredCount returns the number of entries that have a row, including this one.
func (m *StateMachine) RegisteredCount() int {
	count := 1
	for _, peer := range m.peers {
		if peer.registered {
			count++
		}
	}
	return count
}

// viewFreshAt returns the latest time at which this entry's view is known to have been the newest.
func (m *StateMachine) viewFreshAt() time.Time {
	fresh := m.lastHeadRead
	for _, peer := range m.peers {
		if peer.headReadAt.After(fresh) && peer.hello.View <= m.self.View {
			fresh = peer.headReadAt
		}
	}
	return fresh
}

// Fresh reports whether this entry, or a peer whose version is not newer, has read the head of the change log within ViewLimit.
func (m *StateMachine) Fresh(now time.Time) bool {
	return now.Before(m.FreshUntil())
}

// MayChange reports whether this entry may commit changes: its view is fresh, and it is in contact with more than half of the registered
// entries. Entries that keep serving without the table service are in contact with more than half as well, so at least one of them learns
// of the change. Without this rule a minority could put changes into force that the others never learn of.
func (m *StateMachine) MayChange(now time.Time) bool {
	return m.Fresh(now) && now.Before(m.majorityContactUntil(now))
}

// FreshUntil returns the time until which the view stays fresh without further reads or Hellos.
func (m *StateMachine) FreshUntil() time.Time {
	return m.viewFreshAt().Add(m.limits.ViewLimit)
}

// MayServe reports whether this entry may send new work to endpoints.
func (m *StateMachine) MayServe(now time.Time) bool {
	return now.Before(m.ServeUntil(now))
}

// ServeUntil returns the time until which this entry may serve without further heartbeats, reads or Hellos. A fresh view alone is not
// enough: once this entry's heartbeat has expired, others may stop instances without its acknowledgement unless they are in contact with
// it.
func (m *StateMachine) ServeUntil(now time.Time) time.Time {
	if m.replaced {
		return time.Time{}
	}
	fresh, majority := m.FreshUntil(), m.majorityContactUntil(now)
	if expiry := m.lastHeartbeat.Add(m.inactivityLimit()); expiry.Before(fresh) {
		fresh = expiry
	}
	if majority.After(fresh) {
		return majority
	}
	return fresh
}

// majorityContactUntil returns the time until which this entry counts as in contact with more than half of the registered entries,
// including itself.
func (m *StateMachine) majorityContactUntil(now time.Time) time.Time {
	var contacts []time.Time
	for _, peer := range m.peers {
		if peer.registered {
			contacts = append(contacts, peer.lastContact())
		}
	}
	others := (len(contacts) + 1) / 2 // number of other entries needed for more than half of len(contacts)+1
	if others == 0 {
		return now.Add(m.limits.ViewLimit)
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[others-1].Add(m.limits.ViewLimit)
}

// liveLimit is the age of the last contact up to which an entry is live. It is longer when ages are relayed, since each relay adds up to
// one interval between Hellos.
func (m *StateMachine) liveLimit() time.Duration {
	if len(m.peers)+1 > fullMeshLimit {
		return 2 * m.limits.ViewLimit
	}
	return m.limits.ViewLimit
}

// Live returns the other entries with contact within liveLimit that are not shutting down, in order of id.
func (m *StateMachine) Live(now time.Time) (peers []acaciatally.Peer) {
	for id, peer := range m.peers {
		if now.Sub(peer.lastContact()) > m.liveLimit() || peer.stopping {
			continue
		}
		peers = append(peers, acaciatally.Peer{
			ID: id, DataCentre: peer.identity().DataCentre, ViewVersion: peer.identity().View,
			HeadReadAge: now.Sub(peer.headReadAt), LastContact: peer.lastContact(),
		})
	}
	slices.SortFunc(peers, func(a, b acaciatally.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return peers
}
