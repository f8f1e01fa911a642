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
	ageUnit    = 100 * time.Millisecond // of relayed ages, which keeps most of them in one byte
	maxStampMs = 1 << 40
)

// News tells what a Hello brought.
type News struct {
	View  bool // the sender has a newer version
	Hint  bool // a leaving instance that was not known
	First bool // the sender does not know a stamp of this entry yet and should hear it soon
}

// Hear takes in a Hello that arrived over the session with the entry from.
func (m *Machine) Hear(now time.Time, from acaciatally.EntryID, hello *peerpb.Hello) (news News) {
	if hello.Entry != string(from) || from == m.self.ID || hello.StampMs > maxStampMs {
		return news
	}
	known := m.record(from)
	if known.hello.Incarnation != hello.Incarnation {
		known.stamp, known.heardAt, known.relayedAt, known.headReadAt = 0, time.Time{}, time.Time{}, time.Time{}
	}
	known.hello = Entry{
		ID: from, Incarnation: hello.Incarnation, Address: known.row.Address, DataCentre: acaciatally.DataCentre(hello.DataCentre),
		View: hello.View, Busy: instanceIDs(hello.Busy),
	}
	known.stopping = hello.Stopping
	if stamp := time.Duration(hello.StampMs) * time.Millisecond; stamp >= known.stamp {
		known.stamp, known.stampAt = stamp, now
	}
	news.View = hello.View > m.self.View
	news.First = hello.EchoOf != m.self.hash()
	if made, proven := m.madeAt(now, hello); proven {
		m.hearAt(known, made, hello)
		news.Hint = m.hearHints(made, hello.Hints)
	}
	return news
}

// madeAt returns a lower bound of the time at which the Hello was made: this entry's stamp that the sender echoes, plus the time for
// which the sender held it. A Hello that waited in buffers while this entry was frozen therefore counts as old.
func (m *Machine) madeAt(now time.Time, hello *peerpb.Hello) (made time.Time, proven bool) {
	if hello.EchoOf != m.self.hash() || hello.EchoMs > maxStampMs || hello.EchoHeldMs > maxStampMs {
		return time.Time{}, false
	}
	made = m.started.Add(time.Duration(hello.EchoMs+hello.EchoHeldMs) * time.Millisecond)
	if made.After(now) {
		return now, true
	}
	return made, true
}

func (m *Machine) hearAt(known *record, made time.Time, hello *peerpb.Hello) {
	if made.After(known.heardAt) {
		known.heardAt = made
	}
	if hello.HeadRead && hello.HeadReadAgeMs < maxStampMs {
		known.headReadAt = made.Add(-time.Duration(hello.HeadReadAgeMs) * time.Millisecond)
	}
	if len(hello.Known) != len(hello.KnownAge) {
		return
	}
	ages := make(map[uint32]uint32, len(hello.Known))
	for i, hash := range hello.Known {
		ages[hash] = hello.KnownAge[i]
	}
	for _, other := range m.entries {
		age, found := ages[other.current().hash()]
		if !found || other == known || time.Duration(age)*ageUnit > m.rules.ForgetAfter {
			continue
		}
		if at := made.Add(-time.Duration(age) * ageUnit); at.After(other.relayedAt) {
			other.relayedAt = at
		}
	}
}

func (m *Machine) hearHints(made time.Time, hints []*peerpb.Hint) (news bool) {
	for _, hint := range hints {
		if hint.AgeMs >= uint64(m.rules.HintTerm/time.Millisecond) {
			continue
		}
		if m.Hint(made.Add(-time.Duration(hint.AgeMs)*time.Millisecond), acaciatally.InstanceID(hint.Instance)) {
			news = true
		}
	}
	return news
}

// HelloTo returns the Hello for another entry.
func (m *Machine) HelloTo(now time.Time, to acaciatally.EntryID) *peerpb.Hello {
	hello := &peerpb.Hello{
		Entry: string(m.self.ID), Incarnation: m.self.Incarnation, DataCentre: string(m.self.DataCentre),
		View: m.self.View, Stopping: m.stopping, StampMs: uint64(now.Sub(m.started) / time.Millisecond),
	}
	for _, instance := range m.self.Busy {
		hello.Busy = append(hello.Busy, string(instance))
	}
	if fresh := m.freshAt(); !fresh.IsZero() {
		hello.HeadRead, hello.HeadReadAgeMs = true, ceil(now.Sub(fresh), time.Millisecond)
	}
	for _, instance := range m.Leaving(now) {
		hello.Hints = append(hello.Hints, &peerpb.Hint{Instance: string(instance), AgeMs: ceil(now.Sub(m.hints[instance]), time.Millisecond)})
	}
	if known := m.entries[to]; known != nil && !known.stampAt.IsZero() {
		hello.EchoOf, hello.EchoMs = known.current().hash(), uint64(known.stamp/time.Millisecond)
		hello.EchoHeldMs = uint64(now.Sub(known.stampAt) / time.Millisecond)
	}
	for id, known := range m.entries {
		age := now.Sub(known.contact())
		if id != to && age <= m.liveLimit() {
			hello.Known = append(hello.Known, known.current().hash())
			hello.KnownAge = append(hello.KnownAge, uint32(ceil(age, ageUnit)))
		}
	}
	return hello
}

// ceil rounds up, so that ages never shrink on their way.
func ceil(age, unit time.Duration) uint64 {
	return uint64(max(0, (age+unit-1)/unit))
}

// partnerCache keeps the partners until the known entries change, since picking them costs n² hashes.
type partnerCache struct {
	ids, partners []acaciatally.EntryID
}

// Partners returns the entries with which this entry exchanges Hellos: all of them up to meshLimit, beyond that those that this
// entry picks by rendezvous hashing and those that pick this entry.
func (m *Machine) Partners() (partners []acaciatally.EntryID) {
	ids := make([]acaciatally.EntryID, 0, len(m.entries)+1)
	ids = append(ids, m.self.ID)
	for id := range m.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if slices.Equal(ids, m.partners.ids) {
		return m.partners.partners
	}
	for _, id := range ids {
		if id == m.self.ID {
			continue
		}
		if len(ids) <= meshLimit || slices.Contains(pick(m.self.ID, ids), id) || slices.Contains(pick(id, ids), m.self.ID) {
			partners = append(partners, id)
		}
	}
	m.partners = partnerCache{ids: ids, partners: partners}
	return partners
}

// pick returns the entries with the highest hashes together with id.
func pick(id acaciatally.EntryID, ids []acaciatally.EntryID) []acaciatally.EntryID {
	return Rendezvous(string(id), slices.DeleteFunc(slices.Clone(ids), func(other acaciatally.EntryID) bool { return other == id }), picks)
}

// Rendezvous returns up to count entries in the order of their hashes with the key, highest first.
func Rendezvous(key string, ids []acaciatally.EntryID, count int) []acaciatally.EntryID {
	ordered := make([]ranked, len(ids))
	for i, id := range ids {
		ordered[i] = ranked{id: id, hash: xxhash.Sum64String(key + "\x00" + string(id))}
	}
	slices.SortFunc(ordered, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	first := make([]acaciatally.EntryID, min(count, len(ordered)))
	for i := range first {
		first[i] = ordered[i].id
	}
	return first
}

type ranked struct {
	id   acaciatally.EntryID
	hash uint64
}

func instanceIDs(names []string) (ids []acaciatally.InstanceID) {
	for _, name := range names {
		ids = append(ids, acaciatally.InstanceID(name))
	}
	return ids
}
