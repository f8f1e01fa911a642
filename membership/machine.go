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
