package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer/peerpb"
)

const (
	// relayedAgeUnit is the unit of relayed ages in a Hello, in which most of them fit in one byte.
	relayedAgeUnit = 100 * time.Millisecond
	// maxStampMs bounds the stamps and ages that are accepted in a Hello.
	maxStampMs = 1 << 40
)

// HelloResult lists what a received Hello calls for.
type HelloResult struct {
	NewerView   bool // the sender has a newer version of the control state
	NewHint     bool // the Hello hints at a leaving instance that was not known
	StampNeeded bool // the sender has no stamp of this process to echo and needs a Hello soon
}

// ReceiveHello processes a Hello that arrived over the session with the entry from. It ignores a Hello with
// another sender id or with a stamp above maxStampMs.
func (m *StateMachine) ReceiveHello(now time.Time, from acaciatally.EntryID, hello *peerpb.Hello) (result HelloResult) {
	if hello.Entry != string(from) || from == m.self.ID || hello.StampMs > maxStampMs {
		return result
	}
	peer := m.peer(from)
	if peer.hello.Incarnation != hello.Incarnation {
		peer.lastStamp = 0
		peer.forgetContact()
	}
	peer.hello = Entry{
		ID: from, Incarnation: hello.Incarnation, Address: peer.row.Address, DataCentre: acaciatally.DataCentre(hello.DataCentre),
		View: hello.View, Busy: instanceIDs(hello.Busy),
	}
	peer.stopping = hello.Stopping
	if stamp := time.Duration(hello.StampMs) * time.Millisecond; stamp >= peer.lastStamp {
		peer.lastStamp, peer.lastStampAt = stamp, now
	}
	result.NewerView = hello.View > m.self.View
	result.StampNeeded = hello.EchoOf != m.self.hash()
	if created, verified := m.createdAt(now, hello); verified {
		m.recordContacts(peer, created, hello)
		result.NewHint = m.addHints(created, hello.Hints)
	}
	return result
}

// createdAt returns a lower bound of the time at which the Hello was created: this entry's stamp that the sender echoes, plus the time
// for which the sender held it. A Hello that was buffered while this process was frozen therefore counts as old. verified is
// false if the Hello echoes no valid stamp of this process.
func (m *StateMachine) createdAt(now time.Time, hello *peerpb.Hello) (created time.Time, verified bool) {
	if hello.EchoOf != m.self.hash() || hello.EchoMs > maxStampMs || hello.EchoHeldMs > maxStampMs {
		return time.Time{}, false
	}
	created = m.started.Add(time.Duration(hello.EchoMs+hello.EchoHeldMs) * time.Millisecond)
	if created.After(now) {
		return now, true
	}
	return created, true
}

// recordContacts updates the times of contact with the sender, its last read of the head, and the contacts with other entries
// that it relays.
func (m *StateMachine) recordContacts(peer *peerState, created time.Time, hello *peerpb.Hello) {
	if created.After(peer.heardAt) {
		peer.heardAt = created
	}
	if hello.HeadRead && hello.HeadReadAgeMs < maxStampMs {
		peer.headReadAt = created.Add(-time.Duration(hello.HeadReadAgeMs) * time.Millisecond)
	}
	if len(hello.Known) != len(hello.KnownAge) {
		return
	}
	ages := make(map[uint32]uint32, len(hello.Known))
	for i, hash := range hello.Known {
		ages[hash] = hello.KnownAge[i]
	}
	for _, other := range m.peers {
		age, found := ages[other.identity().hash()]
		if !found || other == peer || time.Duration(age)*relayedAgeUnit > m.limits.ExpireAfter {
			continue
		}
		if at := created.Add(-time.Duration(age) * relayedAgeUnit); at.After(other.relayedAt) {
			other.relayedAt = at
		}
	}
}

// addHints adds the unexpired hints of a Hello and reports whether any was not known.
func (m *StateMachine) addHints(created time.Time, hints []*peerpb.Hint) (anyNew bool) {
	for _, hint := range hints {
		if hint.AgeMs >= uint64(m.limits.HintTerm/time.Millisecond) {
			continue
		}
		if m.AddHint(created.Add(-time.Duration(hint.AgeMs)*time.Millisecond), acaciatally.InstanceID(hint.Instance)) {
			anyNew = true
		}
	}
	return anyNew
}

// HelloFor returns the Hello to send to another entry.
func (m *StateMachine) HelloFor(now time.Time, to acaciatally.EntryID) *peerpb.Hello {
	hello := &peerpb.Hello{
		Entry: string(m.self.ID), Incarnation: m.self.Incarnation, DataCentre: string(m.self.DataCentre),
		View: m.self.View, Stopping: m.stopping, StampMs: uint64(now.Sub(m.started) / time.Millisecond),
	}
	for _, instance := range m.self.Busy {
		hello.Busy = append(hello.Busy, string(instance))
	}
	if freshAt := m.viewFreshAt(); !freshAt.IsZero() {
		hello.HeadRead, hello.HeadReadAgeMs = true, ceilDiv(now.Sub(freshAt), time.Millisecond)
	}
	for _, instance := range m.LeavingInstances(now) {
		hello.Hints = append(hello.Hints, &peerpb.Hint{Instance: string(instance), AgeMs: ceilDiv(now.Sub(m.hints[instance]), time.Millisecond)})
	}
	if peer := m.peers[to]; peer != nil && !peer.lastStampAt.IsZero() {
		hello.EchoOf, hello.EchoMs = peer.identity().hash(), uint64(peer.lastStamp/time.Millisecond)
		hello.EchoHeldMs = uint64(now.Sub(peer.lastStampAt) / time.Millisecond)
	}
	for id, peer := range m.peers {
		age := now.Sub(peer.lastContact())
		if id != to && age <= m.liveLimit() {
			hello.Known = append(hello.Known, peer.identity().hash())
			hello.KnownAge = append(hello.KnownAge, uint32(ceilDiv(age, relayedAgeUnit)))
		}
	}
	return hello
}

// ceilDiv divides and rounds up, so that a relayed age is never less than the true age.
func ceilDiv(age, unit time.Duration) uint64 {
	return uint64(max(0, (age+unit-1)/unit))
}

// partnerCache caches the partners until the set of known entries changes, since computing them takes n² hashes.
type partnerCache struct {
	ids, partners []acaciatally.EntryID
}

// Partners returns the entries with which this entry exchanges Hellos: all other entries if there are at most fullMeshLimit, otherwise
// those that this entry picks by rendezvous hashing and those that pick this entry.
func (m *StateMachine) Partners() (partners []acaciatally.EntryID) {
	ids := make([]acaciatally.EntryID, 0, len(m.peers)+1)
	ids = append(ids, m.self.ID)
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if slices.Equal(ids, m.partnerCache.ids) {
		return m.partnerCache.partners
	}
	for _, id := range ids {
		if id == m.self.ID {
			continue
		}
		if len(ids) <= fullMeshLimit || slices.Contains(pickPartners(m.self.ID, ids), id) || slices.Contains(pickPartners(id, ids), m.self.ID) {
			partners = append(partners, id)
		}
	}
	m.partnerCache = partnerCache{ids: ids, partners: partners}
	return partners
}

// pickPartners returns the pickedPartners other entries that rank first in rendezvous hashing with id as key.
func pickPartners(id acaciatally.EntryID, ids []acaciatally.EntryID) []acaciatally.EntryID {
	return Rendezvous(
		string(id), slices.DeleteFunc(slices.Clone(ids), func(other acaciatally.EntryID) bool { return other == id }), pickedPartners,
	)
}

// Rendezvous returns the first count entries in the order of rendezvous hashing for the key: by descending hash of key and id.
func Rendezvous(key string, ids []acaciatally.EntryID, count int) []acaciatally.EntryID {
	ranking := make([]rankedEntry, len(ids))
	for i, id := range ids {
		ranking[i] = rankedEntry{id: id, hash: xxhash.Sum64String(key + "\x00" + string(id))}
	}
	slices.SortFunc(ranking, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	first := make([]acaciatally.EntryID, min(count, len(ranking)))
	for i := range first {
		first[i] = ranking[i].id
	}
	return first
}

type rankedEntry struct {
	id   acaciatally.EntryID
	hash uint64
}

func instanceIDs(names []string) (ids []acaciatally.InstanceID) {
	for _, name := range names {
		ids = append(ids, acaciatally.InstanceID(name))
	}
	return ids
}
